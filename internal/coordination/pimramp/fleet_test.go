package pimramp_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimgossip"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimramp"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

var (
	seeds     = flag.Uint64("seeds", 40, "number of schedules")
	firstSeed = flag.Uint64("first", 0, "first seed")
)

// The simulated fleet.
const (
	step = 20 * time.Millisecond
	// updateInterval is the time between two updates of a limiter, as in pimentry.
	updateInterval = 200 * time.Millisecond
	// Two VMs that both run and cannot reach each other until they are removed are one of the cases outside of the rule.
	longestCut = 45 * time.Second
	// reunion is how long the VMs take to hear from each other again.
	reunion    = 15 * time.Second
	loss       = 0.01
	maxTransit = 15 * time.Millisecond
	overage    = 1.5
	slack      = 5
	perSecond  = 2
	limit      = 8
	hosts      = 6
)

// process is a VM of the fleet, with a clock of its own.
type process struct {
	name    string
	dc      pimid.DataCentre
	address netip.AddrPort
	mesh    *pimgossip.Mesh
	limiter *pimramp.Limiter
	// The clock of the VM shows offset at the start of the simulation, and runs rate times as fast.
	offset, rate float64
	updatedAt    pimclock.Instant
	// pausedUntil is the real time until which the VM does nothing; inbox holds the heartbeats that wait.
	pausedUntil time.Duration
	down        bool
	inbox       []delivery
	side        int
}

type delivery struct {
	at   time.Duration
	from int
	msg  pimgossip.Outgoing
}

func (p *process) clock(now time.Duration) pimclock.Instant {
	return pimclock.Instant(p.offset + p.rate*float64(now))
}

// sending is an opening packet as the backend server receives it.
type sending struct {
	at   time.Duration
	from string
}

// fleet is a group of VMs that all receive more opening packets than backend servers in slow start may get.
type fleet struct {
	rng     *rand.Rand
	now     time.Duration
	vms     []*process
	hosts   []*pimcatalog.Host
	sent    map[pimcatalog.HostID][]sending
	started int
	// cutAt and healAt are when the present or last cut begins and ends, restartedAt when the last VM has started again.
	cutAt, healAt, restartedAt time.Duration
	log                        []string
	settle                     time.Duration
}

func newFleet(seed uint64, n int, dcs ...pimid.DataCentre) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 11)), sent: map[pimcatalog.HostID][]sending{}, settle: pimramp.DefaultSettle}
	for i := range hosts {
		f.hosts = append(f.hosts, &pimcatalog.Host{ID: pimcatalog.HostID(f.rng.Uint64()), DataCentre: dcs[i%len(dcs)]})
	}
	for i := range n {
		f.vms = append(f.vms, &process{dc: dcs[i%len(dcs)], address: address(i)})
		f.start(i, fmt.Sprintf("vm-%d", i))
	}
	return f
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7720)
}

// start starts a process without memory at an address.
func (f *fleet) start(i int, name string) {
	p := f.vms[i]
	cfg := pimgossip.DefaultSettings(3 * time.Second)
	cfg.Name, cfg.DataCentre, cfg.Address = name, p.dc, p.address
	cfg.Seeds = []netip.AddrPort{address(0), address(1)}
	f.started++
	*p = process{
		name: name, dc: p.dc, address: p.address, side: p.side,
		mesh:   pimgossip.New(cfg, rand.New(rand.NewPCG(f.rng.Uint64(), 1))),
		offset: float64(time.Hour) * (1 + f.rng.Float64()), rate: 1 + 0.001*(f.rng.Float64()-0.5),
		limiter: pimramp.New(pimramp.Settings{
			Name: name, DataCentre: p.dc, Overage: overage, Slack: slack, Settle: f.settle,
		}),
	}
}

// run advances the time by d. All VMs send as much as they may, which is the most that any number of callers can cause.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		for i, p := range f.vms {
			if p.down || f.now < p.pausedUntil {
				continue
			}
			f.runVM(i, p)
		}
	}
}

func (f *fleet) runVM(i int, p *process) {
	now := p.clock(f.now)
	if p.updatedAt == 0 || now.Sub(p.updatedAt) >= updateInterval {
		p.updatedAt = now
		p.limiter.Update(now, p.mesh.Membership(now))
	}
	for _, h := range f.hosts {
		for p.limiter.Allows(now, h, perSecond) {
			p.limiter.Record(now, h.ID)
			transit := time.Duration(f.rng.Int64N(int64(maxTransit)))
			f.sent[h.ID] = append(f.sent[h.ID], sending{at: f.now + transit, from: p.name})
		}
	}
	waiting := p.inbox
	p.inbox = nil
	for _, d := range waiting {
		if d.at > f.now {
			p.inbox = append(p.inbox, d)
			continue
		}
		f.send(i, p.mesh.Receive(now, d.msg.Message.Heartbeat, pimgossip.View{Revision: 1}).Out)
	}
	f.send(i, p.mesh.Tick(now, pimgossip.View{Revision: 1}))
}

