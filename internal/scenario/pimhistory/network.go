package pimhistory

import "time"

// send delivers a message between two places, possibly late, twice or never.
func (w *world) send(deliver func()) {
	if w.Rand.Float64() < lossPart {
		return
	}
	w.After(w.latency(), deliver)
	if w.Rand.Float64() < copyPart {
		w.After(w.latency(), deliver)
	}
}

// latency is exponential, with a few messages that arrive after all deadlines or after the end of the permit.
func (w *world) latency() time.Duration {
	if w.Rand.Float64() < latePart {
		return time.Duration(w.Rand.Float64() * float64(lateDelay))
	}
	return w.Exp(20 * time.Millisecond)
}

// link delivers a message from one VM to another unless the VMs are cut off from each other.
func (w *world) link(from, to *node, deliver func()) {
	if w.cut(from, to) {
		return
	}
	w.send(func() {
		if !w.cut(from, to) {
			to.do(deliver)
		}
	})
}

// cut reports whether a partition separates two VMs.
func (w *world) cut(a, b *node) bool {
	return w.Now().Before(w.cutUntil) && w.side[a.index] != w.side[b.index]
}
