package pimroute

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

func (a *Action) reset() { *a = Action{} }

// refuse fills a refusal. A POST with a token may repeat one that has run at its home VM, so only that VM may say that
// it was not run; every other answer to it is unknown.
func refuse(a *Action, p *pimedge.Packet, rule Rule, reason pimedge.Reason, retry time.Duration) {
	a.Kind, a.Rule = Reply, rule
	a.Reply.Outcome = pimedge.OutcomeNotRun
	if p.Kind == pimedge.KindPost && len(p.Token) > 0 {
		a.Reply.Outcome = pimedge.OutcomeUnknown
	}
	a.Reply.Reason = reason
	a.Reply.RetryAfter = retry
}

// challenge answers with a new token that the caller must repeat; nothing was forwarded.
func (d *decision) challenge(rule Rule) {
	refuse(d.a, d.p, rule, pimedge.ReasonNoToken, 0)
	d.issueRequestToken()
}

// issueRequestToken adds a token to the reply under which no flow was admitted.
func (d *decision) issueRequestToken() {
	d.issue(&pimtoken.Token{Service: d.p.Service, Contract: d.a.Contract, Flow: d.newFlowID()})
}

// issue seals t with this VM, or its successor, as home and adds it to the reply.
func (d *decision) issue(t *pimtoken.Token) {
	if d.dryRun {
		return
	}
	home := d.r.home()
	t.Home, t.HomeIncarnation = home.Node, home.Incarnation
	t.IssuedAt = uint32(d.unixNow)
	if err := d.s.ring.Seal(d.unixNow, t, &d.a.tokenBuf); err != nil {
		d.handleNoToken()
		return
	}
	d.a.Reply.Token = d.a.tokenBuf[:]
}

// handleNoToken turns a reply whose purpose is a new token into a refusal; other answers go out without one.
func (d *decision) handleNoToken() {
	if d.a.Kind == Reply && d.a.Reply.Reason == pimedge.ReasonNoToken {
		refuse(d.a, d.p, RuleNoSealingKey, pimedge.ReasonViewBehind, viewBehindRetry)
	}
}

func (d *decision) newFlowID() pimid.FlowID {
	return pimid.FlowID(d.r.nextFlow.Add(1)) & pimid.FlowIDMask
}

// home returns the VM that accepts POST requests under new tokens.
func (r *Router) home() Home {
	if s := r.successor.Load(); s != nil {
		return *s
	}
	return r.cfg.Self
}
