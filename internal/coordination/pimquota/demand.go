package pimquota

import (
	"math"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// demandWindow is the time constant of the smoothed demand; shorter than a lease, so that owners follow a change of
// the packet spray within about one second.
const demandWindow = 500 * time.Millisecond

// steadyWindow is the time constant of the demand that decides which part of the share a VM keeps. Changes of that part
// cost permits, since its growth waits for the end of a lease while the owner has given up the permits already.
const steadyWindow = 3 * time.Second

// demand is an exponentially smoothed rate of requests offered per second.
type demand struct {
	window time.Duration
	rate   float64
	last   pimclock.Instant
}

func (d *demand) add(now pimclock.Instant, n float64) {
	d.decay(now)
	d.rate += n / d.window.Seconds()
}

func (d *demand) decay(now pimclock.Instant) {
	if dt := now.Sub(d.last); dt > 0 {
		d.rate *= math.Exp(-dt.Seconds() / d.window.Seconds())
		d.last = now
	}
}
