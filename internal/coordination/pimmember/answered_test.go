package pimmember

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// pinged lets a VM tick until it sends a ping, and returns it and the time of the tick.
func pinged(m *Members, now pimclock.Instant) (*pimpb.Gossip, pimclock.Instant) {
	for ; ; now = now.Add(50 * time.Millisecond) {
		for _, msg := range m.Tick(now) {
			if msg.Gossip.GetKind() == pimpb.GossipKind_GOSSIP_KIND_PING {
				return &pimpb.Gossip{
					Kind: pimpb.GossipKind_GOSSIP_KIND_ACK, Sender: uint32(msg.To), SenderIncarnation: 10, Sequence: msg.Gossip.GetSequence(),
				}, now
			}
		}
	}
}

// Guards against a view that counts as the newest one after a pause because of messages that waited in the socket: packets of flows to
// backend servers that are newer than the view would be answered backend_gone.
func TestOnlyAnswersToOwnPingsConfirmAView(t *testing.T) {
	is := is.New(t)
	m := newTestMembers()
	ack, sent := pinged(m, pimclock.Instant(time.Minute))
	receiveFrom(m, sent.Add(time.Millisecond), 3)
	is.Equal(m.AnsweredAsOf(), pimclock.Instant(0)) // a message that may have waited says nothing
	resumed := sent.Add(20 * time.Second)
	m.Receive(resumed, ack)
	is.Equal(m.AnsweredAsOf(), sent)
	ack, sent = pinged(m, resumed)
	m.Receive(sent.Add(time.Millisecond), ack)
	is.Equal(m.AnsweredAsOf(), sent)
}

// Guards against a VM without peers in its data centre whose view never counts as the newest one, or that reports a VM of another data
// centre as failed.
func TestVMWithoutPeersPingsAnotherDataCentre(t *testing.T) {
	is := is.New(t)
	self, other := node(1, pimview.NodeLive), node(2, pimview.NodeLive)
	other.DataCentre = "apapa"
	m := New(Settings{Self: 1, Incarnation: 100, DataCentre: "ikeja", Address: self.PeerAddress}, 0, rand.New(rand.NewPCG(1, 1)))
	m.SetPublished(0, 1, []pimview.Node{self, other})
	ack, sent := pinged(m, pimclock.Instant(time.Minute))
	is.Equal(pimid.NodeID(ack.GetSender()), other.ID)
	m.Receive(sent.Add(time.Millisecond), ack)
	is.Equal(m.AnsweredAsOf(), sent)
	for range 30 {
		_, sent = pinged(m, sent.Add(time.Second)) // without an answer
	}
	got, _ := m.Member(other.ID)
	is.Equal(got.State, Alive)
}
