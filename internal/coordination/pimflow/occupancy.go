package pimflow

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// The bounds of the occupancy of a class.
const (
	// occupancyStep is the part of the occupancy that one answer replaces, and firstAnswers the number of answers that weigh more:
	// the n-th one replaces 1/(n+firstAnswers).
	occupancyStep = 0.03
	firstAnswers  = 4
	// minOccupancySample bounds the influence of one answer.
	minOccupancySample = 0.05
	// initialOccupancy is that of a class before any answer. A VM that does not know yet whether its counts mean queues must not refuse
	// flows for them; about ten answers from a queue suffice.
	initialOccupancy = 0.2
	// trustedOccupancy is the value from which counts are taken as they are: the answer time of a full queue is somewhat shorter than the
	// count alone predicts, as requests in service are partly done and the way to the caller does not grow.
	trustedOccupancy = 0.65
)

// occupancy is the part of the counted requests of a class that occupy its backend servers. A request counts as running until the
// caller's next packet, which comes late if the answer fits one packet and the flow stays open. Then the requests counted do not delay
// each other as much as requests in a queue would.
type occupancy struct {
	part    float64
	answers int
}

// add adds the time to an answer in parts of the time that the count predicts.
func (o *occupancy) add(part float64) {
	step := max(occupancyStep, 1/float64(o.answers+firstAnswers))
	o.answers++
	o.part += step * (min(max(part, minOccupancySample), 1) - o.part)
}

// value returns the part, at most 1.
func (o *occupancy) value() float64 { return min(1, o.part/trustedOccupancy) }

// occupancy returns the occupancy of a class and creates it on first use.
func (t *Table) occupancy(c class) *occupancy {
	o := t.occupancies[c]
	if o == nil {
		o = &occupancy{part: initialOccupancy}
		t.occupancies[c] = o
	}
	return o
}

// vacant returns the part of the running requests that does not occupy a backend server; of one that the catalog does not have, all do.
func (t *Table) vacant(h *host) float64 {
	if !h.isKnown() {
		return 0
	}
	return 1 - t.occupancy(h.class).value()
}

// learnOccupancy compares the time to the answer that the packet p shows with the time that the requests under way predict.
func (t *Table) learnOccupancy(now pimclock.Instant, p *pimpacket.Packet, r *record, h *host) {
	perSlot := r.ahead / float64(max(1, h.slots))
	elapsed := now.Sub(r.requestedAt)
	// The caller's next request, or the close after several, comes after a pause.
	isPrompt := p.Data == 0 && (!p.Flags.Has(pimpacket.Close) || r.requests == 1)
	isTimed := isPrompt && r.running && r.requestedAt != 0 && elapsed > 0 && !now.Before(t.ignoreMissesUntil)
	if !isTimed || perSlot <= 1 || !h.isKnown() || now.Before(h.coldUntil) {
		return
	}
	work, ok := t.Work(p.Flow.Destination)
	if !ok {
		return
	}
	speed := h.speed
	if speed <= 0 {
		speed = 1
	}
	// A full queue refuses further requests, so that answers no longer take longer with more of them.
	predicted := time.Duration(float64(work) * min(perSlot, t.cfg.MaxPerSlot) / speed)
	t.occupancy(h.class).add(float64(elapsed) / float64(predicted))
}
