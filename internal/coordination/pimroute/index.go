package pimroute

import (
	"net/netip"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// index finds the contract of a source address at a service.
type index struct {
	tables map[pimid.ServiceID][]source
}

type source struct {
	prefix   netip.Prefix
	contract pimid.ContractID
}

func newIndex(v *pimview.View, _ *index) *index {
	x := &index{tables: make(map[pimid.ServiceID][]source)}
	for id, c := range v.Contracts {
		for _, p := range c.Sources {
			x.tables[c.Service] = append(x.tables[c.Service], source{prefix: p, contract: id})
		}
	}
	return x
}

func (x *index) lookup(service pimid.ServiceID, addr netip.Addr) (id pimid.ContractID, ok bool) {
	bits := -1
	for _, s := range x.tables[service] {
		if s.prefix.Contains(addr.Unmap()) && s.prefix.Bits() > bits {
			id, ok, bits = s.contract, true, s.prefix.Bits()
		}
	}
	return id, ok
}
