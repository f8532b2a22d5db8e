package pimramp

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimgossip"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// DefaultSettle is the default of Settings.Settle. It exceeds the second in which opening packets count, so that a VM without
// memory of what it sent, or another one, is not followed too early; a VM that starts is known to the others within a second.
const DefaultSettle = 3 * time.Second

// window is the time in which opening packets count: the second of the limit, and a margin for clocks that run fast (1 ms) and for
// different transit times within a data centre.
const window = time.Second + 20*time.Millisecond

// maxUpdateAge is the age from which the membership is not used any more: this VM was paused, or does not keep up.
const maxUpdateAge = time.Second

// maxAllowance bounds an allowance, so that a wrong value in the configuration does not overflow.
const maxAllowance = 1 << 20

// Settings describe this VM and the limits of backend servers in slow start.
type Settings struct {
	// Name and DataCentre are those of this VM.
	Name       string
	DataCentre pimid.DataCentre
	// A backend server that can handle n requests a second during its slow start gets at most n*Overage+Slack opening packets in
	// any second.
	Overage, Slack float64
	// Settle is how long a VM must have known all others before it sends to backend servers in slow start.
	Settle time.Duration
}

// Limiter decides whether a backend server in slow start may get an opening packet from this VM; it is safe for concurrent use.
type Limiter struct {
	cfg Settings

	mu sync.Mutex
	// updatedAt is when the membership was last updated, resumedAt when the updates began, or began again after a gap.
	updatedAt, resumedAt pimclock.Instant
	// listedAt holds when each other VM was last listed, vms those that count.
	listedAt map[string]pimclock.Instant
	vms      []vm
	// settled is set once this VM may own backend servers.
	settled bool
	// owned caches whether this VM is the first of vms for a backend server.
	owned map[pimcatalog.HostID]bool
	// sent holds the instants of the opening packets of the last window.
	sent map[pimcatalog.HostID][]pimclock.Instant
}

// New returns a limiter that allows nothing before the membership was updated.
func New(cfg Settings) *Limiter {
	return &Limiter{
		cfg: cfg, listedAt: map[string]pimclock.Instant{}, owned: map[pimcatalog.HostID]bool{},
		sent: map[pimcatalog.HostID][]pimclock.Instant{},
	}
}

// Update replaces the membership; it must be called several times within maxUpdateAge.
func (l *Limiter) Update(now pimclock.Instant, m pimgossip.Membership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isOutdated(now) {
		l.resumedAt, l.settled = now, false
	}
	l.updatedAt = now
	l.list(now, m.Members)
	switch {
	case min(m.RunningFor, now.Sub(l.resumedAt)) < l.cfg.Settle:
		l.settled = false
	case !l.settled:
		// The others have known this VM for at least as long, since a heartbeat is sent only to known VMs.
		isNew := func(o pimgossip.Member) bool { return o.KnownFor < l.cfg.Settle }
		l.settled = !m.Incomplete && !slices.ContainsFunc(m.Members, isNew)
	}
	for id := range l.sent {
		l.expire(now, id)
	}
}

// list records the present members. One that is not listed any more counts for another Settle, since a VM that was replaced under
// another name may have sent something just before.
func (l *Limiter) list(now pimclock.Instant, members []pimgossip.Member) {
	for _, o := range members {
		l.listedAt[o.Name] = now
	}
	names := []string{l.cfg.Name}
	for name, at := range l.listedAt {
		if now.Sub(at) > l.cfg.Settle {
			delete(l.listedAt, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	if !slices.EqualFunc(names, l.vms, func(name string, v vm) bool { return name == v.name }) {
		l.vms = newVMs(names)
		clear(l.owned)
	}
}

func (l *Limiter) isOutdated(now pimclock.Instant) bool {
	return l.updatedAt == 0 || now.Sub(l.updatedAt) > maxUpdateAge
}

// Owns reports whether this VM is the one that may send to a backend server while it is in slow start.
func (l *Limiter) Owns(now pimclock.Instant, h *pimcatalog.Host) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owns(now, h)
}

func (l *Limiter) owns(now pimclock.Instant, h *pimcatalog.Host) bool {
	if h.DataCentre != l.cfg.DataCentre || !l.settled || l.isOutdated(now) {
		return false
	}
	isOwned, ok := l.owned[h.ID]
	if !ok {
		if len(l.owned) >= maxOwned {
			clear(l.owned)
		}
		isOwned = l.isFirst(h.ID)
		l.owned[h.ID] = isOwned
	}
	return isOwned
}

// Allows reports whether an opening packet may be sent to a backend server in slow start that can handle perSecond requests a
// second.
func (l *Limiter) Allows(now pimclock.Instant, h *pimcatalog.Host, perSecond float64) bool {
	return l.AllowsWithin(now, h, perSecond, 0)
}

// AllowsWithin reports whether an opening packet may be sent now or, if no other one is sent, after the given time.
func (l *Limiter) AllowsWithin(now pimclock.Instant, h *pimcatalog.Host, perSecond float64, d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.owns(now, h) {
		return false
	}
	l.expire(now, h.ID)
	sent, allowance := l.sent[h.ID], l.cfg.allowance(perSecond)
	switch {
	case allowance == 0:
		return false
	case len(sent) < allowance:
		return true
	default:
		return now.Add(d).Sub(sent[len(sent)-allowance]) > window
	}
}

// Record records an opening packet; it must be called before the packet is sent.
func (l *Limiter) Record(now pimclock.Instant, id pimcatalog.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = append(l.sent[id], now)
}

// expire removes the packets that do not count any more.
func (l *Limiter) expire(now pimclock.Instant, id pimcatalog.HostID) {
	sent := l.sent[id]
	n := 0
	for n < len(sent) && now.Sub(sent[n]) > window {
		n++
	}
	switch {
	case n == 0:
	case n == len(sent):
		delete(l.sent, id)
	default:
		l.sent[id] = slices.Delete(sent, 0, n)
	}
}

// allowance returns how many opening packets may be sent in a window. One is held in reserve if there are several, since packets
// may arrive closer together than they were sent.
func (s *Settings) allowance(perSecond float64) int {
	if math.IsNaN(perSecond) || perSecond < 0 {
		perSecond = 0
	}
	n := int(min(maxAllowance, math.Floor(perSecond*s.Overage+s.Slack)))
	if n > 1 {
		return n - 1
	}
	return max(0, n)
}
