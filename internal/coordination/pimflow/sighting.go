package pimflow

import (
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// maxSightings bounds the flows without a record whose first packets are remembered.
const maxSightings = 10_000

// sighting is the first and the last packet that this VM received of a flow that it does not forward.
type sighting struct {
	tag                 pimcatalog.Tag
	firstSeen, lastSeen pimclock.Instant
}

// FirstSeen returns when this VM received the first packet of an open flow that has the tag of p. That packet may be p itself:
// it is remembered even if the flow is not forwarded.
func (t *Table) FirstSeen(now pimclock.Instant, p *pimpacket.Packet) pimclock.Instant {
	if r := t.flows[p.Flow]; r != nil && r.host.Tag() == p.Tag {
		return r.openedAt
	}
	s, ok := t.sightings[p.Flow]
	switch {
	case !ok && len(t.sightings) >= maxSightings:
		return now
	case !ok || s.tag != p.Tag:
		s = sighting{tag: p.Tag, firstSeen: now}
	}
	s.lastSeen = now
	t.sightings[p.Flow] = s
	return s.firstSeen
}

// sweepSightings forgets flows without packets for IdleFor.
func (t *Table) sweepSightings(now pimclock.Instant) {
	for f, s := range t.sightings {
		if now.Sub(s.lastSeen) > t.cfg.IdleFor {
			delete(t.sightings, f)
		}
	}
}
