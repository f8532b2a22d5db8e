package pimgossip

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// RemoteService is a service at the backend servers of another data centre.
type RemoteService struct {
	DataCentre pimid.DataCentre
	Service    pimcatalog.Service
}

func (a RemoteService) compare(b RemoteService) int {
	return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Service, b.Service))
}

// RemoteLoad is the load of a service in another data centre.
type RemoteLoad struct {
	// Hosts is the number of backend servers, Busy the mean number of requests under way per slot that the VMs of that data
	// centre have placed there.
	Hosts int
	Busy  float64
	// At is when it was measured.
	At pimclock.Instant
}

// The limits of what is kept and sent of other data centres.
const (
	// maxRemoteLoads bounds the services of other data centres that are remembered.
	maxRemoteLoads = 1024
	// remotePerHeartbeat is the number of them in one heartbeat, which takes about 25 bytes each.
	remotePerHeartbeat = 4
	// maxRemotePeers bounds the VMs of another data centre that are known from other VMs, maxDataCentres those data centres.
	maxRemotePeers = 32
	maxDataCentres = 64
	// MaxSummary is the number of services in a summary for another data centre.
	MaxSummary = 16
)

// SendsSummaries reports whether this VM sends the load of its data centre to the others: the reader does, and the VM with the
// highest hash of those that this VM knows to be running, so that one is left if the other has failed. Two VMs that know
// different sets may both count themselves as the second one for some seconds.
func (m *Mesh) SendsSummaries(now pimclock.Instant) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sendsSummaries(now)
}

func (m *Mesh) sendsSummaries(now pimclock.Instant) bool {
	switch {
	case m.stopping:
		return false
	case m.reading && m.canRead:
		return true
	}
	for _, p := range m.peers {
		if hash := readerHash(p.name); hash > m.hash && hash != m.claim.hash && m.isRunning(now, p) {
			return false
		}
	}
	return true
}

// summaries returns the load of this data centre for one VM of each other data centre, if it is due.
func (m *Mesh) summaries(now pimclock.Instant, v View) (out []Outgoing) {
	if len(v.Services) == 0 || !isDue(now, m.lastSummary, m.cfg.SummaryInterval) || !m.sendsSummaries(now) {
		return nil
	}
	m.lastSummary = now
	loads := slices.Clone(v.Services[:min(len(v.Services), MaxSummary)])
	for i := range loads {
		loads[i].AgeMs = max(0, now.Sub(v.ServicesAt).Milliseconds())
	}
	msg := pimmesh.Message{Summary: &pimmesh.Summary{Loads: loads, Sender: pimmesh.RemotePeer{
		DataCentre: m.cfg.DataCentre, Name: m.cfg.Name, Address: m.cfg.Address,
	}}}
	for _, dc := range slices.Sorted(maps.Keys(m.remotePeers)) {
		known := m.chosen(m.remotePeers[dc], func(p *peer) bool { return !p.leaving })
		if len(known) > 0 {
			out = append(out, Outgoing{To: known[m.rng.IntN(len(known))].address, Message: msg})
		}
	}
	return out
}

// ReceiveSummary handles the loads that a VM of another data centre has sent.
func (m *Mesh) ReceiveSummary(now pimclock.Instant, s *pimmesh.Summary) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeRemote(now.Add(-transitAllowance), s.Loads)
	if p := m.addRemotePeer(&s.Sender); p != nil {
		p.receivedAt, p.leaving = now, false
	}
}

// addRemotePeer returns the entry of a VM of another data centre, which it creates unless there are too many.
func (m *Mesh) addRemotePeer(r *pimmesh.RemotePeer) *peer {
	if r.DataCentre == m.cfg.DataCentre || r.DataCentre == "" || !r.Address.IsValid() {
		return nil
	}
	of := m.remotePeers[r.DataCentre]
	if p := of[r.Address]; p != nil {
		return p
	}
	switch {
	case len(of) >= maxRemotePeers:
		return nil
	case of == nil && len(m.remotePeers) >= maxDataCentres:
		return nil
	case of == nil:
		of = map[netip.AddrPort]*peer{}
		m.remotePeers[r.DataCentre] = of
	}
	p := &peer{name: r.Name, address: r.Address}
	of[r.Address] = p
	return p
}

