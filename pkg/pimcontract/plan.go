package pimcontract

import "time"

// TermsAt returns the terms in force at t: those of the active plan, or the contract's own.
func (c *Contract) TermsAt(t time.Time) Terms {
	at := timeOfDay(t, time.Duration(c.UTCOffset))
	for i := range c.Plans {
		if c.Plans[i].active(at) {
			return c.Plans[i].Terms
		}
	}
	return c.Terms
}

// timeOfDay returns the time since midnight at the given offset from UTC.
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
