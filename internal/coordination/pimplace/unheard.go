package pimplace

import (
	"math"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// fillTime is the time constant of the mean fill of the own shares. With 300 ms, 92% to 93% of the urgent requests were served in the first
// second of a burst in TestUnheardReportsDoNotOpenTheReserve; a mean, since a share may be full for a moment while others have room.
const fillTime = 150 * time.Millisecond

// meanFill is the recent mean of the requests under way per slot in the own shares of a service. The fabric spreads new flows evenly, so
// that it also tells how full the shares of VMs are whose reports are not known.
type meanFill struct {
	perSlot float64
	at      pimclock.Instant
}

func (f *meanFill) update(now pimclock.Instant, perSlot float64) {
	f.perSlot += (perSlot - f.perSlot) * (1 - math.Exp(-float64(now.Sub(f.at))/float64(fillTime)))
	f.at = now
}

// fillOf returns the mean fill of the own share of a service; zero before the first decision.
func (a *admission) fillOf(service pimcatalog.Service) meanFill {
	if f := a.fills[service]; f != nil {
		return *f
	}
	return meanFill{}
}

func (a *admission) setFill(service pimcatalog.Service, current meanFill) {
	f := a.fills[service]
	if f == nil {
		f = &meanFill{}
		a.fills[service] = f
	}
	*f = current
}

// sharedBusy returns the requests under way at a backend server of the share of another VM, with the given number of slots. In a large data
// centre only part of the VMs have reported recently; without a report it would look idle.
func (a *admission) sharedBusy(l *Load, slots int, own *meanFill) float64 {
	busy := l.UnderWay()
	isReported := l.BusyElsewhere > 0 || l.OpenElsewhere > 0 || l.AliveElsewhere != 0
	if !isReported && a.isPartial {
		return max(busy, own.perSlot*float64(slots))
	}
	return busy + l.BusyElsewhere*(1-l.Vacant)
}
