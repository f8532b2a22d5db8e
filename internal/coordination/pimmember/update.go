package pimmember

import (
	"net/netip"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// maxRemoteQueue is the highest number of updates that wait to be sent to other data centres.
const maxRemoteQueue = 256

// apply merges an update about a VM if it is newer than the record.
func (m *Members) apply(now pimclock.Instant, u *pimpb.MemberUpdate) {
	if !valid(u) {
		return
	}
	id := pimid.NodeID(u.GetNode())
	if id == m.self.ID {
		m.applySelf(u)
		return
	}
	r, ok := m.records[id]
	if !ok {
		if r, ok = m.addUnlisted(now, u); !ok {
			return
		}
	}
	if r.expired {
		return
	}
	if !r.supersedes(u) {
		m.enqueueCorrection(r, u)
		return
	}
	oldRole := r.role
	m.merge(now, r, u)
	m.enqueueIfChanged(r, oldRole)
}

// enqueueIfChanged queues the state of a VM if its role has changed, if it has refuted a false update or if it is
// leaving. A new incarnation of a VM that counts as alive is not queued: a start of N VMs would put N updates into
// every queue, and every later message of the VM carries its incarnation.
func (m *Members) enqueueIfChanged(r *record, oldRole role) {
	if r.role != oldRole || r.Counter > 0 || r.Leaving {
		m.enqueue(r)
	}
}

// enqueueCorrection queues the state of a live VM of this data centre for the other data centres if an update calls it
// dead or left; they never probe it, so they cannot find out themselves.
func (m *Members) enqueueCorrection(r *record, u *pimpb.MemberUpdate) {
	if r.DataCentre == m.cfg.DataCentre && r.State == Alive && rank(u.GetState()) > rank(Suspect) {
		m.remoteQueue.add(memberItem(r.update()), 0)
	}
}

func valid(u *pimpb.MemberUpdate) bool {
	return u.GetNode() <= maxNode && u.GetState() >= Alive && u.GetState() <= Left && u.GetSuccessor() <= maxNode
}

const maxNode = 1<<16 - 1

// addUnlisted adds a VM that is not listed yet. VMs that failed, are leaving or have left need no record.
func (m *Members) addUnlisted(now pimclock.Instant, u *pimpb.MemberUpdate) (*record, bool) {
	if u.GetState() != Alive && u.GetState() != Suspect || u.GetDataCentre() == "" {
		return nil, false
	}
	if len(m.unlisted) >= maxUnlisted {
		m.counts.Unlisted++
		return nil, false
	}
	r := &record{Member: Member{ID: pimid.NodeID(u.GetNode()), DataCentre: pimid.DataCentre(u.GetDataCentre()), State: Alive}}
	r.unlistedSince = now
	m.add(r)
	return r, true
}

// merge stores an update that supersedes the record.
func (m *Members) merge(now pimclock.Instant, r *record, u *pimpb.MemberUpdate) {
	inc := pimid.Incarnation(u.GetIncarnation())
	if inc != r.Incarnation {
		m.keepSuccessor(now, r)
		r.Leaving, r.Successor, r.SuccessorIncarnation, r.Revision = false, 0, 0, 0
	}
	r.Incarnation, r.Counter, r.State = inc, u.GetCounter(), u.GetState()
	if r.State == Leaving || r.State == Left {
		r.Leaving = true
	}
	if u.GetSuccessor() != 0 {
		r.Successor = pimid.NodeID(u.GetSuccessor())
		r.SuccessorIncarnation = pimid.Incarnation(u.GetSuccessorIncarnation())
	}
	if a, err := netip.ParseAddrPort(u.GetPeerAddress()); err == nil && !r.Listed {
		r.Address = a
	}
	if r.State == Suspect {
		r.suspectUntil = now.Add(m.cfg.SuspicionTimeout)
	}
	m.updateRole(r)
}

// applySelf refutes a false update about this VM by announcing a higher counter.
func (m *Members) applySelf(u *pimpb.MemberUpdate) {
	inc := pimid.Incarnation(u.GetIncarnation())
	if inc != m.self.Incarnation {
		if inc > m.self.Incarnation {
			m.counts.Conflicts++
		} else if rank(u.GetState()) > rank(Alive) {
			// The update is about an earlier incarnation, or its sender has received nothing from this VM yet.
			m.enqueue(m.self)
		}
		return
	}
	if m.self.State == Left || rank(u.GetState()) <= rank(m.self.State) || u.GetCounter() < m.self.Counter {
		return
	}
	m.self.Counter = u.GetCounter() + 1
	m.counts.Refutations++
	m.enqueue(m.self)
}

// enqueue queues the state of a VM for gossip, and for the other data centres if the VM is local and not suspected.
func (m *Members) enqueue(r *record) {
	sends := 0
	if r.State == Alive && r.Counter == 0 {
		// A VM that joins is less urgent than one that fails or leaves.
		sends = sendLimit(len(m.peers)) / 2
	}
	u := r.update()
	m.queue.add(memberItem(u), sends)
	if r.DataCentre == m.cfg.DataCentre && r.State != Suspect {
		m.remoteQueue.add(memberItem(u), 0)
	}
}

// recordSender updates the record of the sender of a message and reports whether the message may be processed.
func (m *Members) recordSender(now pimclock.Instant, g *pimpb.Gossip) (*record, bool) {
	if g.GetSender() > maxNode || pimid.NodeID(g.GetSender()) == m.self.ID {
		return nil, false
	}
	for _, u := range g.GetMembers() {
		if u.GetNode() == g.GetSender() {
			m.apply(now, u)
		}
	}
	r, ok := m.records[pimid.NodeID(g.GetSender())]
	if !ok || r.expired {
		m.counts.Unlisted++
		return nil, false
	}
	inc := pimid.Incarnation(g.GetSenderIncarnation())
	if inc < r.Incarnation {
		return nil, false
	}
	if inc > r.Incarnation {
		oldRole := r.role
		m.merge(now, r, &pimpb.MemberUpdate{Node: g.GetSender(), Incarnation: uint64(inc), State: Alive})
		m.enqueueIfChanged(r, oldRole)
	}
	r.Revision = max(r.Revision, pimid.Revision(g.GetConfig().GetRevision()))
	m.announced = max(m.announced, r.Revision)
	m.lastReceived[r.DataCentre] = now
	return r, true
}
