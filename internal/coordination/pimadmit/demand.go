package pimadmit

import "time"

// Demand is a new flow that asks for a place.
type Demand struct {
	Level Level
	// Attempt is the number of the copy of the opening packet.
	Attempt int
	// Target is the latency that callers of the route expect, Timeout bounds a request. Zero means none.
	Target, Timeout time.Duration
	// Work is the mean time of a request of the route, MeanWork that of all requests of the service; zero if unknown.
	Work, MeanWork time.Duration
}

// copyDelays are the times after which callers send the copies of an opening packet.
var copyDelays = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// lastCopy is the number of the last copy of an opening packet.
const lastCopy = len(copyDelays) - 1

// waited is how long the caller has been sending opening packets.
func (d *Demand) waited() time.Duration { return copyDelays[min(max(0, d.Attempt), lastCopy)] }

// The parts of the distance between two levels by which the limit of a flow moves. Together they are less than one, so that a flow never
// has a lower limit than a less urgent one.
const (
	// latePart is subtracted for a flow that can no longer be answered within its target, so that those that can go first.
	latePart = 0.5
	// workPart is the largest part that is added or subtracted for a route whose requests need less or more work than others: more
	// requests can be served if the short ones go first.
	workPart = 0.25
)

// Limit returns the part of the places that the flow may help to fill. It never falls below the slots.
func (s Settings) Limit(d *Demand) float64 {
	step := s.Reserve / float64(max(1, d.Level.Count-1))
	limit := 1 - step*float64(d.Level.Rank)
	if d.isLate() {
		limit -= step * latePart
	}
	if d.Work > 0 && d.MeanWork > 0 {
		saved := float64(d.MeanWork-d.Work) / float64(d.MeanWork)
		limit += step * workPart * min(max(saved, -1), 1)
	}
	return min(max(limit, 2*s.idleFill()), 1)
}

// isLate reports whether the answer would come after the target.
func (d *Demand) isLate() bool { return d.Target > 0 && d.Work >= d.Target-d.waited() }

// isExpired reports whether a flow that is placed now would not be answered within its timeout.
func (d *Demand) isExpired() bool { return d.Timeout > 0 && d.Work >= d.Timeout-d.waited() }

// MayWait reports whether a flow without a place is left to the next copy of its opening packet: only the most urgent flows, which more
// places are kept for, and only if that copy can still be answered within the target. All others are refused at once, so that
// their callers can go elsewhere: a wait would only displace later flows that can still be answered in time.
func (d *Demand) MayWait() bool {
	if d.Level.Rank > 0 || d.Attempt >= lastCopy {
		return false
	}
	next := *d
	next.Attempt = max(0, d.Attempt) + 1
	return !next.isLate() && !next.isExpired()
}
