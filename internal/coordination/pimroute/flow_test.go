package pimroute

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

type flowCase struct {
	name   string
	token  func(*pimtoken.Token)
	view   func(*pimview.View)
	packet func(*pimedge.Packet)
	fakes  fakes
	age    time.Duration
	kind   ActionKind
	rule   Rule
	reason pimedge.Reason
}

func (c *flowCase) run(t *testing.T) (a Action, f *fakes) {
	tok, v := flowToken(), testView()
	if c.token != nil {
		c.token(&tok)
	}
	if c.view != nil {
		c.view(v)
	}
	p := flowPacket(seal(t, &tok))
	if c.packet != nil {
		c.packet(p)
	}
	f = &c.fakes
	testRouter(t, f, v).Route(0, unixStart+int64(c.age/time.Second), p, &a)
	return a, f
}

func setBackend(service pimid.ServiceID, generation pimid.Generation) func(*pimview.View) {
	return func(v *pimview.View) {
		b := v.Backends[1]
		b.Service, b.Generation = service, generation
		v.Backends[1] = b
	}
}

func setGeneration(g pimid.Generation) func(*pimtoken.Token) {
	return func(t *pimtoken.Token) { t.Generation = g }
}

var flowCases = []flowCase{
	{name: "established", kind: Forward, rule: RuleEstablished},
	{name: "leaving backend keeps its flows", kind: Forward, rule: RuleEstablished, view: func(v *pimview.View) {
		b := v.Backends[1]
		b.State = pimview.BackendLeaving
		v.Backends[1] = b
	}},
	{name: "reissue after half of the lifetime", age: pimtoken.FlowReissueAge, kind: Reply, rule: RuleFlowReissue},
	{
		name: "flow data after half of the lifetime", age: pimtoken.FlowReissueAge, kind: Forward, rule: RuleEstablished,
		packet: func(p *pimedge.Packet) { p.Observe = false },
	},
	{
		name: "expired", age: pimtoken.FlowLifetime, kind: Reply, rule: RuleFlowExpired,
		reason: pimedge.ReasonNoToken,
	},
	{
		name: "wrong service", token: func(t *pimtoken.Token) { t.Service = 2 }, kind: Reply, rule: RuleOtherService,
		reason: pimedge.ReasonBadToken,
	},
	{
		name: "replayed by another customer", packet: func(p *pimedge.Packet) { p.Source = bob }, kind: Reply,
		rule: RuleOtherContract, reason: pimedge.ReasonBadToken,
	},
	{
		name: "source without contract", packet: func(p *pimedge.Packet) { p.Source = alice; p.Service = 9 }, kind: Reply,
		rule: RuleNoContract, reason: pimedge.ReasonNoContract,
	},
	{
		name: "truncated", packet: func(p *pimedge.Packet) { p.Token = p.Token[:39] }, kind: Reply, rule: RuleTokenSize,
		reason: pimedge.ReasonBadToken,
	},
	{
		name: "forged", packet: func(p *pimedge.Packet) { p.Token[7] ^= 1 }, kind: Reply, rule: RuleBadMAC,
		reason: pimedge.ReasonBadToken,
	},
	{
		name: "unknown key", packet: func(p *pimedge.Packet) { p.Token[0] = 9 }, kind: Reply, rule: RuleUnknownKey,
		reason: pimedge.ReasonBadToken,
	},
	{
		name: "unknown key while behind", packet: func(p *pimedge.Packet) { p.Token[0] = 9 }, fakes: fakes{newerPeer: 2},
		kind: Reply, rule: RuleUnknownKeyBehind, reason: pimedge.ReasonViewBehind,
	},
	{
		name: "same generation at another service", view: setBackend(2, 7), kind: Reply, rule: RuleBackendOtherService,
		reason: pimedge.ReasonBadToken,
	},
	{
		name: "reused by another service", view: setBackend(2, 8), kind: Reply, rule: RuleBackendGone,
		reason: pimedge.ReasonBackendGone,
	},
	{
		name: "restarted", token: setGeneration(0xffff), view: setBackend(1, 1), kind: Reply, rule: RuleBackendGone,
		reason: pimedge.ReasonBackendGone,
	},
	{
		name: "ended but still in the view", fakes: fakes{gone: true}, kind: Reply, rule: RuleBackendGone,
		reason: pimedge.ReasonBackendGone,
	},
	{
		name: "newer generation, newer peer", token: setGeneration(8), fakes: fakes{newerPeer: 2}, kind: Relay,
		rule: RuleViewBehindRelay,
	},
	{
		name: "newer generation, no newer peer", token: setGeneration(8), kind: Reply, rule: RuleViewBehind,
		reason: pimedge.ReasonViewBehind,
	},
	{
		name: "relayed packet is not relayed again", token: setGeneration(8), fakes: fakes{newerPeer: 2}, kind: Reply,
		packet: func(p *pimedge.Packet) { p.Hops, p.Contract = 1, 1 }, rule: RuleViewBehind,
		reason: pimedge.ReasonViewBehind,
	},
	{
		name: "unknown backend of a recent token", token: func(t *pimtoken.Token) { t.Backend = 77 }, kind: Reply,
		rule: RuleViewBehind, reason: pimedge.ReasonViewBehind,
	},
	{
		name: "unknown backend of an old token", kind: Reply, rule: RuleBackendGone, reason: pimedge.ReasonBackendGone,
		token: func(t *pimtoken.Token) { t.Backend = 77; t.IssuedAt -= 16 },
	},
	{
		name: "unknown backend of an old token, newer peer", fakes: fakes{newerPeer: 2}, kind: Relay,
		rule: RuleViewBehindRelay, token: func(t *pimtoken.Token) { t.Backend = 77; t.IssuedAt -= 16 },
	},
	{
		name: "stale view, newer peer", age: 16 * time.Second, fakes: fakes{newerPeer: 2}, kind: Relay,
		rule: RuleStaleRelay,
	},
	{
		name: "stale view, no newer peer", age: 16 * time.Second, kind: Forward, rule: RuleEstablished,
	},
	{
		name: "request token opens a flow", fakes: fakes{backend: 2}, kind: Reply, rule: RuleFlowOpened,
		reason: pimedge.ReasonNoToken, token: func(t *pimtoken.Token) { t.Flags = 0 },
	},
	{
		name: "request token at the flow limit", fakes: fakes{backend: 2, full: true}, kind: Reply, rule: RuleFlowLimit,
		reason: pimedge.ReasonFlowLimit, token: func(t *pimtoken.Token) { t.Flags = 0 },
	},
	{
		name: "placed at another service", fakes: fakes{backend: 3}, kind: Reply, rule: RuleNoBackend,
		reason: pimedge.ReasonOverload, token: func(t *pimtoken.Token) { t.Flags = 0 },
	},
	{
		name: "established flow at the flow limit", fakes: fakes{full: true}, kind: Forward, rule: RuleEstablished,
	},
}

