package pimroute

import (
	"sync"
	"sync/atomic"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/samber/oops"
)

// Router decides what one VM does with each packet.
type Router struct {
	cfg Config
	// current is replaced as a whole, so each decision uses one consistent view with its keys.
	current atomic.Pointer[snapshot]
	// successor is set once this VM has stopped accepting POST requests.
	successor atomic.Pointer[Home]
	// nextFlow is the counter for the flow ids of this incarnation, so that no two tokens of one home share request
	// records.
	nextFlow  atomic.Uint64
	newerPeer atomic.Pointer[newerPeerCache]
	counts    [ruleCount]atomic.Uint64
	// update serialises Update and Confirm.
	update sync.Mutex
}

// New returns a router without a view, which refuses all packets until the first Update.
func New(cfg Config) *Router {
	r := &Router{cfg: cfg}
	r.nextFlow.Store(cfg.Rand.Uint64())
	return r
}

// Update replaces the view; unixNow is the current time in unix seconds. It returns an error and keeps the old view if
// a key is invalid. It ignores a view whose revision is not above the current one, so a repeated Update with the
// current view does not confirm it.
func (r *Router) Update(unixNow int64, v *pimview.View) (err error) {
	defer func() { err = oops.In("pimroute").With("revision", v.Revision).Wrapf(err, "update the view") }()

	r.update.Lock()
	defer r.update.Unlock()
	old := r.current.Load()
	if old != nil && v.Revision <= old.view.Revision {
		return nil
	}
	s, err := newSnapshot(r.cfg.Keys, old, v, unixNow)
	if err != nil {
		return err
	}
	r.current.Store(s)
	return nil
}

// Confirm records that the current view was still the newest one at unixNow, in unix seconds. It must be called at
// least every few seconds while the revision equals the newest announced one. If the view was not confirmed for 15 s,
// the router relays flow packets to a peer with a newer view, if there is one. A backend server that is missing from
// the view counts as gone only if an earlier view had it, or if the view was confirmed more than 15 s after the token
// was issued.
func (r *Router) Confirm(unixNow int64) {
	r.update.Lock()
	defer r.update.Unlock()
	old := r.current.Load()
	if old == nil || unixNow <= old.confirmedAt {
		return
	}
	s := *old
	s.confirmedAt = unixNow
	r.current.Store(&s)
}

// Stop makes the router issue tokens with the successor as home and relay the POST requests of this VM to it. It must
// be called only after this VM has permanently stopped accepting requests and has handed over its request records.
func (r *Router) Stop(successor Home) { r.successor.Store(&successor) }

// Revision returns the revision of the current view, or zero if there is none.
func (r *Router) Revision() pimid.Revision {
	if s := r.current.Load(); s != nil {
		return s.view.Revision
	}
	return 0
}

// Count returns the number of packets decided by a rule. RuleEstablished is not counted, since a counter shared by all
// cores would slow down established flows; the transport counts forwarded packets instead.
func (r *Router) Count(rule Rule) uint64 { return r.counts[rule].Load() }

// Rules returns all rules, for metrics.
func Rules() []Rule {
	rules := make([]Rule, ruleCount)
	for i := range rules {
		rules[i] = Rule(i)
	}
	return rules
}

// Route decides about one packet and writes the decision to a. It takes the monotonic time now and the wall clock time
// unixNow, in unix seconds.
func (r *Router) Route(now pimclock.Instant, unixNow int64, p *pimedge.Packet, a *Action) {
	a.reset()
	s := r.current.Load()
	if s == nil {
		refuse(a, p, RuleNoView, pimedge.ReasonViewBehind, viewBehindRetryAfter)
	} else {
		d := decision{r: r, s: s, now: now, unixNow: unixNow, p: p, a: a}
		d.decide()
	}
	if a.Rule != RuleEstablished {
		r.counts[a.Rule].Add(1)
	}
}
