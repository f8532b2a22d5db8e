package pimplace

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// The bounds of the flows that are remembered.
const (
	// deferredFor is longer than callers retransmit an opening packet.
	deferredFor = 2 * time.Second
	// maxDeferred bounds the memory; flows beyond it are placed by their next copy.
	maxDeferred = 10_000
)

// deferredFlows are flows of which no copy of the opening packet has been forwarded, so that a reset breaks nothing.
type deferredFlows struct {
	at      map[pimpacket.Flow]deferral
	sweptAt pimclock.Instant
}

// deferral is the last copy of an opening packet that was left to the next one.
type deferral struct {
	at      pimclock.Instant
	attempt int
}

// mayBeOpen reports whether an earlier copy of an opening packet may have been forwarded. A copy that did not arrive here may have
// reached another VM, and an old entry belongs to an earlier flow of the same port.
func (d *deferredFlows) mayBeOpen(now pimclock.Instant, pkt *pimpacket.Packet) bool {
	if pkt.Attempt <= 0 {
		return false
	}
	last, ok := d.at[pkt.Flow]
	return !ok || last.attempt != pkt.Attempt-1 || now.Sub(last.at) >= deferredFor
}

// add remembers a flow none of whose copies was forwarded, and forgets those whose callers have given up.
func (d *deferredFlows) add(now pimclock.Instant, pkt *pimpacket.Packet) {
	if d.mayBeOpen(now, pkt) {
		return
	}
	if now.Sub(d.sweptAt) >= deferredFor {
		d.sweptAt = now
		for old, last := range d.at {
			if now.Sub(last.at) >= deferredFor {
				delete(d.at, old)
			}
		}
	}
	if _, ok := d.at[pkt.Flow]; ok || len(d.at) < maxDeferred {
		d.at[pkt.Flow] = deferral{at: now, attempt: max(0, pkt.Attempt)}
	}
}

func (d *deferredFlows) remove(f pimpacket.Flow) { delete(d.at, f) }
