package pimroute

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

func (a *Action) reset() { *a = Action{} }

// refuse sets a to a refusal. A POST with a token may be a duplicate of one that has run at its home VM, so only that
// VM may answer that it was not run; any other VM answers that the outcome is unknown.
func refuse(a *Action, p *pimedge.Packet, rule Rule, reason pimedge.Reason, retry time.Duration) {
	a.Kind, a.Rule = Reply, rule
	a.Reply.Outcome = pimedge.OutcomeNotRun
	if p.Kind == pimedge.KindPost && len(p.Token) > 0 {
		a.Reply.Outcome = pimedge.OutcomeUnknown
	}
	a.Reply.Reason = reason
	a.Reply.RetryAfter = retry
}

// replyNewToken answers with a new token, with which the caller must send the message again; nothing was forwarded.
func (d *decision) replyNewToken(rule Rule) {
	refuse(d.a, d.p, rule, pimedge.ReasonNoToken, 0)
	d.issueRequestToken()
}

// issueRequestToken adds a token without a flow to the reply; it can be used for requests and to open a flow.
func (d *decision) issueRequestToken() {
	d.issue(&pimtoken.Token{Service: d.p.Service, Contract: d.a.Contract, Flow: d.newFlowID()})
}

// issue seals t, with this VM or its successor as home, and adds it to the reply.
func (d *decision) issue(t *pimtoken.Token) {
	if d.dryRun {
		return
	}
	home := d.r.home()
	t.Home, t.HomeIncarnation = home.Node, home.Incarnation
	t.IssuedAt = uint32(d.unixNow)
	if err := d.s.ring.Seal(d.unixNow, t, &d.a.tokenBuf); err != nil {
		d.handleSealFailure()
		return
	}
	d.a.Reply.Token = d.a.tokenBuf[:]
}

// handleSealFailure handles the failure to seal a new token: a reply that exists to deliver the token becomes a refusal,
// and other answers are sent without a token.
func (d *decision) handleSealFailure() {
	if d.a.Kind == Reply && d.a.Reply.Reason == pimedge.ReasonNoToken {
		refuse(d.a, d.p, RuleNoSealingKey, pimedge.ReasonViewBehind, viewBehindRetryAfter)
	}
}

func (d *decision) newFlowID() pimid.FlowID {
	return pimid.FlowID(d.r.nextFlow.Add(1)) & pimid.FlowIDMask
}

// home returns the VM that accepts the POST requests of newly issued tokens.
func (r *Router) home() Home {
	if s := r.successor.Load(); s != nil {
		return *s
	}
	return r.cfg.Self
}
