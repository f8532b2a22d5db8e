package pimcontract

import (
	"net/netip"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

func (v *validator) checkServices() {
	ids, names := newUnique[pimid.ServiceID](v), newUnique[string](v)
	addresses := newUnique[netip.AddrPort](v)
	for i := range v.pub.Services {
		s, o := &v.pub.Services[i], v.services[i]
		v.check(s.ID != 0, o, "id", "is required and must be above 0")
		v.check(s.Name != "", o, "name", "is required")
		v.checkAddress(s.Address, o, "address")
		ids.check(s.ID, o, "id")
		names.check(s.Name, o, "name")
		addresses.check(s.Address, o, "address")
	}
}

func (v *validator) checkBackends() {
	ids := newUnique[pimid.BackendID](v)
	flow, http := newUnique[netip.AddrPort](v), newUnique[netip.AddrPort](v)
	for i := range v.pub.Backends {
		b, o := &v.pub.Backends[i], v.backends[i]
		v.check(b.ID != 0, o, "id", "is required and must be above 0")
		v.check(b.DataCentre != "", o, "data_centre", "is required")
		v.check(b.Slots > 0, o, "slots", "must be above 0")
		v.check(b.MaxConnections > 0, o, "max_connections", "must be above 0")
		v.checkAddress(b.FlowAddress, o, "flow_address")
		v.checkAddress(b.HTTPAddress, o, "http_address")
		v.checkService(b.Service, o)
		v.checkState(&b.State, o)
		ids.check(b.ID, o, "id")
		flow.check(b.FlowAddress, o, "flow_address")
		http.check(b.HTTPAddress, o, "http_address")
	}
}

func (v *validator) checkNodes() {
	ids, addresses := newUnique[pimid.NodeID](v), newUnique[netip.AddrPort](v)
	for i := range v.pub.Nodes {
		n, o := &v.pub.Nodes[i], v.nodes[i]
		v.check(n.ID != 0, o, "id", "is required and must be above 0")
		v.check(n.DataCentre != "", o, "data_centre", "is required")
		v.checkAddress(n.PeerAddress, o, "peer_address")
		v.checkState(&n.State, o)
		ids.check(n.ID, o, "id")
		addresses.check(n.PeerAddress, o, "peer_address")
	}
}

func (v *validator) checkAddress(a netip.AddrPort, o origin, key string) {
	v.check(a.IsValid() && a.Port() != 0, o, key, "is required and must be an address and port")
}

// checkState replaces an empty state by StateLive and rejects unknown ones.
func (v *validator) checkState(s *State, o origin) {
	if *s == "" {
		*s = StateLive
	}
	v.check(*s == StateLive || *s == StateLeaving, o, "state", "must be %s or %s", StateLive, StateLeaving)
}

// checkService rejects an id that is missing or that no service has. Without any service, as when contract files are
// checked alone, it accepts every id but 0.
func (v *validator) checkService(id pimid.ServiceID, o origin) {
	if id == 0 {
		v.fault(o, "service", "is required and must be above 0")
		return
	}
	for i := range v.pub.Services {
		if v.pub.Services[i].ID == id {
			return
		}
	}
	v.check(len(v.pub.Services) == 0, o, "service", "no service has id %d", id)
}
