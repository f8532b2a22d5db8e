package pimmember

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

func node(id pimid.NodeID, state pimview.NodeState) pimview.Node {
	return pimview.Node{
		ID: id, DataCentre: "ikeja", State: state,
		PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(id)}), 7000),
	}
}

// newTestMembers returns the table of VM 1 in incarnation 100, with VMs 1 to 4 on the published list.
func newTestMembers() *Members {
	self := node(1, pimview.NodeLive)
	m := New(Settings{Self: 1, Incarnation: 100, DataCentre: "ikeja", Address: self.PeerAddress}, 0, rand.New(rand.NewPCG(1, 1)))
	m.SetPublished(0, 1, []pimview.Node{self, node(2, pimview.NodeLive), node(3, pimview.NodeLive), node(4, pimview.NodeLive)})
	return m
}

func memberUpdate(id pimid.NodeID, inc uint64, counter uint32, s State) *pimpb.MemberUpdate {
	return &pimpb.MemberUpdate{Node: uint32(id), Incarnation: inc, Counter: counter, State: s, DataCentre: "ikeja"}
}

func receiveFrom(m *Members, now pimclock.Instant, from pimid.NodeID, updates ...*pimpb.MemberUpdate) []Message {
	return m.Receive(now, &pimpb.Gossip{
		Kind: pimpb.GossipKind_GOSSIP_KIND_PING, Sender: uint32(from), SenderIncarnation: 10, Members: updates,
	})
}

// Guards against an older update that replaces a newer one, in either order of arrival.
func TestUpdatesAreOrdered(t *testing.T) {
	for name, tc := range map[string]struct {
		older, newer *pimpb.MemberUpdate
	}{
		"incarnation beats failure":       {memberUpdate(3, 5, 0, Dead), memberUpdate(3, 6, 0, Alive)},
		"counter beats suspicion":         {memberUpdate(3, 5, 0, Suspect), memberUpdate(3, 5, 1, Alive)},
		"counter beats failure":           {memberUpdate(3, 5, 0, Dead), memberUpdate(3, 5, 1, Alive)},
		"suspicion beats alive":           {memberUpdate(3, 5, 1, Alive), memberUpdate(3, 5, 1, Suspect)},
		"failure beats suspicion":         {memberUpdate(3, 5, 1, Suspect), memberUpdate(3, 5, 1, Dead)},
		"left beats any counter":          {memberUpdate(3, 5, 9, Alive), memberUpdate(3, 5, 1, Left)},
		"incarnation beats left":          {memberUpdate(3, 5, 1, Left), memberUpdate(3, 6, 0, Alive)},
		"leaving beats alive":             {memberUpdate(3, 5, 1, Alive), memberUpdate(3, 5, 1, Leaving)},
		"failure beats leaving":           {memberUpdate(3, 5, 1, Leaving), memberUpdate(3, 5, 1, Dead)},
		"counter of leaver beats failure": {memberUpdate(3, 5, 1, Dead), memberUpdate(3, 5, 2, Leaving)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, order := range [][]*pimpb.MemberUpdate{{tc.older, tc.newer}, {tc.newer, tc.older}} {
				m := newTestMembers()
				for _, u := range order {
					receiveFrom(m, 0, 2, u)
				}
				got, _ := m.Member(3)
				is.Equal(got.State, tc.newer.GetState())
				is.Equal(got.Counter, tc.newer.GetCounter())
				is.Equal(uint64(got.Incarnation), tc.newer.GetIncarnation())
			}
		})
	}
}

// Guards against a VM that does not refute a false update about itself, or that refutes one with a newer incarnation.
func TestRefutation(t *testing.T) {
	for name, tc := range map[string]struct {
		update  *pimpb.MemberUpdate
		counter uint32
		refuted bool
	}{
		"suspect":             {memberUpdate(1, 100, 0, Suspect), 1, true},
		"higher counter":      {memberUpdate(1, 100, 6, Dead), 7, true},
		"earlier incarnation": {memberUpdate(1, 99, 3, Dead), 0, true},
		"nothing received":    {memberUpdate(1, 0, 0, Suspect), 0, true},
		"newer incarnation":   {memberUpdate(1, 101, 0, Suspect), 0, false},
		"correct update":      {memberUpdate(1, 100, 0, Alive), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newTestMembers()
			m.queue.items = nil
			out := receiveFrom(m, 0, 2, tc.update)
			is.Equal(len(out), 1)
			refuted := false
			for _, u := range out[0].Gossip.GetMembers() {
				refuted = refuted || u.GetNode() == 1 && u.GetState() == Alive && u.GetCounter() == tc.counter
			}
			is.Equal(refuted, tc.refuted)
		})
	}
}

