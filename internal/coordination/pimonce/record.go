package pimonce

import (
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// phase is how far the execution of a request has got.
type phase uint8

const (
	// phasePending: no attempt has reached a backend server.
	phasePending phase = iota
	// phaseSent: an attempt may have reached a backend server.
	phaseSent
	// phaseDone: the reply is final.
	phaseDone
)

// recordKey identifies a request among those of all homes.
type recordKey struct {
	home HomeID
	key  Key
}

// record is the state of one request.
type record struct {
	key      recordKey
	contract pimid.ContractID
	phase    phase
	expires  pimclock.Instant
	reply    pimedge.Reply
	// notify holds a function for each waiting duplicate, called once the reply is final.
	notify []func(pimedge.Reply)
}

// recordBytes is the accounted memory of a record without its answer; with 100,000 records, 273 bytes each were
// measured.
const recordBytes = 280

func (r *record) size() int { return recordBytes + len(r.reply.Body) + len(r.reply.Token) }

// finalReply returns the reply that may be reported: a request that is marked as sent is never reported as not run.
func finalReply(p phase, reply pimedge.Reply) pimedge.Reply {
	if p == phaseSent && reply.Outcome == pimedge.OutcomeNotRun {
		return pimedge.Reply{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonNoAnswer}
	}
	if reply.Outcome == "" {
		return defaultReply(p)
	}
	return reply
}

// defaultReply returns the reply of a request without a reply of its own: the execution ended without one, or the records
// were exported while it ran.
func defaultReply(p phase) pimedge.Reply {
	if p == phasePending {
		return pimedge.Reply{Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonDraining}
	}
	return pimedge.Reply{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonNoAnswer}
}
