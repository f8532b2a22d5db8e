package pimmember

import (
	"net/netip"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// remoteQueue bounds the updates that wait for other data centres.
const maxRemoteQueue = 256

// apply merges one update about a VM.
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

// spreadChange spreads what changes the role of a VM or refutes a claim. A new incarnation of a VM that is taken to
// be alive is not spread: a start of N VMs would put N updates into every queue, and any later message of the VM
// tells its incarnation.
func (m *Members) enqueueIfChanged(r *record, oldRole role) {
	if r.role != oldRole || r.Counter > 0 || r.Leaving {
		m.enqueue(r)
	}
}

// correct tells other data centres about a VM of this one that they take to be gone; they never probe it.
func (m *Members) enqueueCorrection(r *record, u *pimpb.MemberUpdate) {
	if r.DataCentre == m.cfg.DataCentre && r.State == Alive && rank(u.GetState()) > rank(Suspect) {
		m.remoteQueue.add(memberItem(r.update()), 0)
	}
}

func valid(u *pimpb.MemberUpdate) bool {
	return u.GetNode() <= maxNode && u.GetState() >= Alive && u.GetState() <= Left && u.GetSuccessor() <= maxNode
}

const maxNode = 1<<16 - 1

// admit adds a VM that is not listed yet; only VMs that run are worth a record.
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

// applySelf refutes a false claim about the own VM by a higher counter.
func (m *Members) applySelf(u *pimpb.MemberUpdate) {
	inc := pimid.Incarnation(u.GetIncarnation())
	if inc != m.self.Incarnation {
		if inc > m.self.Incarnation {
			m.counts.Conflicts++
		} else if rank(u.GetState()) > rank(Alive) {
			// The claim is about an earlier run, or about a VM that was never heard.
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

// spread queues the state of a VM for piggybacking.
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

// heardFrom notes a message of a VM and reports whether the VM may take part.
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
	m.lastHeard[r.DataCentre] = now
	return r, true
}
