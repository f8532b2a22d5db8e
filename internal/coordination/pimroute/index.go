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
	// tables are addressed by service id; a service without contracts has none.
	tables []*table
	// contracts are those of the view that the index was built from.
	contracts map[pimid.ContractID]pimcontract.Contract
}

// newIndex builds the index of a view and takes the tables of services whose contracts did not change from old, which
// may be nil.
func newIndex(v *pimview.View, old *index) *index {
	if old == nil {
		old = &index{}
	}
	x := &index{tables: slices.Clone(old.tables), contracts: v.Contracts}
	for service, sources := range x.changedSources(old) {
		x.set(service, sources)
	}
	return x
}

func (x *index) set(service pimid.ServiceID, sources []source) {
	if missing := int(service) + 1 - len(x.tables); missing > 0 {
		x.tables = append(x.tables, make([]*table, missing)...)
	}
	x.tables[service] = nil
	if len(sources) > 0 {
		x.tables[service] = newTable(sources)
	}
}

// changedSources returns all sources of each service that has a contract that differs from old.
func (x *index) changedSources(old *index) map[pimid.ServiceID][]source {
	changed := make(map[pimid.ServiceID][]source)
	for id, c := range x.contracts {
		was, ok := old.contracts[id]
		if ok && was.Service == c.Service && slices.Equal(was.Sources, c.Sources) {
			continue
		}
		changed[c.Service] = nil
		if ok {
			changed[was.Service] = nil
		}
	}
	for id, was := range old.contracts {
		if _, ok := x.contracts[id]; !ok {
			changed[was.Service] = nil
		}
	}
	if len(changed) > 0 {
		x.collect(changed)
	}
	return changed
}

func (x *index) collect(changed map[pimid.ServiceID][]source) {
	for id, c := range x.contracts {
		list, ok := changed[c.Service]
		if !ok {
			continue
		}
		for _, p := range c.Sources {
			list = append(list, source{prefix: p, contract: id})
		}
		changed[c.Service] = list
	}
}

func (x *index) lookup(service pimid.ServiceID, addr netip.Addr) (id pimid.ContractID, ok bool) {
	if int(service) >= len(x.tables) || x.tables[service] == nil {
		return 0, false
	}
	return x.tables[service].lookup(addr)
}
