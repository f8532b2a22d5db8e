package pimroute

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

// removedLifetime is the time in seconds for which a removed backend server is remembered. All tokens that name it have
// expired afterwards.
const removedLifetime = int64(pimtoken.FlowLifetime / time.Second)

// snapshot is a view with the data derived from it; it is immutable once stored in Router.current.
type snapshot struct {
	view  *pimview.View
	ring  *pimtoken.Ring
	index *index
	// removed maps the backend servers that are no longer in the view to their removal times in unix seconds.
	removed map[pimid.BackendID]int64
	// confirmedAt is the last time, in unix seconds, at which the view was known to be the newest one.
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

// removedBackends returns the unexpired entries of old.removed and the backend servers of the old view that v lacks.
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