// Guards against owners that are not on the published list, that are leaving, or that were removed from the list.
func TestOnlyListedVMsOwnKeys(t *testing.T) {
	is := is.New(t)
	m := newTestMembers()
	receiveFrom(m, 0, 2, memberUpdate(9, 5, 0, Alive))
	is.Equal(m.Live("ikeja"), []pimid.NodeID{1, 2, 3, 4}) // 9 is known but not listed
	all := []pimview.Node{node(1, pimview.NodeLive), node(2, pimview.NodeLeaving), node(4, pimview.NodeLive), node(9, pimview.NodeLive)}
	m.SetPublished(0, 3, all)
	is.Equal(m.Live("ikeja"), []pimid.NodeID{1, 4, 9})
	receiveFrom(m, 0, 4, memberUpdate(3, 50, 0, Alive))
	is.Equal(m.Live("ikeja"), []pimid.NodeID{1, 4, 9}) // 3 was removed from the list
	m.SetPublished(0, 2, nil)
	is.Equal(m.Counters().StaleLists, uint64(1))
	is.Equal(m.Live("ikeja"), []pimid.NodeID{1, 4, 9})
}

// Guards against an unlisted VM that takes part after its grace period.
func TestUnlistedVMExpires(t *testing.T) {
	is := is.New(t)
	m := newTestMembers()
	is.Equal(len(receiveFrom(m, 0, 9, memberUpdate(9, 10, 0, Alive))), 0) // no address to send the answer to yet
	got, ok := m.Member(9)
	is.True(ok && !got.Listed)
	for at := pimclock.Instant(0); at < pimclock.Instant(unlistedGrace+time.Second); at = at.Add(time.Second) {
		m.Tick(at)
	}
	before := m.Counters().Unlisted
	is.Equal(len(receiveFrom(m, pimclock.Instant(unlistedGrace+time.Second), 9, memberUpdate(9, 10, 0, Alive))), 0)
	is.Equal(m.Counters().Unlisted, before+1)
}

// Guards against VMs that keep different states after they received the reports of two owners in different orders.
func TestBackendUpdatesCommute(t *testing.T) {
	is := is.New(t)
	updates := []*pimpb.BackendUpdate{
		{Backend: 1, Generation: 1, Version: 2, Draining: true},
		{Backend: 1, Generation: 1, Version: 2, Failed: true},
		{Backend: 1, Generation: 1, Version: 1},
		{Backend: 1, Generation: 1, Version: 2, Connections: 9},
	}
	for i := range updates {
		m := newTestMembers()
		for j := range updates {
			m.Receive(0, &pimpb.Gossip{Sender: 2, SenderIncarnation: 10, Backends: updates[(i+j)%4 : (i+j)%4+1]})
		}
		s, ok := m.BackendStatus(1)
		is.True(ok)
		is.Equal(s, BackendStatus{Generation: 1, Version: 2, Draining: true})
		m.ReportBackend(1, BackendStatus{Generation: 2})
		s, _ = m.BackendStatus(1)
		is.Equal(s.Version, uint64(3))
		is.True(!s.Draining)
	}
}

// Guards against datagrams above the MTU and against updates that are sent for ever.
func TestPiggybackIsBounded(t *testing.T) {
	is := is.New(t)
	m := newTestMembers()
	for id := range pimid.BackendID(500) {
		m.ReportBackend(id, BackendStatus{Generation: 1})
	}
	sent := 0
	for at := pimclock.Instant(0); at < pimclock.Instant(5*time.Minute); at = at.Add(50 * time.Millisecond) {
		for _, msg := range m.Tick(at) {
			sent += len(msg.Gossip.GetBackends())
			is.True(len(marshal(msg.Gossip)) <= maxDatagram)
		}
	}
	is.Equal(sent, 500*sendLimit(3))
	is.Equal(m.queue.len(), 0)
}

func marshal(g *pimpb.Gossip) []byte {
	p, err := proto.Marshal(g)
	if err != nil {
		panic(err)
	}
	return p
}