// Guards against packets that reach the wrong backend server, and against the refusal of flows that are still served.
func TestFlowRules(t *testing.T) {
	for _, c := range flowCases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, _ := c.run(t)
			is.Equal(a.Rule.String(), c.rule.String())
			is.Equal(a.Kind, c.kind)
			is.Equal(a.Reply.Reason, c.reason)
			is.Equal(a.Address.IsValid(), c.kind == Forward || c.rule == RuleFlowReissue)
			is.Equal(a.Revision, pimid.Revision(5))
		})
	}
}

// Guards against a reissued token that changes the flow, and against an opening that is counted both as an admission
// and as a refresh.
func TestReissueAndRefresh(t *testing.T) {
	is := is.New(t)
	c := flowCase{age: pimtoken.FlowReissueAge}
	a, _ := c.run(t)
	var got pimtoken.Token
	is.NoErr(testRouter(t, &fakes{}, testView()).current.Load().ring.Open(unixStart, a.Reply.Token, &got))
	want := flowToken()
	want.Home, want.HomeIncarnation = self.Node, self.Incarnation
	want.IssuedAt += uint32(pimtoken.FlowReissueAge / time.Second)
	is.Equal(got, want)
	for _, age := range []time.Duration{0, 30 * time.Second} {
		c = flowCase{age: age}
		_, f := c.run(t)
		is.Equal(f.refreshes, int(age/(30*time.Second)))
	}
}

// Guards against endless `view_behind` answers after a backend server was removed, and against `backend_gone` while the
// view is older than the token.
func TestRemovedBackend(t *testing.T) {
	is := is.New(t)
	r, v, tok := testRouter(t, &fakes{}, testView()), testView(), flowToken()
	delete(v.Backends, 1)
	v.Revision++
	is.NoErr(r.Update(unixStart, v))
	var a Action
	r.Route(0, unixStart, flowPacket(seal(t, &tok)), &a)
	is.Equal(a.Rule, RuleBackendGone)

	restarted := testRouter(t, &fakes{}, v)
	restarted.Route(0, unixStart, flowPacket(seal(t, &tok)), &a)
	is.Equal(a.Rule, RuleViewBehind)
	restarted.Confirm(unixStart + propagationBound + 1)
	restarted.Route(0, unixStart, flowPacket(seal(t, &tok)), &a)
	is.Equal(a.Rule, RuleBackendGone)

	is.NoErr(r.Update(unixStart+900, v)) // the same view again must not count as confirmed
	is.Equal(r.current.Load().confirmedAt, unixStart)
	is.NoErr(r.Update(unixStart, testView())) // a lower revision must not bring the backend server back
	is.Equal(r.Revision(), v.Revision)
}

// Guards against an allocation, or a call of Members.NewerPeer, for every packet of an established flow.
func TestEstablishedFlowAllocatesNothing(t *testing.T) {
	is := is.New(t)
	f, tok := &fakes{}, flowToken()
	r := testRouter(t, f, testView())
	p := flowPacket(seal(t, &tok))
	var a Action
	is.Equal(testing.AllocsPerRun(1000, func() { r.Route(0, unixStart+60, p, &a) }), 0.0)
	is.Equal(a.Kind, Forward)
	is.Equal(f.newerPeerCalls, 1)
	p.Token[39] ^= 1
	is.Equal(testing.AllocsPerRun(1000, func() { r.Route(0, unixStart+60, p, &a) }), 0.0)
	is.Equal(a.Rule, RuleBadMAC)
}

// Guards against routing without a view, or with keys that no other VM accepts.
func TestNoViewAndNoKeys(t *testing.T) {
	is := is.New(t)
	var a Action
	r := New(Config{Self: self, Rand: rand.New(rand.NewPCG(1, 2))})
	r.Route(0, unixStart, flowPacket(nil), &a)
	is.Equal(a.Rule, RuleNoView)
	v := testView()
	v.Keys[0].PublishedAt = time.Unix(unixStart, 0)
	r = testRouter(t, &fakes{}, v)
	r.Route(0, unixStart, flowPacket(nil), &a)
	is.Equal(a.Rule, RuleNoSealingKey)
	is.Equal(len(a.Reply.Token), 0)
	v = testView()
	v.Revision++
	v.Keys[0].Secret = nil
	is.True(r.Update(unixStart, v) != nil)
}
