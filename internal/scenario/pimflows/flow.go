package pimflows

import (
	"net/netip"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	// sendEvery is the largest time between two regular packets of a flow, in seconds.
	sendEvery = 10
	// maxFailures is the largest number of failed packets in a row (lost, misrouted or refused with view_behind) with
	// which a flow does not yet count as broken.
	maxFailures = 60
	// maxSends is how often a caller sends one packet at most; it sends it again with each new token that it gets.
	maxSends = 4
)

// flow is a caller with one long flow.
type flow struct {
	id      uint64
	service pimid.ServiceID
	source  netip.AddrPort
	token   []byte
	// host is the backend server on which the flow was opened; nil before.
	host     *host
	failures int
	nextAt   int64
	base     baselines
}

func (s *sim) newFlow() *flow {
	s.nextFlow++
	id := s.nextFlow
	customer := byte(id / services % customers)
	address := netip.AddrFrom4([4]byte{10, customer, byte(id >> 8), byte(id)})
	return &flow{
		id: id, service: pimid.ServiceID(id%services + 1), source: netip.AddrPortFrom(address, uint16(id>>16)),
		nextAt: s.env.now + int64(s.env.rng.IntN(sendEvery)),
	}
}

// send sends one packet through a random VM, and sends it again with each new token that it gets in a reply.
func (s *sim) send(f *flow) {
	f.nextAt = s.env.now + 1 + int64(s.env.rng.IntN(sendEvery))
	p := &pimedge.Packet{Kind: pimedge.KindFlow, Observe: true, Service: f.service, Source: f.source}
	for range maxSends {
		m := s.fleet[s.env.rng.IntN(len(s.fleet))]
		p.Token = f.token
		s.report.Packets++
		a := s.route(m, p)
		if a == nil {
			s.report.Lost++
			s.retryLater(f)
			return
		}
		if a.Kind == pimroute.Forward {
			s.deliver(f, m, a)
			return
		}
		if a.Rule == pimroute.RuleFlowReissue {
			s.report.Reissued++
		} else if a.Reply.Reason != pimedge.ReasonNoToken {
			s.handleRefusal(f, a)
			return
		}
		f.token = append([]byte(nil), a.Reply.Token...)
	}
	s.breakFlow(f)
}

// route routes a packet at a VM, and at the next VM if it is relayed. It returns nil if a VM on the way is dead.
func (s *sim) route(m *vm, p *pimedge.Packet) *pimroute.Action {
	if m.dead {
		return nil
	}
	a := new(pimroute.Action)
	m.router.Route(0, s.env.now, p, a)
	if a.Kind != pimroute.Relay {
		return a
	}
	s.report.Relayed++
	relayed := *p
	relayed.Hops, relayed.Contract = 1, a.Contract
	for _, peer := range s.fleet {
		if peer.home.Node == a.Node && peer.dead {
			return nil
		}
		if peer.home.Node == a.Node {
			peer.router.Route(0, s.env.now, &relayed, a)
			return a
		}
	}
	panic("relay to an unknown VM")
}

// deliver handles a forwarded packet at the backend server that has the address now. The first packet opens the flow. A
// later packet that reaches another backend server of the service breaks it.
func (s *sim) deliver(f *flow, m *vm, a *pimroute.Action) {
	h := s.env.hosts[a.Address]
	switch {
	case h.down:
		s.report.Lost++
		s.retryLater(f)
	case h.backend.Service != f.service:
		s.report.Misrouted++
		s.retryLater(f)
	case f.host == nil:
		s.report.Opened++
		f.host, h.flows[f] = h, true
		f.base.observe(m, f, &s.report)
	case !h.flows[f]:
		s.breakFlow(f)
	default:
		f.failures = 0
		f.base.observe(m, f, &s.report)
	}
}

// handleRefusal handles a reply without a usable new token: after view_behind, the caller tries again later; every
// other refusal breaks the flow.
func (s *sim) handleRefusal(f *flow, a *pimroute.Action) {
	if a.Reply.Reason == pimedge.ReasonViewBehind {
		s.report.Delayed++
		s.retryLater(f)
		return
	}
	s.breakFlow(f)
}

// retryLater counts a failed packet and schedules the next one for the next second. The flow breaks after more than
// maxFailures failed packets in a row.
func (s *sim) retryLater(f *flow) {
	f.nextAt = s.env.now + 1
	if f.failures++; f.failures > maxFailures {
		s.breakFlow(f)
	}
}

// breakFlow counts a broken flow if it was open, and replaces it by a new one.
func (s *sim) breakFlow(f *flow) {
	switch {
	case f.host == nil:
	case f.host.dead:
		s.report.BrokenDeath++
	default:
		s.report.BrokenPlanned++
	}
	s.endFlow(f)
}

// endFlow replaces a flow by a new one of another caller.
func (s *sim) endFlow(f *flow) {
	if f.host != nil {
		delete(f.host.flows, f)
		s.ended = append(s.ended, *f)
	}
	*f = *s.newFlow()
}
