package pimcontract

import (
	"fmt"
	"slices"
	"time"
)

// TermsAt returns the terms in force at t: those of the active plan, or the contract's own.
func (c *Contract) TermsAt(t time.Time) Terms {
	terms, _ := c.termsAt(t)
	return terms
}

// termsAt returns the terms in force at t and their TOML key inside the contract, for fault messages.
func (c *Contract) termsAt(t time.Time) (terms Terms, key string) {
	at := timeOfDay(t, time.Duration(c.UTCOffset))
	for i := range c.Plans {
		if c.Plans[i].active(at) {
			return c.Plans[i].Terms, fmt.Sprintf("plan[%d].terms", i)
		}
	}
	return c.Terms, "terms"
}

// TermChangeTimes returns the times of one day, in UTC, at which the terms of some contract may change; midnight UTC is
// included.
func TermChangeTimes(contracts []Contract) (times []time.Time) {
	midnight := time.Unix(0, 0).UTC()
	times = append(times, midnight)
	for i := range contracts {
		c := &contracts[i]
		for _, p := range c.Plans {
			for _, local := range []Duration{p.From, p.To} {
				at := midnight.Add(time.Duration(local) - time.Duration(c.UTCOffset))
				times = append(times, midnight.Add(timeOfDay(at, 0)))
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return slices.CompactFunc(times, time.Time.Equal)
}

// timeOfDay returns the time since local midnight at t, where local time is UTC plus offset.
func timeOfDay(t time.Time, offset time.Duration) time.Duration {
	t = t.UTC().Add(offset)
	midnight := time.Date(t.Year(), t.Month(), t.Day(), 0, 0, 0, 0, time.UTC)
	return t.Sub(midnight)
}

// active reports whether the plan covers the time of day; the start is included, the end is not.
func (p *Plan) active(at time.Duration) bool {
	from, to := time.Duration(p.From), time.Duration(p.To)
	if from < to {
		return from <= at && at < to
	}
	return at >= from || at < to
}
