package pimgossip

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// vm is a VM of the test fleet: a mesh and the revision and age of its view.
type vm struct {
	mesh     *Mesh
	address  netip.AddrPort
	revision pimid.Revision
	asOf     pimclock.Instant
	// A VM that is down neither sends nor receives; one that is cutOff cannot read the platform, and its calls get no answer if
	// the platform hangs.
	down, cutOff bool
	reads        int
	// After failures reads in a row, the next one is at retryAt or later.
	failures int
	retryAt  pimclock.Instant
	// watchUntil is when the pending watch ends at the latest; 0 if there is none.
	watchUntil pimclock.Instant
	bytes      int
	// base is the revision of the last complete list, received the number of changes that other VMs have sent.
	base     pimid.Revision
	received int
}

// fleet is a group of VMs whose platform publishes one revision after the other.
type fleet struct {
	t        *testing.T
	rng      *rand.Rand
	now      pimclock.Instant
	vms      []*vm
	at       map[netip.AddrPort]*vm
	revision pimid.Revision
	// compacted is the revision up to which the platform has discarded its history.
	compacted pimid.Revision
	// loss is the share of messages that are lost; blocked reports whether messages from one VM to another are dropped.
	loss float64
	// hangs is set if calls of VMs that are cut off get no answer instead of an error.
	hangs   bool
	blocked func(from, to *vm) bool
	// answerTime is how long the answer to a pull takes; answers holds those in transit.
	answerTime time.Duration
	answers    []answer
	// busy is the load that each data centre reports to the others, in hundredths; summaries counts the reports between two data
	// centres, and summaryBytes is the size of the last one.
	busy         map[pimid.DataCentre]int
	summaries    map[[2]pimid.DataCentre]int
	summaryBytes int
}

// answer is the answer of a VM to a pull.
type answer struct {
	at       pimclock.Instant
	to       *vm
	revision pimid.Revision
	// base is that of the sender, if the answer holds its full state; zero for changes.
	base pimid.Revision
}

const step = 10 * time.Millisecond

func newFleet(t *testing.T, n int, within time.Duration, seed uint64) *fleet {
	t.Helper()
	return newRegion(t, []pimid.DataCentre{"ikeja"}, n, within, seed)
}

// newRegion returns n VMs, assigned to the data centres in turn; the seeds are VMs of the first data centre.
func newRegion(t *testing.T, dataCentres []pimid.DataCentre, n int, within time.Duration, seed uint64) *fleet {
	t.Helper()
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: pimclock.Instant(time.Hour), revision: 1, at: map[netip.AddrPort]*vm{}}
	for i := range n {
		cfg := DefaultSettings(within)
		cfg.Name, cfg.DataCentre = fmt.Sprintf("vm-%d", i), dataCentres[i%len(dataCentres)]
		cfg.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7720)
		for j := range min(3, n) {
			seed := byte(j * len(dataCentres))
			cfg.Seeds = append(cfg.Seeds, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, seed}), 7720))
		}
		f.vms = append(f.vms, &vm{
			mesh: New(cfg, rand.New(rand.NewPCG(seed, uint64(i)))), address: cfg.Address, revision: 1, asOf: f.now,
		})
		f.at[cfg.Address] = f.vms[i]
	}
	return f
}

// startAgain starts a VM that was down, which lists the platform.
func (f *fleet) startAgain(v *vm) {
	cfg := v.mesh.cfg
	*v = vm{mesh: New(cfg, rand.New(rand.NewPCG(f.rng.Uint64(), 1))), address: v.address, revision: f.revision, base: f.revision, asOf: f.now, reads: v.reads + 1}
}

func (f *fleet) view(v *vm) View {
	const config = 1 // each view has a configuration
	view := View{Revision: v.revision, Base: v.base, Config: config, Age: f.now.Sub(v.asOf), ServicesAt: f.now}
	if busy, ok := f.busy[v.mesh.cfg.DataCentre]; ok {
		view.Services = []pimmesh.ServiceLoad{{DataCentre: v.mesh.cfg.DataCentre, Service: "desk", Hosts: 3, Busy: busy}}
	}
	return view
}

