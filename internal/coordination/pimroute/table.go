package pimroute

import (
	"encoding/binary"
	"net/netip"
	"sort"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// table finds the contract of a source address at one service by binary search over disjoint spans.
type table struct {
	starts4    []uint32
	contracts4 []contractRef
	starts6    []address6
	contracts6 []contractRef
	// contracts holds the contracts of the service in ascending order.
	contracts []pimid.ContractID
}

// address6 is an IPv6 address as two integers, which compare faster than bytes.
type address6 struct{ high, low uint64 }

func (a address6) isAbove(b address6) bool {
	return a.high > b.high || a.high == b.high && a.low > b.low
}

func newAddress6(a netip.Addr) address6 {
	raw := a.As16()
	return address6{high: binary.BigEndian.Uint64(raw[:8]), low: binary.BigEndian.Uint64(raw[8:])}
}

func newAddress4(a netip.Addr) uint32 {
	raw := a.As4()
	return binary.BigEndian.Uint32(raw[:])
}

func newTable(sources []source) *table {
	var four, six []source
	for _, s := range sources {
		p, ok := normalise(s.prefix)
		if !ok {
			continue
		}
		s.prefix = p
		if p.Addr().Is4() {
			four = append(four, s)
		} else {
			six = append(six, s)
		}
	}
	t := &table{}
	for _, s := range flatten(four) {
		t.starts4 = append(t.starts4, newAddress4(s.start))
		t.contracts4 = append(t.contracts4, s.contract)
	}
	for _, s := range flatten(six) {
		t.starts6 = append(t.starts6, newAddress6(s.start))
		t.contracts6 = append(t.contracts6, s.contract)
	}
	return t
}

func (t *table) lookup(addr netip.Addr) (id pimid.ContractID, ok bool) {
	addr = addr.Unmap()
	if !addr.IsValid() {
		return 0, false
	}
	if addr.Is4() {
		a := newAddress4(addr)
		i := sort.Search(len(t.starts4), func(i int) bool { return t.starts4[i] > a })
		return contractBefore(t.contracts4, i)
	}
	a := newAddress6(addr)
	i := sort.Search(len(t.starts6), func(i int) bool { return t.starts6[i].isAbove(a) })
	return contractBefore(t.contracts6, i)
}

// contractBefore returns the contract of the span before position i, which is the last span that starts at or below the
// address; ok is false if no contract covers it.
func contractBefore(refs []contractRef, i int) (id pimid.ContractID, ok bool) {
	if i == 0 || refs[i-1] == 0 {
		return 0, false
	}
	return pimid.ContractID(refs[i-1] - 1), true
}
