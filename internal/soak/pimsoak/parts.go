package pimsoak

import (
	"sync"
	"time"
)

// parts records which parts of the system a fault disturbs, and since when the others are undisturbed; it is safe for concurrent use.
// Parts that were never disturbed are undisturbed since the zero time.
type parts struct {
	mu        sync.Mutex
	disturbed map[string]bool
	since     map[string]time.Time
}

func newParts() *parts { return &parts{disturbed: map[string]bool{}, since: map[string]time.Time{}} }

// set records that a part is disturbed, or not any more.
func (p *parts) set(name string, disturbed bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.disturbed[name] != disturbed {
		p.disturbed[name], p.since[name] = disturbed, now
	}
}

// touch records a disturbance of a part that is over at once.
func (p *parts) touch(name string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.since[name] = now
}

// undisturbedSince returns since when none of the parts is disturbed; ok is false if one is.
func (p *parts) undisturbedSince(names ...string) (since time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		if p.disturbed[name] {
			return since, false
		}
		if p.since[name].After(since) {
			since = p.since[name]
		}
	}
	return since, true
}
