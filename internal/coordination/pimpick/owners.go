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

// Owner is a slot owner that may be asked, with the number of slots that it owns of the service.
type Owner struct {
	Node  pimid.NodeID
	Slots pimid.Slots
}

// Owners chooses slot owners by the estimated wait that they piggyback on replies; it is safe for concurrent use.
type Owners struct {
	mu     sync.Mutex
	policy Policy
	seen   map[ownerKey]*ownerState
}

type ownerKey struct {
	node     pimid.NodeID
	contract pimid.ContractID
}

// ownerState is what one VM knows about one owner for one contract.
type ownerState struct {
	wait time.Duration
	at   pimclock.Instant
	// pending counts the requests of this VM that wait for the owner's decision or use one of its slots.
	pending int
}

// forgetOwner is the age at which an estimate without pending requests is dropped.
const forgetOwner = time.Minute

// NewOwners returns an empty table with the given policy.
func NewOwners(policy Policy) *Owners {
	return &Owners{policy: policy, seen: map[ownerKey]*ownerState{}}
}

// Pick chooses an owner outside the excluded ones and counts a pending request, which Done ends.
func (o *Owners) Pick(now pimclock.Instant, c pimid.ContractID, candidates []Owner, exclude []pimid.NodeID, rnd *rand.Rand) (id pimid.NodeID, err error) {
	defer func() { err = oops.In("pimpick").Wrapf(err, "pick slot owner") }()
	o.mu.Lock()
	defer o.mu.Unlock()
	left := candidates
	if len(exclude) > 0 {
		left = slices.DeleteFunc(slices.Clone(candidates), func(w Owner) bool { return slices.Contains(exclude, w.Node) })
	}
	left = withSlots(left)
	if len(left) == 0 {
		return 0, ErrNoOwner
	}
	w := left[o.policy.Choose(rnd, len(left), func(i int) float64 { return o.load(now, left[i], c) })]
	o.state(w.Node, c).pending++
	return w.Node, nil
}

// withSlots drops owners without a slot; it copies only if there is one.
func withSlots(owners []Owner) []Owner {
	none := func(w Owner) bool { return w.Slots <= 0 }
	if !slices.ContainsFunc(owners, none) {
		return owners
	}
	return slices.DeleteFunc(slices.Clone(owners), none)
}

// load is the estimated wait, reduced by its age since queues drain, plus the wait that own pending requests cause.
func (o *Owners) load(now pimclock.Instant, w Owner, c pimid.ContractID) float64 {
	// pendingCost is the assumed duration of one pending request; it breaks ties between owners without a wait.
	const pendingCost = 50 * time.Millisecond
	s := o.seen[ownerKey{w.Node, c}]
	if s == nil {
		return 0
	}
	wait := max(0, s.wait-now.Sub(s.at))
	return float64(wait) + float64(s.pending)*float64(pendingCost)/float64(w.Slots)
}

func (o *Owners) state(node pimid.NodeID, c pimid.ContractID) *ownerState {
	k := ownerKey{node, c}
	s := o.seen[k]
	if s == nil {
		s = &ownerState{}
		o.seen[k] = s
	}
	return s
}

// Observe records the estimated wait of a reply.
func (o *Owners) Observe(now pimclock.Instant, node pimid.NodeID, c pimid.ContractID, wait time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.state(node, c)
	s.wait, s.at = wait, now
}

// Fail records that an owner did not answer; it is avoided for the given time.
func (o *Owners) Fail(now pimclock.Instant, node pimid.NodeID, c pimid.ContractID, avoid time.Duration) {
	o.Observe(now, node, c, avoid)
}

// Done ends a pending request.
func (o *Owners) Done(node pimid.NodeID, c pimid.ContractID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.seen[ownerKey{node, c}]; s != nil && s.pending > 0 {
		s.pending--
	}
}

// Sweep drops the estimates that are old.
func (o *Owners) Sweep(now pimclock.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k, s := range o.seen {
		if s.pending == 0 && now.Sub(s.at) > forgetOwner {
			delete(o.seen, k)
		}
	}
}
