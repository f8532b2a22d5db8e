package pimroute

import (
	"errors"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

const (
	// viewBehindRetryAfter is the time after which a caller may retry if this VM has no view or no sealing key yet, or
	// if its view may be out of date.
	viewBehindRetryAfter = time.Second
	// overloadRetryAfter is the time after which a caller may retry if no backend server was found for its flow.
	overloadRetryAfter = time.Second
)

// decision holds the inputs and the result of the decision about one packet.
type decision struct {
	r       *Router
	s       *snapshot
	now     pimclock.Instant
	unixNow int64
	p       *pimedge.Packet
	a       *Action
	// dryRun suppresses all effects on other packets: admission, placement, counting and new tokens.
	dryRun bool
}

func (d *decision) decide() {
	d.a.Revision = d.s.view.Revision
	if !d.findContract() {
		refuse(d.a, d.p, RuleNoContract, pimedge.ReasonNoContract, 0)
		return
	}
	if len(d.p.Token) == 0 {
		d.replyNewToken(RuleNoToken)
		return
	}
	if err := d.s.ring.Open(d.unixNow, d.p.Token, &d.a.Token); err != nil {
		d.rejectInvalid(err)
		return
	}
	if d.a.Token.Service != d.p.Service {
		d.reject(RuleOtherService)
		return
	}
	if d.a.Token.Contract != d.a.Contract {
		d.reject(RuleOtherContract)
		return
	}
	switch d.p.Kind {
	case pimedge.KindFlow:
		d.decideFlow()
	case pimedge.KindPost:
		d.decidePost()
	default:
		d.decideGet()
	}
}

// findContract reports whether a contract covers the source. A relayed packet carries the contract that the relaying VM
// has looked up, and its token proves the contract.
func (d *decision) findContract() bool {
	if d.p.Hops > 0 {
		d.a.Contract = d.p.Contract
		return true
	}
	id, ok := d.s.index.lookup(d.p.Service, d.p.Source.Addr())
	d.a.Contract = id
	return ok
}

// rejectInvalid answers a packet whose token cannot be opened because of err.
func (d *decision) rejectInvalid(err error) {
	switch {
	case errors.Is(err, pimtoken.ErrSize):
		d.reject(RuleTokenSize)
	case errors.Is(err, pimtoken.ErrBadMAC):
		d.reject(RuleBadMAC)
	case errors.Is(err, pimtoken.ErrRetiredKey):
		d.reject(RuleRetiredKey)
	default:
		d.rejectUnknownKey()
	}
}

// rejectUnknownKey answers a token whose key is not in the view. If a peer has a newer view, which may contain the key,
// the caller keeps its token and retries.
func (d *decision) rejectUnknownKey() {
	if _, ok := d.newerPeer(); ok {
		refuse(d.a, d.p, RuleUnknownKeyBehind, pimedge.ReasonViewBehind, viewBehindRetryAfter)
		return
	}
	d.reject(RuleUnknownKey)
}

// reject refuses a packet because of its token and offers a new token for later requests.
func (d *decision) reject(rule Rule) {
	d.a.Token = pimtoken.Token{}
	refuse(d.a, d.p, rule, pimedge.ReasonBadToken, 0)
	d.issueRequestToken()
}

// decideGet runs an idempotent request at this VM. If the token has expired, it answers with a new one instead.
func (d *decision) decideGet() {
	if d.a.Token.CheckFlow(d.unixNow) != nil {
		d.replyNewToken(RuleFlowExpired)
		return
	}
	d.a.Kind, d.a.Rule = Execute, RuleGet
	d.renewPermit()
}
