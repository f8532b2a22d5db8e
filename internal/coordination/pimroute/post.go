package pimroute

import "github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"

const (
	// maxHops is the maximum number of relays of one request: to the home VM, and from there to its successor.
	maxHops = 2
	// maxSuccessors bounds the chain of successors that is followed. A token permits POST requests for 300 s, and few
	// VMs of one chain can end with a planned stop within that time.
	maxSuccessors = 8
)

// decidePost checks the request tag of a POST and whether its token still permits it, and routes it to the VM that may
// run it.
func (d *decision) decidePost() {
	switch {
	case !d.p.HasTag:
		d.refuseNoTag()
	case d.a.Token.CheckPermit(d.unixNow) != nil:
		refuse(d.a, d.p, RulePermitExpired, pimedge.ReasonExpired, 0)
		d.renewToken()
	default:
		d.routePost()
	}
}

// refuseNoTag refuses a POST without a request tag, because a duplicate of it could not be detected. No VM runs such a
// request, so the outcome is that it was not run.
func (d *decision) refuseNoTag() {
	refuse(d.a, d.p, RuleNoTag, pimedge.ReasonBadInput, 0)
	d.a.Reply.Outcome = pimedge.OutcomeNotRun
}

func (d *decision) routePost() {
	home := Home{Node: d.a.Token.Home, Incarnation: d.a.Token.HomeIncarnation}
	target, ok := d.r.acceptor(home)
	switch {
	case ok && target == d.r.cfg.Self:
		d.a.Kind, d.a.Rule = Execute, RuleHome
		d.renewPermit()
	case ok && d.p.Hops < maxHops:
		d.a.Kind, d.a.Rule, d.a.Node = Relay, RuleHomeRelay, target.Node
		if target != home {
			d.a.Rule = RuleSuccessorRelay
		}
	default:
		refuse(d.a, d.p, RuleHomeLost, pimedge.ReasonHomeLost, 0)
		d.renewToken()
	}
}

// acceptor follows the successors of a home VM to the VM that accepts its tokens now.
func (r *Router) acceptor(home Home) (target Home, ok bool) {
	for range maxSuccessors {
		if home == r.cfg.Self {
			s := r.successor.Load()
			if s == nil {
				return home, true
			}
			home = *s
			continue
		}
		status, successor := r.cfg.Members.HomeStatus(home)
		switch status {
		case HomeLive:
			return home, true
		case HomeLeft:
			home = successor
		default:
			return home, false
		}
	}
	return home, false
}

// renewPermit adds a new token to the answer once half of pimtoken.PermitLifetime has passed, so that a busy caller never
// sends a request with a token that no longer permits it.
func (d *decision) renewPermit() {
	if d.a.Token.PermitReissueDue(d.unixNow) {
		d.renewToken()
	}
}

// renewToken adds a token with this VM or its successor as home and a new flow id to the answer. Request tags are unique
// per flow id, so the caller may number its requests anew. The new token keeps the backend server of the old one, unless
// the flow has expired.
func (d *decision) renewToken() {
	t := d.a.Token
	if t.CheckFlow(d.unixNow) != nil {
		d.issueRequestToken()
		return
	}
	t.Flow = d.newFlowID()
	d.issue(&t)
}
