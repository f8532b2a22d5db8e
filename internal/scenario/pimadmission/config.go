package pimadmission

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
)

// Mix says which routes take part in the burst.
type Mix string

// The mixes.
const (
	// BothRise is a burst in which the urgent route has urgentShare of the work.
	BothRise Mix = "both_rise"
	// LessUrgentRises is a burst of the less urgent route alone; the urgent one stays at its normal load.
	LessUrgentRises Mix = "less_urgent_rises"
)

// Mixes lists all mixes.
var Mixes = []Mix{BothRise, LessUrgentRises}

// Loads are the offered loads of a sweep, in parts of the capacity.
var Loads = []float64{0.5, 0.8, 1, 1.5, 2, 4, 8}

// MinServed is the part of the urgent requests that must be answered within their target while their own work fits.
const MinServed = 0.95

// Config describes one run: Calm at normalLoad, Burst at Load, and Calm at normalLoad again.
type Config struct {
	Seed uint64
	Mix  Mix
	// Load is the work that the first tries of all requests offer during the burst, in parts of the capacity.
	Load float64
	// Admission enables the refusal of flows by priority.
	Admission bool
	// Unheard is the part of the reports that do not reach another VM: in a large data centre a VM hears from few others within the time
	// for which a report counts.
	Unheard     float64
	Calm, Burst time.Duration
	// KeepOpen is how long callers keep a flow open after its answer.
	KeepOpen time.Duration
}

// DefaultConfig returns a run with a burst of ten seconds.
func DefaultConfig(seed uint64, mix Mix, load float64, admission bool) Config {
	return Config{Seed: seed, Mix: mix, Load: load, Admission: admission, Calm: 5 * time.Second, Burst: 10 * time.Second}
}

// UrgentLoad returns the load of the urgent route during the burst.
func (c Config) UrgentLoad() float64 {
	if c.Mix == LessUrgentRises {
		return min(c.Load, normalLoad) * urgentShare
	}
	return c.Load * urgentShare
}

const (
	normalLoad = 0.5
	// urgentShare is the part of the urgent route in the normal work.
	urgentShare = 0.4
)

// The simulated data centre.
const (
	vms         = 3
	hosts       = 5
	slots       = 2
	queueLength = 8
	// maxOpen is the number of open connections beyond which a backend server resets new ones.
	maxOpen     = 27
	oneWayDelay = 3 * time.Millisecond
	// reportEvery is how often a VM reports its loads, and reportDelayMax the longest time in which another one receives them.
	reportEvery    = 200 * time.Millisecond
	reportDelayMax = 800 * time.Millisecond
)

// The behaviour of callers: the delays of the copies of an opening packet, the end of a try without an answer, the further tries and the
// mean pause before each of them.
const (
	firstCopyAfter  = 200 * time.Millisecond
	secondCopyAfter = 600 * time.Millisecond
	tryTimeout      = 1400 * time.Millisecond
	maxRetries      = 2
	retryPause      = 100 * time.Millisecond
	// refusalMin and refusalMax bound the time from the opening packet to an answer 503 under load.
	refusalMin = 90 * time.Millisecond
	refusalMax = 270 * time.Millisecond
)

// kind describes the requests of a route.
type kind struct {
	priority        pimcatalog.Priority
	work            time.Duration
	target, timeout time.Duration
}

// kinds are the urgent and the less urgent route.
var kinds = [...]kind{
	{priority: 1, work: 44 * time.Millisecond, target: 500 * time.Millisecond, timeout: 3 * time.Second},
	{priority: 2, work: 34 * time.Millisecond, target: time.Second, timeout: 4 * time.Second},
}
