package pimconfig

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	// PullTimeout is how long one pull may take before another VM is asked.
	PullTimeout = 2 * time.Second
	// avoidTime is how long a VM is not asked again after it failed or had no budget left; the actual time is
	// random between one and two of it.
	avoidTime = time.Second
)

// Syncer decides when a VM pulls configuration and from whom, with one pull at a time. It is owned by one goroutine.
type Syncer struct {
	store  *Store
	puller *Puller
	rng    *rand.Rand
	// busyUntil is when the pull in flight is given up.
	busyUntil pimclock.Instant
	busy      bool
	avoid     map[pimid.NodeID]pimclock.Instant
}

// NewSyncer returns a syncer for one store.
func NewSyncer(store *Store, rng *rand.Rand) *Syncer {
	return &Syncer{store: store, puller: NewPuller(store), rng: rng, avoid: map[pimid.NodeID]pimclock.Instant{}}
}

// Next chooses one of the VMs that announced a higher revision and returns the request to send; ok is false if
// there is nothing to do now. Each request must be ended by Done, also after a failure.
func (s *Syncer) Next(now pimclock.Instant, ahead []pimid.NodeID) (
	peer pimid.NodeID, req *pimpb.PullConfigRequest, ok bool,
) {
	if s.busy && now.Before(s.busyUntil) {
		return 0, nil, false
	}
	usable := slices.DeleteFunc(slices.Clone(ahead), func(id pimid.NodeID) bool { return now.Before(s.avoid[id]) })
	if len(usable) == 0 {
		return 0, nil, false
	}
	s.busy, s.busyUntil = true, now.Add(PullTimeout)
	return usable[s.rng.IntN(len(usable))], s.puller.Request(DefaultPullBytes), true
}

// Done ends a pull with its reply or error and reports whether the store moved forward.
func (s *Syncer) Done(now pimclock.Instant, peer pimid.NodeID, req *pimpb.PullConfigRequest,
	reply *pimpb.PullConfigReply, failure error,
) (changed bool, err error) {
	defer func() { err = oops.In("pimconfig").Wrapf(err, "end pull from vm %s", peer) }()
	s.busy = false
	before := s.store.Revision()
	more := false
	if failure == nil {
		more, err = s.puller.Accept(req, reply)
	}
	changed = s.store.Revision() > before
	if !changed && !more {
		s.avoid[peer] = now.Add(avoidTime + time.Duration(s.rng.Int64N(int64(avoidTime))))
	}
	s.forget(now)
	return changed, err
}

func (s *Syncer) forget(now pimclock.Instant) {
	for id, until := range s.avoid {
		if !now.Before(until) {
			delete(s.avoid, id)
		}
	}
}
