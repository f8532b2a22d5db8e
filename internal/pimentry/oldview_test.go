package pimentry

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimgossip"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimregistry"
	"github.com/pimentoyard/pimentoyard/internal/pimsettings"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Guards against opening packets at a backend server in slow start from a VM with an old view, which may lack a restart or a limit.
func TestVMWithAnOldViewSendsNothingInSlowStart(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	clock.Advance(time.Hour)
	n := &Node{clock: clock, set: metrics.NewSet()}
	n.cfg.Node = pimsettings.EntryNode{Name: "vm-1", DataCentre: "ikeja"}
	n.registry = pimregistry.New(pimregistry.DefaultSettings(3*time.Second), clock, nil)
	s := newSlowStart(n, &pimsettings.EntrySlowStart{Overage: 1.5, Slack: 5})
	run := func(d time.Duration) {
		const every = 200 * time.Millisecond
		for range d / every {
			clock.Advance(every)
			s.limiter.Update(clock.Now(), pimgossip.Membership{RunningFor: time.Hour})
		}
	}
	h := &pimcatalog.Host{ID: 1, DataCentre: "ikeja"}
	allows := func() bool { return s.AllowsWithin(clock.Now(), h, 2, 0) }
	run(4 * time.Second)
	is.True(!allows()) // it has no view
	n.registry.ReadSucceeded(n.clock.Now())
	is.NoErr(n.registry.Restore(pimregistry.Snapshot{Revision: 1}))
	is.True(allows())
	run(3 * time.Second)
	is.True(allows())
	run(200 * time.Millisecond)
	is.True(!allows())
	is.Equal(s.denied.Get(), uint64(0)) // a question alone counts nothing; see RecordDenied
	s.RecordDenied(2)
	is.Equal(s.denied.Get(), uint64(2))
	n.registry.ReadSucceeded(n.clock.Now())
	n.registry.ConfirmRead()
	is.True(allows())
}