// run advances the time by d in steps.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.deliverAnswers()
		for _, v := range f.vms {
			if v.down {
				continue
			}
			f.deliver(v, v.mesh.Tick(f.now, f.view(v)))
			f.read(v)
		}
	}
}

// read lets a VM watch the platform if it should read it.
func (f *fleet) read(v *vm) {
	if v.watchUntil != 0 {
		if f.now.Before(v.watchUntil) && (v.cutOff || v.revision == f.revision) {
			return
		}
		v.watchUntil = 0
		v.mesh.SetCanRead(!v.cutOff)
		if v.cutOff {
			v.retryAt = f.now.Add(f.retryDelay(v))
			v.failures++
			return
		}
		v.asOf, v.failures = f.now, 0
		if v.revision < f.compacted { // the platform is listed
			v.reads++
			v.base = f.revision
		}
		f.setRevision(v, f.revision)
		return
	}
	if f.now.Before(v.retryAt) || !v.mesh.ShouldRead(f.now, f.now.Sub(v.asOf)) {
		return
	}
	v.reads++
	v.watchUntil = f.now.Add(max(step, v.mesh.WatchTimeout(f.now.Sub(v.asOf))))
	if f.hangs && v.cutOff {
		const timeout = time.Second
		v.watchUntil = v.watchUntil.Add(timeout)
	}
}

// retryDelay returns the delay after a failed read, as pimfollow.Backoff does.
func (f *fleet) retryDelay(v *vm) time.Duration {
	const shortest, longest = 100 * time.Millisecond, 800 * time.Millisecond
	ceiling := float64(min(shortest<<min(v.failures, 10), longest)) * v.mesh.RetryScale(f.now)
	return shortest + time.Duration(f.rng.Float64()*(ceiling-float64(shortest)))
}

// setRevision moves a VM to a newer revision, which it announces; older revisions are ignored.
func (f *fleet) setRevision(v *vm, revision pimid.Revision) {
	if revision > v.revision {
		v.revision = revision
		f.deliver(v, v.mesh.Announce(f.now, f.view(v), false))
	}
}

func (f *fleet) deliver(from *vm, out []Outgoing) {
	for _, o := range out {
		data, err := pimmesh.Encode(&o.Message)
		if err != nil {
			f.t.Fatal(err)
		}
		from.bytes += len(data)
		to := f.at[o.To]
		if o.Message.Summary != nil && f.summaries != nil {
			f.summaries[[2]pimid.DataCentre{from.mesh.cfg.DataCentre, to.mesh.cfg.DataCentre}]++
			f.summaryBytes = len(data)
		}
		if to == nil || to.down || f.rng.Float64() < f.loss || f.blocked != nil && f.blocked(from, to) {
			continue
		}
		f.receive(from, to, o.Message)
	}
}

func (f *fleet) receive(from, to *vm, msg pimmesh.Message) {
	switch {
	case msg.Heartbeat != nil:
		result := to.mesh.Receive(f.now, msg.Heartbeat, f.view(to))
		if result.Confirms {
			to.asOf = max(to.asOf, result.AsOf)
		}
		f.deliver(to, result.Out)
	case msg.Summary != nil:
		to.mesh.ReceiveSummary(f.now, msg.Summary)
	case msg.Pull != nil:
		answerLost := f.blocked != nil && f.blocked(to, from)
		if to.revision > msg.Pull.Since && !answerLost {
			f.answerPull(to, from, msg.Pull.Since)
		}
	}
}

// answerPull lets one VM answer the pull of another; a VM whose list is newer than the pulled revision sends its full
// state.
func (f *fleet) answerPull(from, to *vm, since pimid.Revision) {
	if since < from.base {
		since = 0
	}
	to.received += int(from.revision - since)
	a := answer{at: f.now.Add(f.answerTime), to: to, revision: from.revision}
	if since == 0 {
		a.base = from.base
	}
	f.answers = append(f.answers, a)
	f.deliverAnswers()
}

// deliverAnswers delivers the answers that are due.
func (f *fleet) deliverAnswers() {
	for len(f.answers) > 0 && !f.now.Before(f.answers[0].at) {
		a := f.answers[0]
		f.answers = f.answers[1:]
		a.to.base = max(a.to.base, a.base)
		f.setRevision(a.to, a.revision)
	}
}

