package pimroute

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// source is one source prefix of a contract.
type source struct {
	prefix   netip.Prefix
	contract pimid.ContractID
}

// span is the address range from start up to the start of the next span.
type span struct {
	start    netip.Addr
	contract contractRef
}

// contractRef is a contract id plus one; zero means no contract.
type contractRef uint32

func refOf(id pimid.ContractID) contractRef { return contractRef(id) + 1 }

// normalise clears the host bits of a prefix and converts a prefix of IPv4-mapped IPv6 addresses to IPv4; ok is false
// if the prefix is invalid.
func normalise(p netip.Prefix) (q netip.Prefix, ok bool) {
	const mappedBits = 96
	if p.Addr().Is4In6() && p.Bits() >= mappedBits {
		p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedBits)
	}
	return p.Masked(), p.IsValid()
}

// flattener converts nested prefixes of one address family to disjoint spans, so that a binary search finds the longest
// matching prefix.
type flattener struct {
	spans []span
	// enclosing is the stack of prefixes that contain the current position, the innermost last.
	enclosing []source
}

// flatten returns the spans of the sources of one address family. Of two contracts with the same prefix, the one with
// the lower id is used, so that all VMs choose the same one.
func flatten(sources []source) []span {
	slices.SortFunc(sources, func(a, b source) int {
		return cmp.Or(a.prefix.Addr().Compare(b.prefix.Addr()), cmp.Compare(a.prefix.Bits(), b.prefix.Bits()),
			cmp.Compare(b.contract, a.contract))
	})
	var f flattener
	for _, s := range sources {
		f.closeBefore(s.prefix.Addr())
		f.emit(s.prefix.Addr(), refOf(s.contract))
		f.enclosing = append(f.enclosing, s)
	}
	f.closeBefore(netip.Addr{})
	return f.spans
}

// closeBefore removes the prefixes that do not contain addr from the stack and begins a span after the end of each. The
// zero Addr removes all.
func (f *flattener) closeBefore(addr netip.Addr) {
	for len(f.enclosing) > 0 {
		top := f.enclosing[len(f.enclosing)-1]
		if top.prefix.Contains(addr) {
			return
		}
		f.enclosing = f.enclosing[:len(f.enclosing)-1]
		if next := lastAddr(top.prefix).Next(); next.IsValid() {
			f.emit(next, f.innermost())
		}
	}
}

// innermost returns the contract of the innermost enclosing prefix.
func (f *flattener) innermost() contractRef {
	if len(f.enclosing) == 0 {
		return 0
	}
	return refOf(f.enclosing[len(f.enclosing)-1].contract)
}

// emit begins a span at start, and replaces the last one if it begins there too.
func (f *flattener) emit(start netip.Addr, contract contractRef) {
	if n := len(f.spans); n > 0 && f.spans[n-1].start == start {
		f.spans[n-1].contract = contract
		return
	}
	f.spans = append(f.spans, span{start: start, contract: contract})
}

// lastAddr returns the highest address of a prefix.
func lastAddr(p netip.Prefix) netip.Addr {
	raw := p.Addr().AsSlice()
	for bit := p.Bits(); bit < len(raw)*8; bit++ {
		raw[bit/8] |= 1 << (7 - bit%8)
	}
	last, _ := netip.AddrFromSlice(raw)
	return last
}
