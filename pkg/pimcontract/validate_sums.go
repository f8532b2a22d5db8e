package pimcontract

import (
	"net/netip"
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// servicePrefix is a source prefix of a contract of one service.
type servicePrefix struct {
	service pimid.ServiceID
	prefix  netip.Prefix
}

// checkSources rejects contracts without prefixes, and prefixes that are not in canonical form, redundant in their
// contract or used by two contracts of one service: each prefix must select exactly one contract. A longer prefix
// inside the prefix of another contract is allowed, since the longest match wins.
func (v *validator) checkSources() {
	owners := map[servicePrefix]origin{}
	for i := range v.pub.Contracts {
		c, o := &v.pub.Contracts[i], v.contracts[i]
		v.check(len(c.Sources) > 0, o, "sources", "at least one prefix is required")
		for j, p := range c.Sources {
			at := o.element("sources", j)
			if !p.IsValid() {
				continue
			}
			v.check(p == p.Masked(), at, "", "%s has bits behind the prefix length, use %s", p, p.Masked())
			v.check(!containedIn(p, c.Sources, j), at, "", "%s is contained in another prefix of this contract", p)
			id := servicePrefix{service: c.Service, prefix: p.Masked()}
			if first, ok := owners[id]; ok && first != o {
				v.fault(at, "", "%s belongs to %s already (%s:%d)", p, first.key, first.doc.File(), first.doc.Line(first.key))
				continue
			}
			owners[id] = o
		}
	}
}

// containedIn reports whether another prefix covers the one at index i; of two equal ones, the later one is reported.
func containedIn(p netip.Prefix, all []netip.Prefix, i int) bool {
	for j, q := range all {
		if j == i || !q.IsValid() || !q.Overlaps(p) {
			continue
		}
		if q.Bits() < p.Bits() || q.Bits() == p.Bits() && j < i {
			return true
		}
	}
	return false
}

// checkGuarantees compares the guaranteed slots of each service with its slots at every time at which a plan starts or
// ends.
func (v *validator) checkGuarantees() {
	slots := map[pimid.ServiceID]pimid.Slots{}
	for _, b := range v.pub.Backends {
		slots[b.Service] += b.Slots
	}
	if len(v.pub.Backends) == 0 {
		return
	}
	for _, at := range TermChangeTimes(v.pub.Contracts) {
		v.checkGuaranteesAt(at, slots)
	}
}

// checkGuaranteesAt reports, for each service, the contract with which the sum of the guaranteed slots first exceeds
// the slots of the service at a time.
func (v *validator) checkGuaranteesAt(at time.Time, slots map[pimid.ServiceID]pimid.Slots) {
	sums := map[pimid.ServiceID]pimid.Slots{}
	for i := range v.pub.Contracts {
		c := &v.pub.Contracts[i]
		terms, key := c.termsAt(at)
		before := sums[c.Service]
		sums[c.Service] += max(terms.GuaranteedSlots, 0)
		if sums[c.Service] > slots[c.Service] && before <= slots[c.Service] {
			v.faultOnce(v.contracts[i].below(key), "guaranteed_slots",
				"all guarantees of service %d add up to %d at %s UTC, but it has %d slots",
				c.Service, v.guaranteedSum(c.Service, at), at.Format("15:04"), slots[c.Service])
		}
	}
}

// guaranteedSum returns the sum of the guaranteed slots of all contracts of a service at a time.
func (v *validator) guaranteedSum(service pimid.ServiceID, at time.Time) (sum pimid.Slots) {
	for i := range v.pub.Contracts {
		if c := &v.pub.Contracts[i]; c.Service == service {
			sum += max(c.TermsAt(at).GuaranteedSlots, 0)
		}
	}
	return sum
}

// faultOnce reports a fault unless the same key has one already, such as for another time of day.
func (v *validator) faultOnce(o origin, key, format string, args ...any) {
	at := o.key + "." + key
	if !slices.ContainsFunc(v.faults, func(f Fault) bool { return f.Key == at && f.File == o.doc.File() }) {
		v.fault(o, key, format, args...)
	}
}
