package pimroute

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Explanation describes what this VM would do with a packet, and why.
type Explanation struct {
	Action   string               `json:"action"`
	Rule     string               `json:"rule"`
	Reason   pimedge.Reason       `json:"reason,omitempty"`
	Revision pimid.Revision       `json:"revision"`
	Contract pimid.ContractID     `json:"contract,omitempty"`
	Customer pimid.Customer       `json:"customer,omitempty"`
	Terms    *pimcontract.Terms   `json:"terms,omitempty"`
	Backend  pimid.BackendID      `json:"backend,omitempty"`
	State    pimview.BackendState `json:"backend_state,omitempty"`
	Node     pimid.NodeID         `json:"node,omitempty"`
}

// Explain returns the decision about a packet without admitting or placing a flow, counting or issuing tokens. Terms
// are those in force at unixNow, in unix seconds.
func (r *Router) Explain(now pimclock.Instant, unixNow int64, p *pimedge.Packet) Explanation {
	s := r.current.Load()
	if s == nil {
		return Explanation{Action: Reply.String(), Rule: RuleNoView.String(), Reason: pimedge.ReasonViewBehind}
	}
	var a Action
	d := decision{r: r, s: s, now: now, unixNow: unixNow, p: p, a: &a, dryRun: true}
	d.decide()
	e := Explanation{
		Action: a.Kind.String(), Rule: a.Rule.String(), Reason: a.Reply.Reason, Revision: a.Revision,
		Contract: a.Contract, Backend: a.Backend, Node: a.Node, State: s.view.Backends[a.Backend].State,
	}
	if c, ok := s.view.Contracts[a.Contract]; ok && a.Rule != RuleNoContract {
		terms := c.TermsAt(time.Unix(unixNow, 0))
		e.Customer, e.Terms = c.Customer, &terms
	}
	return e
}

// String returns the name of the action in traces and metrics.
func (k ActionKind) String() string {
	switch k {
	case Forward:
		return "forward"
	case Execute:
		return "execute"
	case Relay:
		return "relay"
	case Reply:
		return "reply"
	default:
		return "unknown"
	}
}