// publish publishes a revision and returns the time until all running VMs have it, or limit if that takes longer.
func (f *fleet) publish(limit time.Duration) (slowest time.Duration) {
	f.revision++
	start := f.now
	for f.now.Sub(start) < limit {
		f.run(step)
		behind := 0
		for _, v := range f.vms {
			if !v.down && v.revision < f.revision {
				behind++
			}
		}
		if behind == 0 {
			return f.now.Sub(start)
		}
	}
	return limit
}

// setPlatformAway lets all reads of the platform fail, at once or without an answer, or succeed again.
func (f *fleet) setPlatformAway(away, hangs bool) {
	f.hangs = hangs
	for _, v := range f.vms {
		v.cutOff = away
	}
}

func (f *fleet) totalReads() (n int) {
	for _, v := range f.vms {
		n += v.reads
	}
	return n
}

func (f *fleet) reader() *vm {
	for _, v := range f.vms {
		if !v.down && v.mesh.IsReader() {
			return v
		}
	}
	return nil
}

func (f *fleet) readers() (n int) {
	for _, v := range f.vms {
		if !v.down && v.mesh.IsReader() {
			n++
		}
	}
	return n
}

// inForceWithin is the bound of the smallest deployment: a change is in force everywhere within 3 s.
const inForceWithin = 3 * time.Second

// Guards against a fleet in which several VMs read the platform, or none.
func TestOneVMReads(t *testing.T) {
	// Deployments with large data centres allow more time. The largest is measured for a shorter time, since it is slow to
	// simulate.
	for n, within := range map[int]time.Duration{
		2: inForceWithin, 3: inForceWithin, 8: inForceWithin, 30: 5 * time.Second, 100: 5 * time.Second, 380: 5 * time.Second,
	} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			measured := 30 * time.Second
			if n > 100 {
				measured = 10 * time.Second
			}
			f := newFleet(t, n, within, 1)
			f.run(2 * within)
			is.Equal(f.readers(), 1)
			for _, v := range f.vms {
				v.reads, v.bytes = 0, 0
			}
			f.run(measured)
			reads, bytes := 0, 0
			for _, v := range f.vms {
				reads += v.reads
				bytes = max(bytes, v.bytes)
			}
			t.Logf("%d VMs: %d reads in %v, at most %d bytes a second from a VM", n, reads, measured, bytes/int(measured/time.Second))
			const takeovers = 3
			is.True(reads <= int(measured/DefaultSettings(within).WatchTimeout)+takeovers)
			is.True(bytes/int(measured/time.Second) <= 5*1000) // control traffic of a VM in bytes per second
			is.True(f.publish(inForceWithin) < time.Second)
		})
	}
}

// Guards against a change that does not arrive in time because the reader fails just before: it is killed, or cut off
// from the platform or from the other VMs, in one direction or both, or the network splits the VMs in halves.
func TestChangesArriveInTimeWhenTheReaderFails(t *testing.T) {
	faults := map[string]func(f *fleet, reader *vm){
		"killed":         func(_ *fleet, r *vm) { r.down = true },
		"cut off":        func(_ *fleet, r *vm) { r.cutOff = true },
		"cannot send":    func(f *fleet, r *vm) { f.blocked = func(from, _ *vm) bool { return from == r } },
		"cannot receive": func(f *fleet, r *vm) { f.blocked = func(_, to *vm) bool { return to == r } },
		"alone":          func(f *fleet, r *vm) { f.blocked = func(from, to *vm) bool { return from == r || to == r } },
		"split in halves": func(f *fleet, _ *vm) {
			f.blocked = func(from, to *vm) bool { return (from.address.Addr().As4()[3]^to.address.Addr().As4()[3])&1 == 1 }
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				f := newFleet(t, []int{2, 3, 8, 30}[seed%4], inForceWithin, seed)
				f.loss = 0.02
				f.run(5*time.Second + time.Duration(f.rng.IntN(1500))*time.Millisecond)
				fault(f, f.reader())
				if took := f.publish(inForceWithin); took >= inForceWithin {
					t.Fatalf("seed %d: a change is not in force after %v", seed, took)
				}
			}
		})
	}
}

