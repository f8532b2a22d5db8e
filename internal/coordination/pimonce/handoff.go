package pimonce

import "github.com/samber/oops"

// handoff moves one record through its phases.
type handoff struct {
	home *Home
	rec  *record
}

// Commit marks the request as handed over; it fails once the record is final or its permit has ended.
func (f *handoff) Commit() (err error) {
	defer func() { err = oops.In("pimonce").Wrapf(err, "hand over request") }()
	h := f.home
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case f.rec.phase == phaseDone:
		return ErrStopped
	case !h.clock.Now().Before(f.rec.expires):
		return ErrPermitEnded
	}
	f.rec.phase = phaseHandedOver
	return nil
}

// Retract returns the request to the state before Commit.
func (f *handoff) Retract() {
	f.home.mu.Lock()
	defer f.home.mu.Unlock()
	if f.rec.phase == phaseHandedOver {
		f.rec.phase = phaseWaiting
	}
}

// Untracked is the handoff of idempotent requests, which need no record.
type Untracked struct{}

// Commit always succeeds.
func (Untracked) Commit() error { return nil }

// Retract does nothing.
func (Untracked) Retract() {}
