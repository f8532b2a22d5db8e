package pimquota

import (
	"math"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// demandWindow is the time constant of the smoothed demand; shorter than a lease, so that owners follow a change of
// the packet spray within about one second.
const demandWindow = 500 * time.Millisecond

// demand is an exponentially smoothed rate of requests offered per second.
type demand struct {
	rate float64
	last pimclock.Instant
}

func (d *demand) add(now pimclock.Instant, n float64) {
	d.decay(now)
	d.rate += n / demandWindow.Seconds()
}

func (d *demand) decay(now pimclock.Instant) {
	if dt := now.Sub(d.last); dt > 0 {
		d.rate *= math.Exp(-dt.Seconds() / demandWindow.Seconds())
		d.last = now
	}
}