// Guards against a planned stop of the reader after which the other VMs learn of no change until one of them takes over because
// its view is old: flows that move to them meanwhile wait for backend servers that they do not know.
func TestReaderThatStopsHandsOver(t *testing.T) {
	for _, n := range []int{2, 3, 8, 30} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			const linger = 1600 * time.Millisecond
			for seed := range uint64(3) {
				f := newFleet(t, n, inForceWithin, seed)
				f.run(5*time.Second + time.Duration(f.rng.IntN(1500))*time.Millisecond)
				for range 2 * n {
					stopped := f.reader()
					f.deliver(stopped, stopped.mesh.Announce(f.now, f.view(stopped), true))
					f.run(linger)
					stopped.down = true
					is.True(f.publish(inForceWithin) < time.Second)
					f.startAgain(stopped)
					f.run(2 * time.Second)
					is.Equal(f.readers(), 1)
				}
			}
		})
	}
}

// Guards against a reader that stops because another VM claims to read whose first read still takes seconds: with large
// configurations, changes then arrived twice that late.
func TestVMClaimsNothingBeforeItsViewIsCurrent(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, inForceWithin, 1)
	f.run(time.Second)
	slow := f.vms[0]
	hasClaim := func() bool {
		out := slow.mesh.Announce(f.now, f.view(slow), false)
		is.Equal(len(out), 1)
		return out[0].Message.Heartbeat.Claim != nil
	}
	slow.asOf = f.now.Add(-inForceWithin)
	is.True(slow.mesh.ShouldRead(f.now, f.now.Sub(slow.asOf)))
	is.True(!hasClaim())
	slow.asOf = f.now // the read has succeeded
	is.True(slow.mesh.ShouldRead(f.now, 0))
	is.True(hasClaim())
}

// Guards against other VMs that take over because the view of the reader, which was old already after a large response, gets
// older still while the platform holds the next watch.
func TestWatchEndsBeforeTheViewIsTooOld(t *testing.T) {
	is := is.New(t)
	cfg := DefaultSettings(inForceWithin)
	m := New(cfg, rand.New(rand.NewPCG(1, 1)))
	for age := time.Duration(0); age < 2*inForceWithin; age += 50 * time.Millisecond {
		hold := m.WatchTimeout(age)
		is.True(hold > 0)
		is.True(age+hold <= max(cfg.WatchTimeout, age+time.Millisecond))
	}
	is.Equal(m.WatchTimeout(0), cfg.WatchTimeout)
}

// Guards against a fleet that gets no new reader when readers fail one after the other, or that keeps several.
func TestSuccessiveReaderFailures(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		f := newFleet(t, 30, 5*time.Second, seed)
		f.run(10 * time.Second)
		for range 10 {
			f.reader().down = true
			is.True(f.publish(5*time.Second) < 5*time.Second)
			f.run(4 * time.Second)
			is.Equal(f.readers(), 1)
		}
		for _, v := range f.vms {
			v.down = false
		}
		f.run(15 * time.Second)
		is.Equal(f.readers(), 1)
	}
}

// Guards against a data centre whose VMs all read the platform at once when the reader has failed, and against one whose VMs all
// call it again and again while it is away: the platform charges for each call and answers a limited number.
func TestFewVMsReadAfterAFailure(t *testing.T) {
	const within, vms, away = 6 * time.Second, 60, 8 * time.Second
	for name, tc := range map[string]struct {
		fail, end func(f *fleet)
		most      int
	}{
		"reader killed": {
			fail: func(f *fleet) { f.reader().down = true }, end: func(*fleet) {}, most: vms / 4,
		},
		"reader killed, history discarded": {
			fail: func(f *fleet) {
				f.reader().down = true
				f.revision++
				f.compacted = f.revision
			},
			end: func(*fleet) {}, most: vms / 2,
		},
		"platform away": {
			fail: func(f *fleet) { f.setPlatformAway(true, false) }, end: func(f *fleet) { f.setPlatformAway(false, false) }, most: 4 * vms,
		},
		"platform hangs": {
			fail: func(f *fleet) { f.setPlatformAway(true, true) }, end: func(f *fleet) { f.setPlatformAway(false, false) }, most: 4 * vms,
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				f := newFleet(t, vms, within, seed)
				f.run(3 * within)
				tc.fail(f)
				before := f.totalReads()
				f.run(away)
				tc.end(f)
				if took := f.publish(within); took >= within {
					t.Errorf("seed %d: a change is not in force after %v", seed, took)
				}
				f.run(within)
				reads := f.totalReads() - before
				t.Logf("seed %d: %d reads", seed, reads)
				if reads > tc.most {
					t.Errorf("seed %d: %d reads", seed, reads)
				}
			}
		})
	}
}

