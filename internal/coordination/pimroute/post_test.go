package pimroute

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

var (
	third    = Home{Node: 3, Incarnation: 33}
	statuses = map[Home]HomeStatus{peer: HomeLeft, third: HomeLive}
)

// Guards against a POST that is run by a VM that must not run it, and against the outcome not_run for one that may have
// run.
func TestPostRules(t *testing.T) {
	home := func(h Home) func(*pimtoken.Token) {
		return func(t *pimtoken.Token) { t.Home, t.HomeIncarnation = h.Node, h.Incarnation }
	}
	noTag := func(p *pimedge.Packet) { p.HasTag = false }
	for _, c := range []struct {
		name    string
		home    func(*pimtoken.Token)
		packet  func(*pimedge.Packet)
		fakes   fakes
		age     time.Duration
		stopped bool
		kind    ActionKind
		rule    Rule
		node    pimid.NodeID
		outcome pimedge.Outcome
		renewed bool
	}{
		{name: "own token", home: home(self), kind: Execute, rule: RuleHome},
		{
			name: "own token, half of the permit lifetime passed", home: home(self), age: pimtoken.PermitReissueAge, kind: Execute,
			rule: RuleHome, renewed: true,
		},
		{
			name: "own token of an earlier incarnation", home: home(Home{self.Node, 10}), kind: Reply, rule: RuleHomeLost,
			outcome: pimedge.OutcomeUnknown, renewed: true,
		},
		{name: "live home", fakes: fakes{homes: map[Home]HomeStatus{peer: HomeLive}}, kind: Relay, rule: RuleHomeRelay, node: 2},
		{name: "dead home", kind: Reply, rule: RuleHomeLost, outcome: pimedge.OutcomeUnknown, renewed: true},
		{
			name: "home with successor", fakes: fakes{homes: statuses, successor: map[Home]Home{peer: third}}, kind: Relay,
			rule: RuleSuccessorRelay, node: 3,
		},
		{
			name: "successor is this VM", fakes: fakes{homes: statuses, successor: map[Home]Home{peer: self}}, kind: Execute,
			rule: RuleHome,
		},
		{
			name: "cycle of successors", fakes: fakes{homes: statuses, successor: map[Home]Home{peer: peer}}, kind: Reply,
			rule: RuleHomeLost, outcome: pimedge.OutcomeUnknown, renewed: true,
		},
		{
			name: "stopped home", home: home(self), stopped: true, kind: Relay, rule: RuleSuccessorRelay, node: 3,
			fakes: fakes{homes: statuses},
		},
		{
			name: "too many relays", fakes: fakes{homes: statuses, successor: map[Home]Home{peer: third}}, kind: Reply,
			packet: func(p *pimedge.Packet) { p.Hops, p.Contract = maxHops, 1 }, rule: RuleHomeLost,
			outcome: pimedge.OutcomeUnknown, renewed: true,
		},
		{
			name: "permit expired", home: home(self), age: pimtoken.PermitLifetime, kind: Reply, rule: RulePermitExpired,
			outcome: pimedge.OutcomeUnknown, renewed: true,
		},
		{name: "no tag", home: home(self), packet: noTag, kind: Reply, rule: RuleNoTag, outcome: pimedge.OutcomeNotRun},
		{
			name: "bad token", packet: func(p *pimedge.Packet) { p.Token[5] ^= 1 }, kind: Reply, rule: RuleBadMAC,
			outcome: pimedge.OutcomeUnknown, renewed: true,
		},
		{
			name: "contract removed meanwhile", packet: func(p *pimedge.Packet) { p.Service = 9 }, kind: Reply,
			rule: RuleNoContract, outcome: pimedge.OutcomeUnknown,
		},
		{
			name: "no token", packet: func(p *pimedge.Packet) { p.Token = nil }, kind: Reply, rule: RuleNoToken,
			outcome: pimedge.OutcomeNotRun, renewed: true,
		},
		{
			name: "idempotent request at any VM", packet: func(p *pimedge.Packet) { p.Kind = pimedge.KindGet },
			kind: Execute, rule: RuleGet,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tok := flowToken()
			if c.home != nil {
				c.home(&tok)
			}
			p := flowPacket(seal(t, &tok))
			p.Kind, p.HasTag, p.Tag = pimedge.KindPost, true, 4
			if c.packet != nil {
				c.packet(p)
			}
			r := testRouter(t, &c.fakes, testView())
			if c.stopped {
				r.Stop(third)
			}
			var a Action
			r.Route(0, unixStart+int64(c.age/time.Second), p, &a)
			is.Equal(a.Rule.String(), c.rule.String())
			is.Equal(a.Kind, c.kind)
			is.Equal(a.Node, c.node)
			is.Equal(a.Reply.Outcome, c.outcome)
			is.Equal(len(a.Reply.Token) > 0, c.renewed)
			is.Equal(r.Count(c.rule), uint64(1))
		})
	}
}

// Guards against a renewed token whose request tags collide with those of the old one, that loses the flow, or that
// extends a flow beyond its lifetime.
func TestRenewedToken(t *testing.T) {
	is := is.New(t)
	r, tok := testRouter(t, &fakes{}, testView()), flowToken()
	p := flowPacket(seal(t, &tok))
	p.Kind, p.HasTag = pimedge.KindPost, true
	for age, flags := range map[time.Duration]pimtoken.Flags{
		pimtoken.PermitLifetime: pimtoken.FlagFlow, pimtoken.FlowLifetime: 0,
	} {
		var a Action
		var got pimtoken.Token
		r.Route(0, unixStart+int64(age/time.Second), p, &a)
		is.NoErr(r.current.Load().ring.Open(unixStart, a.Reply.Token, &got))
		is.True(got.Flow != tok.Flow)
		is.Equal(got.Flags, flags)
		is.Equal(Home{got.Home, got.HomeIncarnation}, self)
	}
}
