package pimadmit

import (
	"math/rand/v2"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
)

// Kind says what a VM knows about the load of a candidate.
type Kind uint8

// The kinds of candidates.
const (
	// Own is a backend server of the VM's share; the VM knows how much of its share is filled.
	Own Kind = iota
	// Shared is another backend server of the data centre; the reports of the other VMs are up to some seconds old.
	Shared
	// Remote is a backend server of another data centre.
	Remote
	// Avoided is a backend server that has not answered recently; it is used only if there is no other.
	Avoided
	kindCount
)

// Rule is the rule that decided about a flow.
type Rule uint8

// The rules, in the order in which they are tried.
const (
	// OwnSlot places a flow on a free slot of the VM's own share.
	OwnSlot Rule = iota
	// SharedSlot places it on a backend server of another VM's share that seems to have a free slot.
	SharedSlot
	// OwnQueue lets it wait in the queue of a backend server of the own share.
	OwnQueue
	// SharedQueue lets it wait in the queue of another backend server of the data centre.
	SharedQueue
	// OtherDataCentre sends it to another data centre.
	OtherDataCentre
	// LastResort places it on a backend server that has not answered recently, since there is no other.
	LastResort
	// LaterCopy places a later copy of an opening packet regardless of the limits, since an earlier one may have been forwarded.
	LaterCopy
	// NoRoom refuses it.
	NoRoom
	// Expired refuses it because it would not be answered within its timeout.
	Expired
	// NoCandidate means that there is no backend server at all.
	NoCandidate
	ruleCount
)

var ruleNames = [ruleCount]string{
	"own_slot", "shared_slot", "own_queue", "shared_queue", "other_data_centre", "last_resort", "later_copy", "no_room", "expired",
	"no_candidate",
}

// String returns the name of the rule in logs and explanations.
func (r Rule) String() string { return ruleNames[r] }

// sharedSlotLoad is the reported load in requests per slot up to which another VM's backend server seems to have a free slot.
const sharedSlotLoad = 0.75

// Choice collects the candidates for one flow and keeps the best of each kind: those with room go before full ones, then the shortest wait
// decides, then the fewest open flows, of several equal ones a random one. Open flows do not count as load, since most of them may be idle
// for minutes.
type Choice struct {
	cfg Settings
	rng *rand.Rand
	// limit is the part of the places that the flow may help to fill.
	limit float64
	best  [kindCount]best
}

type best struct {
	host *pimcatalog.Host
	Use
	isFull bool
	// ties is the number of candidates with this use.
	ties int
}

// Use is what a candidate is used for at present.
type Use struct {
	// Fill decides whether there is room: the filled part of the share of an own backend server, the requests per slot of others.
	Fill float64
	// Wait orders the candidates of one kind. It depends on the speed, unlike Fill, since a queue holds the same number of requests at
	// any speed.
	Wait float64
	// Open is the number of open flows.
	Open float64
}

// NewChoice returns a choice, which is used after Reset.
func NewChoice(cfg Settings, rng *rand.Rand) *Choice { return &Choice{cfg: cfg, rng: rng} }

// Reset removes all candidates and begins a choice for a flow.
func (c *Choice) Reset(d *Demand) { c.best, c.limit = [kindCount]best{}, c.cfg.Limit(d) }

// Add adds a candidate, and reports whether it has no room for the flow.
func (c *Choice) Add(k Kind, h *pimcatalog.Host, u Use) (isFull bool) {
	b := &c.best[k]
	isFull = c.isFull(k, u.Fill)
	switch {
	case b.host == nil || b.isFull && !isFull || isFull == b.isFull && u.less(&b.Use):
		*b = best{host: h, Use: u, isFull: isFull, ties: 1}
	case isFull == b.isFull && u.Wait == b.Wait && u.Open == b.Open:
		if b.ties++; c.rng.IntN(b.ties) == 0 {
			b.host, b.Use = h, u
		}
	}
	return isFull
}

func (u *Use) less(other *Use) bool {
	return u.Wait < other.Wait || u.Wait == other.Wait && u.Open < other.Open
}

// sharedQueueLoad is the reported load in requests per slot up to which the most urgent flows wait at another VM's backend server. The
// reports are up to a second old and all VMs go by them, so a higher load overfills the queues in a burst.
const sharedQueueLoad = 1.5

// isFull reports whether a candidate of the own data centre has no room for the flow.
func (c *Choice) isFull(k Kind, fill float64) bool {
	switch k {
	case Own:
		return fill >= c.limit
	case Shared:
		return fill >= c.limit*sharedQueueLoad
	default:
		return false
	}
}

// OwnSlot returns an own backend server with a free slot, or nil. If there is one, no other candidates are needed.
func (c *Choice) OwnSlot() *pimcatalog.Host {
	if own := &c.best[Own]; own.host != nil && own.Fill < c.cfg.idleFill() {
		return own.host
	}
	return nil
}

// Decide chooses a backend server for the flow given to Reset; it returns nil with the rules NoRoom, Expired and NoCandidate. isRemoteOpen
// is set if the VM may send one more flow to another data centre.
func (c *Choice) Decide(d *Demand, isRemoteOpen bool) (h *pimcatalog.Host, r Rule) {
	own, shared, remote, avoided := &c.best[Own], &c.best[Shared], &c.best[Remote], &c.best[Avoided]
	hasHome := own.host != nil || shared.host != nil
	switch {
	case !hasHome && remote.host == nil && avoided.host == nil:
		return nil, NoCandidate
	case d.isExpired():
		return nil, Expired
	case c.OwnSlot() != nil:
		return own.host, OwnSlot
	case shared.host != nil && shared.Fill < sharedSlotLoad:
		return shared.host, SharedSlot
	case own.host != nil && !own.isFull:
		return own.host, OwnQueue
	case shared.host != nil && !shared.isFull:
		return shared.host, SharedQueue
	case remote.host != nil && (!hasHome || isRemoteOpen):
		return remote.host, OtherDataCentre
	case !hasHome && avoided.host != nil:
		return avoided.host, LastResort
	default:
		return nil, NoRoom
	}
}

// LeastLoaded returns the best backend server regardless of the limits, with the rule LaterCopy, or nil if there is no candidate.
func (c *Choice) LeastLoaded() (*pimcatalog.Host, Rule) {
	for _, b := range c.best {
		if b.host != nil {
			return b.host, LaterCopy
		}
	}
	return nil, NoCandidate
}
