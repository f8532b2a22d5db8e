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
	// PullTimeout is how long one pull may take before the next VM is tried.
	PullTimeout = 2 * time.Second
	// minPeerBackoff is the shortest time before a pull from a VM that failed or had no budget left is tried again; the
	// actual time is random between this and twice this.
	minPeerBackoff = time.Second
)

// Syncer decides when a VM pulls configuration and from whom, with one pull at a time. It is owned by one goroutine.
type Syncer struct {
	store  *Store
	puller *Puller
	rng    *rand.Rand
	// pulling is set while a pull is in flight; it is abandoned at pullDeadline.
	pullDeadline pimclock.Instant
	pulling      bool
	// backoffUntil holds when each VM that failed may be tried again.
	backoffUntil map[pimid.NodeID]pimclock.Instant
}

// NewSyncer returns a syncer for one store.
func NewSyncer(store *Store, rng *rand.Rand) *Syncer {
	return &Syncer{store: store, puller: NewPuller(store), rng: rng, backoffUntil: map[pimid.NodeID]pimclock.Instant{}}
}

// Next chooses one of the VMs that announced a higher revision and returns the request to send; ok is false if
// there is nothing to do now. Each request must be ended by Done, also after a failure.
func (s *Syncer) Next(now pimclock.Instant, ahead []pimid.NodeID) (
	peer pimid.NodeID, req *pimpb.PullConfigRequest, ok bool,
) {
	if s.pulling && now.Before(s.pullDeadline) {
		return 0, nil, false
	}
	usable := slices.DeleteFunc(slices.Clone(ahead), func(id pimid.NodeID) bool { return now.Before(s.backoffUntil[id]) })
	if len(usable) == 0 {
		return 0, nil, false
	}
	s.pulling, s.pullDeadline = true, now.Add(PullTimeout)
	return usable[s.rng.IntN(len(usable))], s.puller.Request(DefaultPullBytes), true
}

// Done ends a pull with its reply or error and reports whether the revision of the store has risen.
func (s *Syncer) Done(now pimclock.Instant, peer pimid.NodeID, req *pimpb.PullConfigRequest,
	reply *pimpb.PullConfigReply, failure error,
) (changed bool, err error) {
	defer func() { err = oops.In("pimconfig").Wrapf(err, "end pull from vm %s", peer) }()
	s.pulling = false
	before := s.store.Revision()
	more := false
	if failure == nil {
		more, err = s.puller.Accept(req, reply)
	}
	changed = s.store.Revision() > before
	if !changed && !more {
		s.backoffUntil[peer] = now.Add(minPeerBackoff + time.Duration(s.rng.Int64N(int64(minPeerBackoff))))
	}
	s.dropEndedBackoffs(now)
	return changed, err
}

// dropEndedBackoffs removes the VMs that may be tried again.
func (s *Syncer) dropEndedBackoffs(now pimclock.Instant) {
	for id, until := range s.backoffUntil {
		if !now.Before(until) {
			delete(s.backoffUntil, id)
		}
	}
}