// remotePeerToSend returns a random VM of another data centre than the receiver's, so that the VMs that send summaries learn of
// those that the seeds have heard from.
func (m *Mesh) remotePeerToSend(now pimclock.Instant, receiver pimid.DataCentre) []pimmesh.RemotePeer {
	var known []pimid.DataCentre
	for dc, of := range m.remotePeers {
		if dc != receiver && len(of) > 0 {
			known = append(known, dc)
		}
	}
	if len(known) == 0 {
		return nil
	}
	slices.Sort(known)
	dc := known[m.rng.IntN(len(known))]
	peers := m.chosen(m.remotePeers[dc], func(p *peer) bool { return !p.leaving })
	if len(peers) == 0 {
		return nil
	}
	p := peers[m.rng.IntN(len(peers))]
	silent := now.Sub(max(p.receivedAt, p.namedAt))
	return []pimmesh.RemotePeer{{DataCentre: dc, Name: p.name, Address: p.address, SilentS: int(silent.Seconds()) + 1}}
}

// addRemoteNamed adds the VMs of other data centres that a heartbeat names.
func (m *Mesh) addRemoteNamed(now pimclock.Instant, named []pimmesh.RemotePeer) {
	for i := range named[:min(len(named), sampleSize)] {
		// The number is compared first, since a large one overflows as a duration.
		if named[i].SilentS < 0 || float64(named[i].SilentS) > m.cfg.RemoveAfter.Seconds() {
			continue
		}
		if p := m.addRemotePeer(&named[i]); p != nil {
			p.namedAt = max(p.namedAt, now.Add(-time.Duration(named[i].SilentS)*time.Second))
		}
	}
}

// mergeRemote merges loads whose ages count from the given instant; the latest of each service wins.
func (m *Mesh) mergeRemote(now pimclock.Instant, loads []pimmesh.ServiceLoad) {
	for _, l := range loads {
		at := now.Add(-time.Duration(l.AgeMs) * time.Millisecond)
		k := RemoteService{DataCentre: l.DataCentre, Service: l.Service}
		known, isKnown := m.remote[k]
		switch {
		case l.DataCentre == "" || l.Service == "":
		case l.DataCentre == m.cfg.DataCentre || l.Hosts <= 0 || l.Busy < 0 || l.AgeMs < 0 || l.AgeMs > m.cfg.SummaryTTL.Milliseconds():
		case isKnown && !known.At.Before(at) || !isKnown && len(m.remote) >= maxRemoteLoads:
		default:
			m.remote[k] = RemoteLoad{Hosts: l.Hosts, Busy: float64(l.Busy) * busyUnit, At: at}
		}
	}
}

// remoteToSend returns some of the loads of other data centres for a heartbeat, beginning after those of the heartbeat before.
func (m *Mesh) remoteToSend(now pimclock.Instant) (loads []pimmesh.ServiceLoad) {
	keys := slices.SortedFunc(maps.Keys(m.remote), RemoteService.compare)
	first, _ := slices.BinarySearchFunc(keys, m.nextRemote, RemoteService.compare)
	for i := range keys {
		k := keys[(first+i)%len(keys)]
		if m.nextRemote = k; len(loads) == remotePerHeartbeat {
			break
		}
		l := m.remote[k]
		if age := now.Sub(l.At); age <= m.cfg.SummaryTTL {
			loads = append(loads, pimmesh.ServiceLoad{
				DataCentre: k.DataCentre, Service: k.Service, Hosts: l.Hosts, Busy: int(l.Busy/busyUnit + 0.5), AgeMs: max(0, age.Milliseconds()),
			})
		}
	}
	return loads
}

// expireRemote forgets the loads that are older than Settings.SummaryTTL.
func (m *Mesh) expireRemote(now pimclock.Instant) {
	maps.DeleteFunc(m.remote, func(_ RemoteService, l RemoteLoad) bool { return now.Sub(l.At) > m.cfg.SummaryTTL })
}

// RemoteLoads returns the loads of other data centres that are at most Settings.SummaryTTL old.
func (m *Mesh) RemoteLoads(now pimclock.Instant) map[RemoteService]RemoteLoad {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireRemote(now)
	return maps.Clone(m.remote)
}
