package pimmember

import (
	"net/netip"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// State is what is known about a VM.
type State = pimpb.MemberState

// The states of a VM.
const (
	Alive   = pimpb.MemberState_MEMBER_STATE_ALIVE
	Suspect = pimpb.MemberState_MEMBER_STATE_SUSPECT
	Dead    = pimpb.MemberState_MEMBER_STATE_DEAD
	Leaving = pimpb.MemberState_MEMBER_STATE_LEAVING
	Left    = pimpb.MemberState_MEMBER_STATE_LEFT
)

// Member is what is known about one VM.
type Member struct {
	ID         pimid.NodeID
	DataCentre pimid.DataCentre
	Address    netip.AddrPort
	// Incarnation is zero until a message or update with it arrives.
	Incarnation pimid.Incarnation
	// Counter is the refutation counter within the incarnation.
	Counter uint32
	State   State
	// Leaving stays set for the rest of an incarnation that announced a planned stop.
	Leaving bool
	// Successor accepts the tokens of a VM that announced a planned stop.
	Successor            pimid.NodeID
	SuccessorIncarnation pimid.Incarnation
	// Listed is set if the published list contains the VM.
	Listed bool
	// Revision is the highest configuration revision that the VM announced.
	Revision pimid.Revision
}

type record struct {
	Member
	// suspectUntil is when a suspected VM is declared dead.
	suspectUntil pimclock.Instant
	// unlistedSince is when an unlisted VM was first seen or a listed one was removed from the list.
	unlistedSince pimclock.Instant
	// expired is set if the VM was removed from the published list, or was not listed within its grace period.
	expired bool
	// listedLeaving is set while the published list shows the VM as leaving.
	listedLeaving bool
	// role is the role for which rendezvous tables and peer lists were last built.
	role role
}

// role is everything about a VM that rendezvous tables and peer lists depend on.
type role struct {
	dataCentre                     pimid.DataCentre
	serving, reachable, hasAddress bool
	listed                         bool
	state                          State
}

func (r *record) currentRole() role {
	return role{
		dataCentre: r.DataCentre, serving: r.serving(), reachable: r.reachable(), hasAddress: r.Address.IsValid(),
		listed: r.Listed, state: r.State,
	}
}

// rank orders the states within one incarnation and counter.
func rank(s State) int {
	switch s {
	case Leaving:
		return 1
	case Suspect:
		return 2
	case Dead:
		return 3
	case Left:
		return 4
	default:
		return 0
	}
}

// supersedes reports whether an update is newer than the record: a higher incarnation wins, then Left, which is final,
// then a higher counter, then a higher rank.
func (r *record) supersedes(u *pimpb.MemberUpdate) bool {
	inc := pimid.Incarnation(u.GetIncarnation())
	if inc != r.Incarnation {
		return inc > r.Incarnation
	}
	if r.State == Left {
		return false
	}
	if u.GetState() == Left {
		return true
	}
	if u.GetCounter() != r.Counter {
		return u.GetCounter() > r.Counter
	}
	return rank(u.GetState()) > rank(r.State)
}

func (r *record) update() *pimpb.MemberUpdate {
	u := &pimpb.MemberUpdate{
		Node:                 uint32(r.ID),
		Incarnation:          uint64(r.Incarnation),
		Counter:              r.Counter,
		State:                r.State,
		DataCentre:           string(r.DataCentre),
		Successor:            uint32(r.Successor),
		SuccessorIncarnation: uint64(r.SuccessorIncarnation),
	}
	if r.Address.IsValid() {
		u.PeerAddress = r.Address.String()
	}
	return u
}

// serving reports whether the VM may own keys.
func (r *record) serving() bool {
	return !r.expired && !r.Leaving && !r.listedLeaving && (r.State == Alive || r.State == Suspect)
}

// reachable reports whether the VM is probed and receives gossip.
func (r *record) reachable() bool {
	return !r.expired && (r.State == Alive || r.State == Suspect || r.State == Leaving)
}