// send passes on the heartbeats that are not lost; those to a VM that is down are.
func (f *fleet) send(from int, out []pimgossip.Outgoing) {
	for _, o := range out {
		for _, p := range f.vms {
			if p.address != o.To || p.down || o.Message.Heartbeat == nil || f.rng.Float64() < loss {
				continue
			}
			if f.vms[from].side != p.side && f.now < f.healAt {
				continue
			}
			at := f.now + time.Duration(f.rng.Int64N(int64(maxTransit)))
			p.inbox = append(p.inbox, delivery{at: at, from: from, msg: o})
		}
	}
}

func (f *fleet) note(format string, args ...any) {
	f.log = append(f.log, fmt.Sprintf("%7.2f ", f.now.Seconds())+fmt.Sprintf(format, args...))
}

// violation describes the first second in which a backend server got more than the limit.
func (f *fleet) violation() string {
	for _, h := range f.hosts {
		sent := f.sent[h.ID]
		slices.SortFunc(sent, func(a, b sending) int { return int(a.at - b.at) })
		for i := range sent {
			if i >= limit && sent[i].at-sent[i-limit].at <= time.Second {
				return fmt.Sprintf("%d packets to %x until %v: %v", limit+1, h.ID, sent[i].at, sent[i-limit:i+1])
			}
		}
	}
	return ""
}

// total returns the number of all opening packets since an instant.
func (f *fleet) total(since time.Duration) (n int) {
	for _, sent := range f.sent {
		for _, s := range sent {
			if s.at >= since {
				n++
			}
		}
	}
	return n
}

// split cuts the VMs into two sides for a time.
func (f *fleet) split(d time.Duration, side func(i int) int) {
	f.cutAt, f.healAt = f.now, f.now+d
	for i, p := range f.vms {
		p.side = side(i)
	}
	f.note("split for %v", d)
}

// kill ends a VM and starts it again after a time, maybe under another name.
func (f *fleet) kill(i int, d time.Duration, name string) {
	f.vms[i].down = true
	f.note("kill %s, after %v start %s", f.vms[i].name, d, name)
	f.run(d)
	f.start(i, name)
	f.restartedAt = f.now
}

// event lets something random happen and takes a random time.
func (f *fleet) event() {
	i := f.rng.IntN(len(f.vms))
	d := time.Duration(f.rng.Int64N(int64(longestCut)))
	if f.rng.IntN(2) == 0 {
		d /= 20
	}
	// A VM that cannot be reached for several reasons in a row may be removed by others. So a cut begins only when all have heard
	// from each other again after the last cut and the last pauses.
	mayCut := f.now >= max(f.healAt, f.restartedAt)+reunion
	// If all VMs of a side start again during a cut, nobody there remembers the others.
	mayKill := f.now >= f.healAt || f.restartedAt < f.cutAt
	for _, p := range f.vms {
		mayCut = mayCut && f.now >= p.pausedUntil+reunion
	}
	switch n := f.rng.IntN(7); {
	case n == 0 && len(f.vms) < 9:
		j := len(f.vms)
		f.vms = append(f.vms, &process{dc: f.vms[i].dc, address: address(j), side: f.vms[i].side})
		f.start(j, fmt.Sprintf("vm-%d", j))
		f.note("join vm-%d beside %s", j, f.vms[i].name)
	case n == 1 && mayKill:
		f.kill(i, d, f.vms[i].name)
	case n == 2 && mayKill:
		f.kill(i, d/50, fmt.Sprintf("%s-%d", f.vms[i].name, f.started))
	case n == 3:
		f.vms[i].pausedUntil = f.now + d
		f.note("pause %s for %v", f.vms[i].name, d)
	case n == 4 && mayCut:
		f.split(d, func(j int) int { return min(1, max(0, 1-max(i-j, j-i))) })
		f.note("cut off %s", f.vms[i].name)
	case n == 5 && mayCut:
		f.split(d, func(int) int { return f.rng.IntN(2) })
	case n == 6:
		f.vms[i].pausedUntil = f.now + 2*longestCut // longer than any VM is known
		f.note("pause %s for %v", f.vms[i].name, 2*longestCut)
	}
	gap := 12 * time.Second
	if f.rng.IntN(2) == 0 {
		gap = time.Second
	}
	f.run(time.Duration(f.rng.Int64N(int64(gap))))
	if f.now < f.healAt && f.rng.IntN(3) == 0 {
		f.run(f.healAt - f.now)
	}
}

// Guards against any order of starts, restarts, replacements, pauses and cuts in which all VMs together send a backend server more
// than the limit in a second.
func TestSumOfAllVMsStaysWithinTheLimit(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		dcs := []pimid.DataCentre{"ikeja"}
		if seed%4 == 3 {
			dcs = append(dcs, "apapa")
		}
		f := newFleet(seed, 2+int(seed%5), dcs...)
		f.run(25 * time.Second)
		if f.total(0) == 0 {
			t.Fatalf("seed %d: nothing was sent", seed)
		}
		for range 10 {
			f.event()
		}
		if v := f.violation(); v != "" {
			t.Errorf("seed %d: %s", seed, v)
			for _, line := range f.log {
				t.Log(line)
			}
		}
		f.run(3 * longestCut)
		before := f.now - 2*time.Second
		for _, h := range f.hosts {
			if n := len(f.sent[h.ID]); n == 0 || f.sent[h.ID][n-1].at < before {
				t.Errorf("seed %d: nothing is sent to %x in the end", seed, h.ID)
			}
		}
	}
}
