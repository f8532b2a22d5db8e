package pimadmit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// The bounds of the activity of a priority.
const (
	// activityHalfLife is how fast a priority without flows loses its weight.
	activityHalfLife = 5 * time.Second
	// minActivity is the part of the placed flows of a service from which a priority counts. Routes that are published but
	// hardly used must not take places from the others.
	minActivity = 0.01
	// minWeight is the weight from which a priority without further flows is removed: one flow after 50 s.
	minWeight = 0.001
)

// priority is the recent number of placed flows of one priority.
type priority struct {
	value pimcatalog.Priority
	flows float64
	at    pimclock.Instant
}

func (p *priority) weight(now pimclock.Instant) float64 {
	return p.flows * math.Exp2(-float64(now.Sub(p.at))/float64(activityHalfLife))
}

// Activity counts the placed flows of one service by priority; the zero value is empty. Refused flows do not count: in a burst of refused
// flows and their further tries, an urgent priority with few flows would fall below minActivity and lose its places.
type Activity struct {
	// meanWork is the mean time of the requests of the recent flows; zero if unknown.
	meanWork time.Duration
	// priorities are in the order of their values, the most urgent one first.
	priorities []priority
}

// Record counts a placed flow.
func (a *Activity) Record(now pimclock.Instant, value pimcatalog.Priority) {
	p := a.find(now, value)
	p.flows, p.at = p.weight(now)+1, now
}

// find returns the entry of a priority. If there is none, it adds one and removes those whose last flows were long ago.
func (a *Activity) find(now pimclock.Instant, value pimcatalog.Priority) *priority {
	search := func() (int, bool) {
		return slices.BinarySearchFunc(a.priorities, value, func(p priority, v pimcatalog.Priority) int { return cmp.Compare(p.value, v) })
	}
	i, ok := search()
	if !ok {
		a.priorities = slices.DeleteFunc(a.priorities, func(p priority) bool { return p.weight(now) < minWeight })
		i, _ = search()
		a.priorities = slices.Insert(a.priorities, i, priority{value: value})
	}
	return &a.priorities[i]
}

// Level is the rank of a priority among those of a service that have recent flows: Rank 0 is the most urgent of Count.
type Level struct{ Rank, Count int }

// Level returns the level of a flow of a priority; the nil value has no recent flows.
func (a *Activity) Level(now pimclock.Instant, value pimcatalog.Priority) (l Level) {
	if a == nil {
		return l
	}
	total := 0.0
	for i := range a.priorities {
		total += a.priorities[i].weight(now)
	}
	for i := range a.priorities {
		p := &a.priorities[i]
		if p.value != value && p.weight(now) < minActivity*total {
			continue
		}
		l.Count++
		if p.value < value {
			l.Rank++
		}
	}
	return l
}

// workStep is the part of the mean work that one flow replaces.
const workStep = 0.02

// RecordWork counts the mean time of a request of the route of a new flow.
func (a *Activity) RecordWork(work time.Duration) {
	if a.meanWork == 0 {
		a.meanWork = work
	}
	a.meanWork += time.Duration(workStep * float64(work-a.meanWork))
}

// MeanWork returns the mean time of the requests of the recent flows, or zero if it is unknown.
func (a *Activity) MeanWork() time.Duration {
	if a == nil {
		return 0
	}
	return a.meanWork
}
