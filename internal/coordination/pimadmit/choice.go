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

// Choice collects the candidates for one flow and keeps the least loaded of each kind; of equal ones that with the fewest open flows, of
// several of those a random one. Open flows do not count as load, since most of them may be idle for minutes.
type Choice struct {
	cfg  Settings
	rng  *rand.Rand
	best [kindCount]best
}

type best struct {
	host *pimcatalog.Host
	load float64
	open float64
	// ties is the number of candidates with this load and number of open flows.
	ties int
}

// NewChoice returns an empty choice, which can be used again after Reset.
func NewChoice(cfg Settings, rng *rand.Rand) *Choice { return &Choice{cfg: cfg, rng: rng} }

// Reset removes all candidates.
func (c *Choice) Reset() { c.best = [kindCount]best{} }

// Add adds a candidate with a number of open flows. The load of an own backend server is the filled part of the share, that of others
// the requests per slot.
func (c *Choice) Add(k Kind, h *pimcatalog.Host, load, open float64) {
	b := &c.best[k]
	switch {
	case b.host == nil || load < b.load || load == b.load && open < b.open:
		*b = best{host: h, load: load, open: open, ties: 1}
	case load == b.load && open == b.open:
		if b.ties++; c.rng.IntN(b.ties) == 0 {
			b.host = h
		}
	}
}

// OwnSlot returns an own backend server with a free slot, or nil. If there is one, no other candidates are needed.
func (c *Choice) OwnSlot() *pimcatalog.Host {
	if own := &c.best[Own]; own.host != nil && own.load < c.cfg.idleFill() {
		return own.host
	}
	return nil
}

// Decide chooses a backend server for a flow; it returns nil with the rules NoRoom, Expired and NoCandidate. isRemoteOpen is set if the VM may send
// one more flow to another data centre.
func (c *Choice) Decide(d *Demand, isRemoteOpen bool) (h *pimcatalog.Host, r Rule) {
	own, shared, remote, avoided := &c.best[Own], &c.best[Shared], &c.best[Remote], &c.best[Avoided]
	limit := c.cfg.Limit(d)
	hasHome := own.host != nil || shared.host != nil
	switch {
	case !hasHome && remote.host == nil && avoided.host == nil:
		return nil, NoCandidate
	case d.isExpired():
		return nil, Expired
	case c.OwnSlot() != nil:
		return own.host, OwnSlot
	case shared.host != nil && shared.load < sharedSlotLoad:
		return shared.host, SharedSlot
	case own.host != nil && own.load < limit:
		return own.host, OwnQueue
	case shared.host != nil && shared.load < limit/c.cfg.idleFill()/2:
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
