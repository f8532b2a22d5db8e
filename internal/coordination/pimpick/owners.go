package pimpick

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Owner is a slot owner that may be asked, with the number of slots of the service that it owns.
type Owner struct {
	Node  pimid.NodeID
	Slots pimid.Slots
	// Remote marks an owner in another data centre.
	Remote bool
}

// Owners chooses slot owners by the estimated waits that they return with their replies; it is safe for concurrent use.
type Owners struct {
	mu     sync.Mutex
	policy Policy
	states map[ownerKey]*ownerState
	// latest holds the last estimate of each owner for any contract.
	latest map[pimid.NodeID]estimate
	// local and remote are buffers that Pick reuses.
	local  []Owner
	remote []Owner
}

type ownerKey struct {
	node     pimid.NodeID
	contract pimid.ContractID
}

// estimate is the wait that an owner reported, and when the report arrived.
type estimate struct {
	wait time.Duration
	at   pimclock.Instant
}

// ownerState is what this VM knows about one owner for one contract.
type ownerState struct {
	estimate
	// pending counts the requests of this VM that wait for the owner's decision or occupy one of its slots.
	pending int
}

const (
	// estimateLifetime is the age at which an estimate without pending requests is dropped.
	estimateLifetime = time.Minute
	// contractEstimateAge is the age above which the estimate for a contract is replaced by the owner's last estimate
	// for any contract.
	contractEstimateAge = 200 * time.Millisecond
)

// NewOwners returns an empty table with the given policy.
func NewOwners(policy Policy) *Owners {
	return &Owners{policy: policy, states: map[ownerKey]*ownerState{}, latest: map[pimid.NodeID]estimate{}}
}

// Pick chooses an owner that is not excluded and counts a pending request, which Done ends. It chooses a remote owner
// only if no local one is left: a slot that is used by a remote VM stays occupied for two more round trips. In a
// simulated overload of all data centres, a choice by wait alone lost up to 12% of the goodput. The error is ErrNoOwner
// if no owner is left.
func (o *Owners) Pick(now pimclock.Instant, c pimid.ContractID, candidates []Owner, exclude []pimid.NodeID, rnd *rand.Rand) (id pimid.NodeID, err error) {
	defer func() { err = oops.In("pimpick").Wrapf(err, "pick slot owner") }()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.split(candidates, exclude)
	from := o.local
	if len(from) == 0 {
		from = o.remote
	}
	if len(from) == 0 {
		return 0, ErrNoOwner
	}
	owner := from[o.policy.Choose(rnd, len(from), func(i int) float64 { return o.load(now, from[i], c) })]
	o.state(owner.Node, c).pending++
	return owner.Node, nil
}

// split divides the candidates that own slots and are not excluded into local and remote owners.
func (o *Owners) split(candidates []Owner, exclude []pimid.NodeID) {
	o.local, o.remote = o.local[:0], o.remote[:0]
	for _, owner := range candidates {
		switch {
		case owner.Slots <= 0 || slices.Contains(exclude, owner.Node):
		case owner.Remote:
			o.remote = append(o.remote, owner)
		default:
			o.local = append(o.local, owner)
		}
	}
}

// load returns the estimated wait, reduced by its age since queues drain, plus the wait caused by the pending requests
// of this VM.
func (o *Owners) load(now pimclock.Instant, owner Owner, c pimid.ContractID) float64 {
	// pendingCost is the assumed duration of one pending request; it breaks ties between owners without a wait.
	const pendingCost = 50 * time.Millisecond
	e, pending := o.latest[owner.Node], 0
	if s := o.states[ownerKey{owner.Node, c}]; s != nil {
		pending = s.pending
		if now.Sub(s.at) <= contractEstimateAge {
			e = s.estimate
		}
	}
	wait := max(0, e.wait-now.Sub(e.at))
	return float64(wait) + float64(pending)*float64(pendingCost)/float64(owner.Slots)
}

func (o *Owners) state(node pimid.NodeID, c pimid.ContractID) *ownerState {
	k := ownerKey{node, c}
	s := o.states[k]
	if s == nil {
		s = &ownerState{}
		o.states[k] = s
	}
	return s
}

// Observe records the estimated wait that an owner returned with a reply.
func (o *Owners) Observe(now pimclock.Instant, node pimid.NodeID, c pimid.ContractID, wait time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := estimate{wait: wait, at: now}
	o.state(node, c).estimate = e
	o.latest[node] = e
}

// Fail records that an owner did not answer: its estimated wait becomes avoid, so that other owners are preferred.
func (o *Owners) Fail(now pimclock.Instant, node pimid.NodeID, c pimid.ContractID, avoid time.Duration) {
	o.Observe(now, node, c, avoid)
}

// Done ends a pending request.
func (o *Owners) Done(node pimid.NodeID, c pimid.ContractID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.states[ownerKey{node, c}]; s != nil && s.pending > 0 {
		s.pending--
	}
}

// Sweep drops estimates older than a minute. The estimate for a contract stays while requests for it are pending at the
// owner.
func (o *Owners) Sweep(now pimclock.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k, s := range o.states {
		if s.pending == 0 && now.Sub(s.at) > estimateLifetime {
			delete(o.states, k)
		}
	}
	for id, e := range o.latest {
		if now.Sub(e.at) > estimateLifetime {
			delete(o.latest, id)
		}
	}
}