// Guards against VMs that stay isolated because their seeds were down when they started.
func TestDiscoveryThroughLateSeeds(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 8, inForceWithin, 7)
	for _, v := range f.vms[:3] {
		v.down = true
	}
	f.run(5 * time.Second)
	is.Equal(f.readers(), 5) // no VM knows another: each reads for itself
	f.vms[2].down = false
	f.run(3 * time.Second)
	is.Equal(f.readers(), 1)
	is.Equal(f.vms[7].mesh.Running(f.now), 5)
}

// Guards against VMs that do not find each other because all seeds are in another data centre. Each of them read the
// platform for itself; this was seen with VMs that were added to a running fleet.
func TestDiscoveryThroughRemoteSeeds(t *testing.T) {
	is := is.New(t)
	f := newRegion(t, []pimid.DataCentre{"ikeja", "apapa", "lekki", "agege"}, 40, 5*time.Second, 11)
	late := f.vms[30:]
	for _, v := range late {
		v.down = true
	}
	f.run(40 * time.Second)
	for _, v := range late {
		v.down = false
		v.asOf = 0
	}
	f.run(8 * time.Second)
	is.Equal(f.readers(), 4)
	for _, v := range f.vms {
		is.Equal(v.mesh.Running(f.now), 9)
	}
}

// Guards against a VM that treats heartbeats as recent although they waited in its queue while it was paused. It would
// count its old view as current; this was seen when a VM that had been paused for 3 s reset flows of new backend
// servers.
func TestDelayedHeartbeatsDoNotConfirmView(t *testing.T) {
	is := is.New(t)
	now := pimclock.Instant(time.Hour)
	newMesh := func(n byte) (*Mesh, netip.AddrPort) {
		cfg := DefaultSettings(inForceWithin)
		cfg.Name, cfg.DataCentre = fmt.Sprintf("vm-%d", n), "ikeja"
		cfg.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, n}), 7720)
		return New(cfg, rand.New(rand.NewPCG(1, uint64(n)))), cfg.Address
	}
	// The clocks of two VMs are not synchronised.
	const clockOffset = 77 * time.Minute
	sender, senderAddress := newMesh(1)
	receiver, receiverAddress := newMesh(2)
	view := View{Revision: 5, Age: 100 * time.Millisecond}
	hello := sender.Receive(now.Add(clockOffset), &pimmesh.Heartbeat{Name: "vm-2", DataCentre: "ikeja", Address: receiverAddress, Hello: true}, view)
	is.Equal(len(hello.Out), 1)
	deliverDelayed := func(at pimclock.Instant, delay time.Duration) HeartbeatResult {
		out := sender.Announce(at.Add(clockOffset-delay), view, false)
		is.Equal(len(out), 1)
		out[0].Message.Heartbeat.Echo = nil // as of an earlier version
		return receiver.Receive(at, out[0].Message.Heartbeat, view)
	}

	is.True(!deliverDelayed(now, 0).Confirms) // the first heartbeat may have been delayed
	result := deliverDelayed(now.Add(250*time.Millisecond), 0)
	is.True(result.Confirms)
	is.True(now.Add(250*time.Millisecond).Sub(result.AsOf) < 200*time.Millisecond)
	resumed := now.Add(4 * time.Second)
	sender.lastHeartbeat = 0
	receiver.peers[senderAddress].receivedAt = resumed // still running
	sender.peers[receiverAddress].receivedAt = resumed.Add(clockOffset)
	result = deliverDelayed(resumed, 3*time.Second)
	is.True(resumed.Sub(result.AsOf) >= 3*time.Second)
}

