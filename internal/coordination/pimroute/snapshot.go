package pimroute

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

// removedLifetime is the time for which a removed backend server is remembered: no token names it afterwards.
const removedLifetime = int64(pimtoken.FlowLifetime / time.Second)

// snapshot is one view with everything derived from it; it is never changed after it was published.
type snapshot struct {
	view  *pimview.View
	ring  *pimtoken.Ring
	index *index
	// removed holds the removal time in unix seconds of backend servers that an earlier view had.
	removed map[pimid.BackendID]int64
	// confirmedAt is the unix time in seconds at which the view was known to be the newest one.
	confirmedAt int64
}

func newSnapshot(settings []pimtoken.Key, old *snapshot, v *pimview.View, unixNow int64) (*snapshot, error) {
	ring, err := pimtoken.NewRing(mergeKeys(settings, v))
	if err != nil {
		return nil, err
	}
	s := &snapshot{view: v, ring: ring, confirmedAt: unixNow}
	if old == nil {
		s.index = newIndex(v, nil)
		return s, nil
	}
	s.index = newIndex(v, old.index)
	s.removed = removedBackends(old, v, unixNow)
	return s, nil
}

// removedBackends extends the removed backend servers of the old snapshot by those that the new view lacks.
func removedBackends(old *snapshot, v *pimview.View, unixNow int64) map[pimid.BackendID]int64 {
	removed := make(map[pimid.BackendID]int64, len(old.removed))
	for id, at := range old.removed {
		if unixNow-at < removedLifetime {
			removed[id] = at
		}
	}
	for id := range old.view.Backends {
		if _, ok := v.Backends[id]; !ok {
			removed[id] = unixNow
		}
	}
	return removed
}
