package pimflow

import "net/netip"

// routeStats tells routes whose callers keep their flows from those whose callers open one for each request.
type routeStats struct {
	// requests is the smoothed number of requests of a flow.
	requests float64
	known    bool
}

const (
	// routeSmoothing is the weight of an older value against a new one.
	routeSmoothing = 16
	// keptFrom is the number of requests from which a flow counts as kept.
	keptFrom = 1.5
)

func (t *Table) route(address netip.AddrPort) *routeStats {
	s := t.routes[address]
	if s == nil {
		s = &routeStats{}
		t.routes[address] = s
	}
	return s
}

func (s *routeStats) closed(requests int) {
	if !s.known {
		s.requests, s.known = float64(requests), true
		return
	}
	s.requests += (float64(requests) - s.requests) / routeSmoothing
}

// KeepsFlows reports whether the callers of a route send several requests on a flow; known is false while no flow of it
// has ended here.
func (t *Table) KeepsFlows(address netip.AddrPort) (keeps, known bool) {
	s := t.routes[address]
	if s == nil {
		return false, false
	}
	return s.requests >= keptFrom, s.known
}
