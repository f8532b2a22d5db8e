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
	at      map[pimpacket.Flow]pimclock.Instant
	sweptAt pimclock.Instant
}

func (d *deferredFlows) has(f pimpacket.Flow) bool {
	_, ok := d.at[f]
	return ok
}

// add remembers a flow, and forgets those whose callers have given up.
func (d *deferredFlows) add(now pimclock.Instant, f pimpacket.Flow) {
	if now.Sub(d.sweptAt) >= deferredFor {
		d.sweptAt = now
		for old, at := range d.at {
			if now.Sub(at) >= deferredFor {
				delete(d.at, old)
			}
		}
	}
	if len(d.at) < maxDeferred {
		d.at[f] = now
	}
}

func (d *deferredFlows) remove(f pimpacket.Flow) { delete(d.at, f) }
