package pimnode

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimslot"
	"github.com/pimentoyard/pimentoyard/internal/pimsettings"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimledger"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimpeer"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimudp"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

// newTestNode returns a VM without sockets that is not started.
func newTestNode(t *testing.T) *Node {
	t.Helper()
	cfg := pimsettings.Default()
	cfg.Node = pimsettings.Node{ID: 1, DataCentre: "patan", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1")}
	n := newNode(cfg, zerolog.Nop())
	n.buildComponents()
	t.Cleanup(n.close)
	return n
}

// reusedResponder is a responder that the read loop reuses for the next packet.
type reusedResponder struct {
	replies  chan pimedge.Reply
	retained *reusedResponder
}

func (r *reusedResponder) Reply(reply pimedge.Reply) error {
	r.replies <- reply
	return nil
}
func (r *reusedResponder) Forward(*pimedge.Packet, netip.AddrPort) error { return nil }
func (r *reusedResponder) Retain() pimudp.Responder                      { return r.retained }

// Guards against sending the reply to a relayed flow packet to the caller of a later packet, which happens if the
// responder is not retained, and against an unlimited number of relays while the VM with the newer view does not
// answer.
func TestFlowRelay(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t)
	r := &reusedResponder{replies: make(chan pimedge.Reply, 1), retained: &reusedResponder{replies: make(chan pimedge.Reply, 1)}}
	p, a := &pimedge.Packet{Kind: pimedge.KindFlow}, &pimroute.Action{Kind: pimroute.Relay, Node: 9}
	is.NoErr(n.startFlowRelay(context.Background(), p, a, r))
	is.Equal((<-r.retained.replies).Reason, pimedge.ReasonViewBehind) // VM 9 is not known
	is.Equal(len(r.replies), 0)
	n.flowRelays.Store(maxFlowRelays)
	is.NoErr(n.startFlowRelay(context.Background(), p, a, r))
	is.Equal((<-r.replies).Reason, pimedge.ReasonViewBehind)
}

// Guards against requests that wait until their deadline at a VM whose last usable backend server of the service has
// another owner by now, or drains.
func TestWaitEndsWithOwnership(t *testing.T) {
	for name, next := range map[string][]pimslot.Host{
		"gone": nil, "draining": {{ID: 1, Service: 1, Slots: 1, Draining: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := newOwnership()
			_, _, err := o.bind(context.Background(), 1)
			is.Equal(err, ErrNotOwner)
			o.set([]pimslot.Host{{ID: 1, Service: 1, Slots: 1}})
			ctx, cancel, err := o.bind(context.Background(), 1)
			is.NoErr(err)
			defer cancel()
			o.set([]pimslot.Host{{ID: 1, Service: 1, Slots: 1}})
			is.NoErr(ctx.Err()) // the same backend servers end no wait
			o.set(next)
			<-ctx.Done()
			is.Equal(context.Cause(ctx), ErrNotOwner)
		})
	}
}

// Guards against a close that waits for the deadline of requests: they continue when the VM that relayed them fails,
// but must end with the VM that runs them.
func TestCloseEndsDetachedRequests(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t)
	relayed, cancelRelay := context.WithCancel(context.Background())
	ctx, cancel := n.detached(relayed)
	defer cancel()
	cancelRelay()
	is.NoErr(ctx.Err())
	n.close()
	<-ctx.Done()
}

// Guards against requests that the home refuses and that are missing in the account of the contract.
func TestHomeRefusalIsAccounted(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t)
	n.home.Stop()
	a := &pimroute.Action{Contract: 7}
	a.Token.Home, a.Token.HomeIncarnation = n.self.Node, n.self.Incarnation
	a.Token.IssuedAt = uint32(n.unixNow())
	reply := n.servePost(context.Background(), &pimedge.Packet{Kind: pimedge.KindPost, Service: 1, HasTag: true}, a)
	is.Equal(reply.Outcome, pimedge.OutcomeNotRun)
	totals := n.ledger.Account(7).Totals()
	is.True(totals.Balanced())
	is.Equal(totals.Refusals[pimledger.Reason(pimedge.ReasonDraining)], uint64(1))
}

// Guards against rejecting records that were handed over several times, at a VM that does not know the first stop, and
// against taking over the records of an incarnation that still serves.
func TestMayHandOver(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t)
	sender := pimpeer.Identity{Node: 2, Incarnation: 20}
	is.True(n.mayHandOver(sender, pimonce.HomeID{Node: 2, Incarnation: 20}))
	is.True(n.mayHandOver(sender, pimonce.HomeID{Node: 3, Incarnation: 30}))
	is.True(!n.mayHandOver(sender, pimonce.HomeID(n.self)))
}

// setTestView gives the VM a view with one service, one contract and one key.
func setTestView(t *testing.T, n *Node) (p *pimedge.Packet, token []byte) {
	t.Helper()
	source := netip.MustParseAddrPort("127.0.0.1:9")
	is.New(t).NoErr(n.router.Update(n.unixNow(), &pimview.View{
		Revision: 1, Services: map[pimid.ServiceID]pimview.Service{1: {ID: 1}},
		Contracts: map[pimid.ContractID]pimcontract.Contract{
			7: {ID: 7, Service: 1, Sources: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}},
		},
		Keys: []pimview.Key{{ID: 1, Secret: []byte("0123456789abcdef"), PublishedAt: time.Now().Add(-time.Hour)}},
	}))
	p = &pimedge.Packet{Kind: pimedge.KindGet, Service: 1, Source: source}
	return p, n.freshToken(p, &pimroute.Action{Contract: 7})
}

// Guards against refusals by overload that are missing in the account of the contract, and against counting requests
// without a token, which are only answered with a new token, as offered work.
func TestOverloadIsAccounted(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t)
	p, token := setTestView(t, n)
	n.refuseOverload(p)
	is.Equal(n.ledger.Account(7).Totals().Offered, uint64(0))
	p.Token = token
	n.refuseOverload(p)
	totals := n.ledger.Account(7).Totals()
	is.True(totals.Balanced())
	is.Equal(totals.Refusals[pimledger.Reason(pimedge.ReasonOverload)], uint64(1))
}

// Guards against a caller that keeps the token of an unreachable home VM, and against answering not_run after a relay
// without an answer, since the request may have run.
func TestRelayWithoutAnswer(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t)
	p, _ := setTestView(t, n)
	p.Kind, p.HasTag = pimedge.KindPost, true
	reply := n.relay(context.Background(), p, &pimroute.Action{Kind: pimroute.Relay, Node: 9, Contract: 7})
	is.Equal(reply.Outcome, pimedge.OutcomeUnknown)
	is.Equal(len(reply.Token), pimtoken.Size)
	totals := n.ledger.Account(7).Totals()
	is.True(totals.Balanced())
	is.Equal(totals.Unknown, uint64(1))
}

// Guards against a request that the home refuses although the successor can run it, and against accepting a request
// after the stop.
func TestPlannedStopRefusesNoRequests(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t)
	n.stop.drain(n.home)
	_, ok := n.stop.begin(n.home, pimonce.Request{Home: pimonce.HomeID(n.self)}, nil)
	is.True(!ok)
	records, _ := n.home.Len()
	is.Equal(records, 0) // no refusal was recorded
}
