package pimcontract

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	day = 24 * time.Hour
	// The smallest and the largest offset from UTC of any time zone.
	minUTCOffset = -12 * time.Hour
	maxUTCOffset = 14 * time.Hour
)

func (v *validator) checkContracts() {
	ids := newUnique[pimid.ContractID](v)
	for i := range v.pub.Contracts {
		c, o := &v.pub.Contracts[i], v.contracts[i]
		v.check(c.ID != 0, o, "id", "is required and must be above 0")
		v.check(c.Customer != "", o, "customer", "is required")
		v.check(c.DefaultTimeout > 0, o, "default_timeout", "must be above 0")
		offset := time.Duration(c.UTCOffset)
		v.check(offset >= minUTCOffset && offset <= maxUTCOffset, o, "utc_offset", "must be between -12h and 14h")
		v.checkService(c.Service, o)
		v.checkTerms(&c.Terms, o.below("terms"))
		v.checkBurst(c, &c.Terms, o.below("terms"))
		v.checkPlans(c, o)
		v.checkWeights(c, o)
		ids.check(c.ID, o, "id")
	}
}

func (v *validator) checkTerms(t *Terms, o origin) {
	v.check(positive(float64(t.RateLimit)), o, "rate_limit", "must be above 0")
	v.check(finite(t.Burst) && t.Burst >= 1, o, "burst", "must be at least 1, since a request needs a whole permit")
	v.check(t.FlowLimit > 0, o, "flow_limit", "must be above 0")
	v.check(positive(t.ShareWeight), o, "share_weight", "must be above 0")
	v.check(t.Priority >= 0, o, "priority", "must not be negative")
	v.check(t.GuaranteedSlots >= 0, o, "guaranteed_slots", "must not be negative")
	v.check(t.LendLimit >= 0, o, "lend_limit", "must not be negative")
	v.check(t.BorrowLimit >= 0, o, "borrow_limit", "must not be negative")
	v.check(t.LendLimit <= max(t.GuaranteedSlots, 0), o, "lend_limit",
		"%d is above guaranteed_slots %d", t.LendLimit, t.GuaranteedSlots)
	v.check(t.GuaranteedSlots != 0 || t.BorrowLimit != 0, o, "borrow_limit",
		"is 0 as well as guaranteed_slots, so no request could run")
}

// checkBurst rejects a burst whose fraction for a data centre is less than one permit, with which that data centre could
// admit no request. Data centres without a fraction are ignored.
func (v *validator) checkBurst(c *Contract, t *Terms, o origin) {
	var names []pimid.DataCentre
	for i := range v.pub.Nodes {
		names = append(names, v.pub.Nodes[i].DataCentre)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	for _, name := range names {
		part := t.Burst * c.DataCentreFraction(name, len(names))
		if t.Burst >= 1 && part > 0 && part < 1 {
			v.fault(o, "burst", "leaves %.2f permits for %s, which needs at least 1", part, name)
			return
		}
	}
}

func (v *validator) checkPlans(c *Contract, o origin) {
	for i := range c.Plans {
		p, at := &c.Plans[i], o.element("plan", i)
		v.check(validTime(p.From), at, "from", "must be a time of day from 0h to before 24h")
		v.check(validTime(p.To), at, "to", "must be a time of day from 0h to before 24h")
		v.check(p.From != p.To, at, "to", "must differ from the start")
		v.checkTerms(&p.Terms, at.below("terms"))
		v.checkBurst(c, &p.Terms, at.below("terms"))
		for j := range i {
			v.check(!p.overlaps(&c.Plans[j]), at, "from", "overlaps with %s", o.element("plan", j).key)
		}
	}
}

func (v *validator) checkWeights(c *Contract, o origin) {
	o = o.below("data_centre_weights")
	sum, valid := 0.0, true
	for _, name := range slices.Sorted(maps.Keys(c.DataCentreWeights)) {
		w := c.DataCentreWeights[name]
		ok := finite(w) && w >= 0
		v.check(ok, o, string(name), "must not be negative")
		v.check(v.knownDataCentre(name), o, string(name), "no VM is in this data centre")
		sum, valid = sum+w, valid && ok
	}
	v.check(len(c.DataCentreWeights) == 0 || !valid || sum > 0, o, "", "at least one weight must be above 0")
}

func (v *validator) knownDataCentre(name pimid.DataCentre) bool {
	return len(v.pub.Nodes) == 0 ||
		slices.ContainsFunc(v.pub.Nodes, func(n Node) bool { return n.DataCentre == name })
}

// validTime reports whether d is a time of day, from 0 to before 24 h.
func validTime(d Duration) bool { return d >= 0 && time.Duration(d) < day }

// overlaps reports whether two plans share a time of day; if they do, one of them starts while the other is active.
func (p *Plan) overlaps(q *Plan) bool {
	return p.active(time.Duration(q.From)) || q.active(time.Duration(p.From))
}

func finite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

func positive(x float64) bool { return finite(x) && x > 0 }
