package pimfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// The bounds of the design, in simulated time.
const (
	configBound = 15 * time.Second
	drainBound  = 5 * time.Second
	// detectBound is e-folding of the probe order (about 5 s for 64 VMs), one probe and the suspicion timeout.
	detectBound = 12 * time.Second
	byteBound   = 5_000
)

// check is an invariant that a fleet with the given options must satisfy.
type check func(Options) error

// testCheck runs a check with several seeds and delays, and once with a faulty variant, which it must detect.
func testCheck(t *testing.T, c check, faulty func(*Options)) {
	t.Helper()
	is := is.New(t)
	for _, delay := range []time.Duration{3 * time.Millisecond, 5 * time.Millisecond} {
		for seed := range uint64(2) {
			o := lossy(seed, 3, 16)
			o.Delay = delay
			is.NoErr(c(o))
		}
	}
	bad := lossy(1, 3, 16)
	faulty(&bad)
	err := c(bad)
	t.Logf("faulty variant: %v", err)
	is.True(err != nil) // the check must detect the faulty variant
}

func lossy(seed uint64, dcs, perDC int) Options {
	return Options{
		Seed: seed, DataCentres: dcs, PerDataCentre: perDC, Loss: 0.02, Delay: 5 * time.Millisecond,
		LocalDelay: 500 * time.Microsecond,
	}
}

func service(id pimid.ServiceID, name string) pimview.Service {
	return pimview.Service{ID: id, Name: name}
}

// started returns a fleet that has one configuration in force everywhere. NoSync applies only afterwards, so that a
// faulty variant fails in the part that a test is about.
func started(o Options) (f *Fleet, err error) {
	noSync := o.NoSync
	o.NoSync = false
	f = New(o)
	err = f.converged(f.Put("services/1", service(1, "first")))
	f.opts.NoSync = noSync
	return f, err
}

func (f *Fleet) converged(r pimid.Revision) error {
	return f.within(configBound, fmt.Sprintf("revision %d everywhere", r), AtRevision(r))
}

func (f *Fleet) within(limit time.Duration, what string, cond func(*VM) bool) error {
	if took, ok := f.RunUntil(limit, func() bool { return f.All(cond) }); !ok {
		return fmt.Errorf("not within %v: %s", took, what)
	}
	return nil
}

func (f *Fleet) noRegression() error {
	if n := f.Regressions(); n > 0 {
		return fmt.Errorf("%d revisions went back", n)
	}
	return nil
}

// falselyDead counts running VMs that some running VM of their data centre takes to be dead.
func (f *Fleet) falselyDead() (n int) {
	for _, vm := range f.vms {
		for _, m := range vm.Members.All() {
			other := f.VM(m.ID)
			if vm.up && other.up && m.State == pimmember.Dead && other.DataCentre == vm.DataCentre {
				n++
			}
		}
	}
	return n
}
