package pimflows

import (
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
)

// sendForged sends packets that imitate an open flow: from another customer's source, to the other service, with a
// truncated token and with a forged one. None of them may be forwarded.
func (s *sim) sendForged(f *flow) {
	if f.host == nil {
		return
	}
	otherCustomer := s.newFlow()
	for otherCustomer.source.Addr().As4()[1] == f.source.Addr().As4()[1] {
		otherCustomer = s.newFlow()
	}
	forged := append([]byte(nil), f.token...)
	forged[1+s.env.rng.IntN(len(forged)-1)] ^= 1 << s.env.rng.IntN(8)
	for _, p := range []pimedge.Packet{
		{Service: f.service, Source: otherCustomer.source, Token: f.token},
		{Service: services + 1 - f.service, Source: f.source, Token: f.token},
		{Service: f.service, Source: f.source, Token: f.token[:s.env.rng.IntN(len(f.token)-1)+1]},
		{Service: f.service, Source: f.source, Token: forged},
	} {
		p.Kind = pimedge.KindFlow
		s.report.Attacks++
		if a := s.route(s.fleet[s.env.rng.IntN(len(s.fleet))], &p); a != nil && a.Kind == pimroute.Forward {
			s.report.Accepted++
		}
	}
}

// sendLate sends a packet of a flow that has ended, and counts it if it reaches a backend server of another service.
func (s *sim) sendLate(f *flow) {
	p := &pimedge.Packet{Kind: pimedge.KindFlow, Service: f.service, Source: f.source, Token: f.token}
	a := s.route(s.fleet[s.env.rng.IntN(len(s.fleet))], p)
	if a == nil || a.Kind != pimroute.Forward {
		return
	}
	if h := s.env.hosts[a.Address]; !h.down && h.backend.Service != f.service {
		s.report.Misrouted++
	}
}