// burst lets a VM that was paused for 3 s handle at once what the restarted VM 1 has sent meanwhile, each heartbeat twice, and what
// it sends afterwards. check gets each heartbeat with its result.
func burst(m *Mesh, now pimclock.Instant, claim *pimmesh.Claim, check func(at pimclock.Instant, sent time.Duration, r HeartbeatResult)) {
	const clockOffset, pause, interval = 77 * time.Minute, 3 * time.Second, 250 * time.Millisecond
	for since := time.Duration(0); since < pause+2*time.Second; since += interval {
		at, sent := now.Add(max(since, pause+20*time.Millisecond)), time.Duration(now.Add(since))
		for range 2 {
			check(at, sent, m.Receive(at, &pimmesh.Heartbeat{
				Name: "vm-1", DataCentre: "ikeja", Address: netip.MustParseAddrPort("10.1.0.1:7720"), Revision: 5,
				SentAt: sent + clockOffset, Incarnation: 2, Claim: claim,
			}, View{Revision: 5}))
		}
	}
}

// Guards against a view that is confirmed by heartbeats that waited while this VM was paused, of a VM that had restarted meanwhile:
// it would pass the confirmation on, and no VM would take over from a reader that has failed.
func TestHeartbeatsOfARestartedVMThatWaitedDoNotConfirmView(t *testing.T) {
	is := is.New(t)
	cfg := DefaultSettings(inForceWithin)
	cfg.Name, cfg.DataCentre, cfg.Address = "vm-2", "ikeja", netip.MustParseAddrPort("10.1.0.2:7720")
	confirmed := 0
	burst(New(cfg, rand.New(rand.NewPCG(1, 1))), pimclock.Instant(time.Hour), nil, func(_ pimclock.Instant, sent time.Duration, r HeartbeatResult) {
		if r.Confirms {
			confirmed++
			is.True(time.Duration(r.AsOf) <= sent)
		}
	})
	is.True(confirmed > 0) // those sent after the pause
}

// Guards against a reader that is stopped by the claim of a reader that has failed, if the claim waited while this VM was paused.
func TestClaimThatWaitedDoesNotStopTheReader(t *testing.T) {
	is := is.New(t)
	now := pimclock.Instant(time.Hour)
	cfg := DefaultSettings(inForceWithin)
	cfg.Name, cfg.DataCentre, cfg.Address = "vm-2", "ikeja", netip.MustParseAddrPort("10.1.0.2:7720")
	m := New(cfg, rand.New(rand.NewPCG(1, 1)))
	takenOverAt := now.Add(3 * time.Second) // right after the pause
	is.True(m.ShouldRead(takenOverAt, time.Minute))
	isStopped := false
	burst(m, now, &pimmesh.Claim{Hash: m.hash + 1}, func(at pimclock.Instant, sent time.Duration, _ HeartbeatResult) {
		if !isStopped {
			isStopped = !m.ShouldRead(at, 0)
			is.True(!isStopped || sent >= time.Duration(takenOverAt))
		}
	})
	is.True(isStopped) // by a claim that is newer than the take-over
}

// Guards against clock drift that is counted as delay of each heartbeat: after some days no VM would count its view as
// current, and all would read the platform.
func TestClockDriftIsNotCountedAsDelay(t *testing.T) {
	is := is.New(t)
	const day, every, ppm = 24 * time.Hour, 10 * time.Second, 200
	cfg := DefaultSettings(inForceWithin)
	cfg.DataCentre, cfg.Address = "ikeja", netip.MustParseAddrPort("10.1.0.1:7720")
	mesh := New(cfg, rand.New(rand.NewPCG(1, 1)))
	for since := time.Duration(0); since <= 3*day; since += every {
		result := mesh.Receive(pimclock.Instant(time.Hour+since), &pimmesh.Heartbeat{
			Name: "vm-2", DataCentre: "ikeja", Address: netip.MustParseAddrPort("10.1.0.2:7720"), Revision: 5,
			SentAt: since - since*ppm/1_000_000, Incarnation: 1,
		}, View{Revision: 5})
		is.True(result.Delay < time.Millisecond)
		is.Equal(result.Confirms, since > 0)
	}
}
