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

// The bounds of the design; durations are in simulated time, byteBound is in bytes per second.
const (
	configBound = 15 * time.Second
	drainBound  = 5 * time.Second
	// detectBound allows for the time until some VM probes the failed one, for one probe and for the suspicion timeout.
	// The first takes about 5 s for 64 VMs; since the probe order is random, the probability of a longer time falls
	// exponentially.
	detectBound = 12 * time.Second
	byteBound   = 5_000
)

// check runs a fleet with the given options and returns an error if an invariant does not hold.
type check func(Options) error

// testCheck runs a check with several seeds and delays, where it must pass, and once with a faulty variant, where it
// must fail.
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

// lossy returns the options of a fleet whose network loses 2% of the datagrams.
func lossy(seed uint64, dcs, perDC int) Options {
	return Options{
		Seed: seed, DataCentres: dcs, PerDataCentre: perDC, Loss: 0.02, Delay: 5 * time.Millisecond,
		LocalDelay: 500 * time.Microsecond,
	}
}

func service(id pimid.ServiceID, name string) pimview.Service {
	return pimview.Service{ID: id, Name: name}
}

// started returns a fleet in which the first configuration is in force on all VMs. NoSync applies only afterwards, so
// that a faulty variant fails in the behaviour under test and not at the start.
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

// within returns an error unless the condition holds on all running VMs within the limit.
func (f *Fleet) within(limit time.Duration, what string, cond func(*VM) bool) error {
	if took, ok := f.RunUntil(limit, func() bool { return f.All(cond) }); !ok {
		return fmt.Errorf("condition not met within %v: %s", took, what)
	}
	return nil
}

// noRegression returns an error if a VM went to a lower revision.
func (f *Fleet) noRegression() error {
	if n := f.Regressions(); n > 0 {
		return fmt.Errorf("VMs went to a lower revision %d times", n)
	}
	return nil
}

// falselyDead returns the number of ordered pairs of running VMs in one data centre of which the first considers the
// second dead.
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
