package pimroute

import (
	"net/netip"
	"slices"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// index finds the contract of a source address at a service.
type index struct {
	// tables is indexed by service id; the entry of a service without contracts is nil.
	tables []*table
	// contracts are the contracts of the view that the index was built from.
	contracts map[pimid.ContractID]pimcontract.Contract
}

// newIndex builds the index of a view. It reuses the tables in old, which may be nil, of the services whose contracts
// are unchanged.
func newIndex(v *pimview.View, old *index) *index {
	if old == nil {
		old = &index{}
	}
	x := &index{tables: slices.Clone(old.tables), contracts: v.Contracts}
	for service, candidates := range x.changes(old) {
		x.rebuild(service, candidates)
	}
	return x
}

// changes returns the services with an added, changed or removed contract, and for each of them the contracts that it
// had in old or may have now.
func (x *index) changes(old *index) map[pimid.ServiceID][]pimid.ContractID {
	changed := make(map[pimid.ServiceID][]pimid.ContractID)
	known := 0
	for id, c := range x.contracts {
		was, ok := old.contracts[id]
		if ok {
			known++
		}
		if ok && was.Service == c.Service && slices.Equal(was.Sources, c.Sources) {
			continue
		}
		if ok {
			old.markChanged(changed, was.Service)
		}
		old.markChanged(changed, c.Service)
		changed[c.Service] = append(changed[c.Service], id)
	}
	if known < len(old.contracts) {
		x.addRemoved(changed, old)
	}
	return changed
}

// addRemoved marks the services of the contracts that old has and x lacks.
func (x *index) addRemoved(changed map[pimid.ServiceID][]pimid.ContractID, old *index) {
	for id, was := range old.contracts {
		if _, ok := x.contracts[id]; !ok {
			old.markChanged(changed, was.Service)
		}
	}
}

// markChanged adds a service to changed, with the contracts that it has in x, unless it is there already.
func (x *index) markChanged(changed map[pimid.ServiceID][]pimid.ContractID, service pimid.ServiceID) {
	if _, ok := changed[service]; ok {
		return
	}
	changed[service] = nil
	if t := x.table(service); t != nil {
		changed[service] = slices.Clone(t.contracts)
	}
}

// rebuild builds the table of a service from those of the candidates that belong to it.
func (x *index) rebuild(service pimid.ServiceID, candidates []pimid.ContractID) {
	if missing := int(service) + 1 - len(x.tables); missing > 0 {
		x.tables = append(x.tables, make([]*table, missing)...)
	}
	x.tables[service] = nil
	slices.Sort(candidates)
	var ids []pimid.ContractID
	var sources []source
	for _, id := range slices.Compact(candidates) {
		c, ok := x.contracts[id]
		if !ok || c.Service != service {
			continue
		}
		ids = append(ids, id)
		for _, p := range c.Sources {
			sources = append(sources, source{prefix: p, contract: id})
		}
	}
	if len(ids) > 0 {
		x.tables[service] = newTable(sources)
		x.tables[service].contracts = ids
	}
}

// table returns the table of a service; nil if it has no contracts.
func (x *index) table(service pimid.ServiceID) *table {
	if int(service) >= len(x.tables) {
		return nil
	}
	return x.tables[service]
}

func (x *index) lookup(service pimid.ServiceID, addr netip.Addr) (id pimid.ContractID, ok bool) {
	t := x.table(service)
	if t == nil {
		return 0, false
	}
	return t.lookup(addr)
}
