package pimonce

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// refusal is the compact record of a request that was not run. In a flood, most entries are refusals, so they are kept
// in a table of their own that needs less memory.
type refusal struct {
	expires    pimclock.Instant
	retryAfter time.Duration
	reason     pimedge.Reason
	contract   pimid.ContractID
}

func (r refusal) reply() pimedge.Reply {
	return pimedge.Reply{Outcome: pimedge.OutcomeNotRun, Reason: r.reason, RetryAfter: r.retryAfter}
}

// isRefusal reports whether a reply can be kept as a refusal, that is, without status, body and token.
func isRefusal(r pimedge.Reply) bool {
	return r.Outcome == pimedge.OutcomeNotRun && r.Status == 0 && len(r.Body) == 0 && len(r.Token) == 0
}

// hasRefusalRoom reports whether one more refusal of the contract may be recorded.
func (s *store) hasRefusalRoom(c pimid.ContractID) bool {
	underLimit := c == 0 || s.usages[c].refusals < max(s.cfg.MaxRefusals/contractDivisor, 1)
	return underLimit && len(s.refused) < s.cfg.MaxRefusals
}

func (s *store) addRefusal(k recordKey, c pimid.ContractID, expires pimclock.Instant, r pimedge.Reply) {
	s.refused[k] = refusal{expires: expires, retryAfter: r.RetryAfter, reason: r.Reason, contract: c}
	s.usages.add(c, 0, 1)
	s.schedule(k, expires)
}

// findRefusal returns the reply of a recorded refusal and extends its expiry to the given instant if that is later.
func (s *store) findRefusal(k recordKey, until pimclock.Instant) (reply pimedge.Reply, ok bool) {
	r, ok := s.refused[k]
	if !ok {
		return reply, false
	}
	if r.expires < until {
		r.expires = until
		s.refused[k] = r
	}
	return r.reply(), true
}

// expireRefusal drops a refusal that has expired and reschedules one whose expiry was extended.
func (s *store) expireRefusal(now pimclock.Instant, k recordKey) {
	r, ok := s.refused[k]
	switch {
	case !ok:
	case now.Before(r.expires):
		s.schedule(k, r.expires)
	default:
		delete(s.refused, k)
		s.usages.add(r.contract, 0, -1)
	}
}
