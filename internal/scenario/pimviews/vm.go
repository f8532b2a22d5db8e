package pimviews

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimgossip"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimregistry"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimfollow"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// vm is one VM; what it knows is replaced at each start.
type vm struct {
	sim        *sim
	name       string
	dataCentre pimid.DataCentre
	address    netip.AddrPort
	// isEarlier is set if the VM runs an earlier release.
	isEarlier bool
	// run counts the starts; what was scheduled by an earlier run does not happen.
	run     int
	running bool
	// inRotation is unset while the VM stops.
	inRotation  bool
	pausedUntil pimclock.Instant
	// disturbedAt is when the VM was last started, stopped, paused or cut off.
	disturbedAt pimclock.Instant
	cutOff      bool

	registry *pimregistry.Registry
	mesh     *pimgossip.Mesh
	outbox   pimgossip.Outbox
	table    *pimflow.Table
	backoff  *pimfollow.Backoff
	version  pimcatalog.Version
}

// start begins a run that knows nothing.
func (v *vm) start() {
	s := v.sim
	v.run++
	v.running, v.inRotation, v.version = true, true, 0
	v.disturb()
	settings := pimregistry.DefaultSettings(inForceWithin)
	settings.PartSize = 3 + s.Rand.IntN(6)
	v.registry = pimregistry.New(settings, s.Clock, v.traceDecision)
	cfg := pimgossip.DefaultSettings(inForceWithin)
	cfg.Name, cfg.DataCentre, cfg.Address = v.name, v.dataCentre, v.address
	for _, seed := range s.vms[:min(3, len(s.vms))] {
		cfg.Seeds = append(cfg.Seeds, seed.address)
	}
	v.mesh = pimgossip.New(cfg, s.newRand())
	v.outbox = pimgossip.Outbox{}
	v.table = pimflow.New(pimflow.DefaultSettings())
	v.backoff = pimfollow.NewBackoff(100*time.Millisecond, 800*time.Millisecond, s.newRand())
	v.after(time.Duration(s.Rand.Int64N(int64(cfg.HeartbeatInterval))), func() { v.tick(cfg.HeartbeatInterval) })
	v.after(0, v.follow)
}

// after schedules what this run of the VM does; while the VM is paused, it waits.
func (v *vm) after(d time.Duration, f func()) {
	run := v.run
	var act func()
	act = func() {
		switch now := v.sim.Now(); {
		case v.run != run || !v.running:
		case now.Before(v.pausedUntil):
			v.sim.After(v.pausedUntil.Sub(now), act)
		default:
			f()
		}
	}
	v.sim.After(d, act)
}

// traceDecision records what the registry did with a change of a backend server or an evacuation.
func (v *vm) traceDecision(c pimregistry.Change, d pimregistry.Decision) {
	if c.Evacuation != "" && d != pimregistry.Outdated {
		v.sim.trace("%s: evacuation of %s, revision %d, removed %v, is %s", v.name, c.Evacuation, c.Revision, c.Removed, d)
		v.checkNew(&c)
	}
	if c.Host != nil && d != pimregistry.Outdated && d != pimregistry.Listed {
		v.sim.trace("%s: %s of revision %d is %s", v.name, c.Host.Name, c.Revision, d)
	}
}

// disturb records that the VM is disturbed now. A pause goes on when the VM is killed and started again in it.
func (v *vm) disturb() { v.disturbedAt = max(v.disturbedAt, v.sim.Now()) }

func (v *vm) kill() {
	v.running, v.inRotation = false, false
	v.disturb()
}

// stop is a planned stop: the VM forwards packets for a while and ends.
func (v *vm) stop() {
	if !v.running || !v.inRotation {
		return
	}
	v.inRotation = false
	v.disturb()
	v.sendAll(v.mesh.Announce(v.sim.Now(), v.view(), true))
	v.after(linger, func() {
		v.kill()
		v.sim.After(restartDelay, v.start)
	})
}

func (v *vm) tick(interval time.Duration) {
	v.sendAll(v.mesh.Tick(v.sim.Now(), v.view()))
	v.table.Expire(v.sim.Now())
	v.after(interval, func() { v.tick(interval) })
}

func (v *vm) position() pimgossip.View {
	q := v.registry.DeltaRequest()
	return pimgossip.View{Revision: q.From, Base: q.Base, Config: q.Config, Urgent: q.Urgent}
}

func (v *vm) view() pimgossip.View {
	view := v.position()
	view.Age = v.registry.Age(v.sim.Now())
	return view
}

func (v *vm) announce() { v.sendAll(v.mesh.Announce(v.sim.Now(), v.view(), false)) }

func (v *vm) sendAll(out []pimgossip.Outgoing) {
	for _, o := range out {
		v.send(o.To, o.Message)
	}
}

// send delivers a message after the delay of the link, sometimes twice or never.
func (v *vm) send(address netip.AddrPort, msg pimmesh.Message) {
	s := v.sim
	to := s.vmAt(address)
	if to == nil || v.cutOff || to.cutOff || s.Rand.Float64() < lossRate {
		return
	}
	delay := time.Millisecond + s.Exp(time.Millisecond)
	if v.dataCentre != to.dataCentre {
		delay += 4 * time.Millisecond
	}
	if v.isEarlier || to.isEarlier {
		msg = withoutNewFields(msg)
	}
	deliver := func() {
		if to.running && !to.cutOff {
			to.after(0, func() { to.receive(&msg, v.address) })
		}
	}
	s.After(delay, deliver)
	if s.Rand.Float64() < lossRate {
		s.After(delay+s.Exp(50*time.Millisecond), deliver)
	}
}

// withoutNewFields returns a message as a VM of an earlier release sends or reads it.
func withoutNewFields(msg pimmesh.Message) pimmesh.Message {
	if msg.Heartbeat != nil {
		b := *msg.Heartbeat
		b.Urgent, b.Echo, msg.Heartbeat = 0, nil, &b
	}
	if msg.Pull != nil {
		p := *msg.Pull
		p.Urgent, msg.Pull = 0, &p
	}
	return msg
}

// withoutNewDeltaFields changes a delta to what a VM of an earlier release sends or reads of it.
func withoutNewDeltaFields(d *pimregistry.Delta) {
	d.Urgent, d.Last, d.ByName, d.RemovedOthers = 0, 0, false, nil
	for i := range d.Removed {
		d.Removed[i].Name = ""
	}
	for i := range d.Hosts {
		d.Hosts[i].Overwritten, d.Hosts[i].Since = nil, 0
	}
}

// lossRate is the share of messages that are lost, and of those that arrive twice.
const lossRate = 0.01

func (v *vm) receive(msg *pimmesh.Message, from netip.AddrPort) {
	now := v.sim.Now()
	switch {
	case msg.Heartbeat != nil:
		result := v.mesh.Receive(now, msg.Heartbeat, v.view())
		if result.Confirms {
			v.registry.Confirm(msg.Heartbeat.Revision, result.AsOf)
		}
		v.sendAll(result.Out)
	case msg.Pull != nil:
		p := msg.Pull
		chunks, err := v.outbox.Answer(now, p, func() (e pimgossip.EncodedDelta, err error) {
			q := pimregistry.DeltaRequest{From: p.Since, Base: p.Base, Config: p.Config, Urgent: p.Urgent}
			d := v.registry.Since(q)
			if p.Urgent > 0 {
				d = v.registry.SinceUrgent(q)
			}
			e.From, e.To, e.Urgent = d.From, d.To, d.UrgentOnly
			e.Data, err = pimmesh.Encode(&d)
			return e, err
		})
		v.sim.check(err)
		for i := range chunks {
			v.send(from, pimmesh.Message{Chunk: &chunks[i]})
		}
	case msg.Chunk != nil:
		v.receiveChunk(msg.Chunk, from)
	}
}

func (v *vm) receiveChunk(c *pimmesh.Chunk, from netip.AddrPort) {
	data, out := v.mesh.ReceiveChunk(v.sim.Now(), c, from, v.position())
	v.sendAll(out)
	if data == nil {
		return
	}
	var d pimregistry.Delta
	v.sim.check(pimmesh.Decode(data, &d))
	if v.isEarlier || v.sim.vmAt(from).isEarlier {
		withoutNewDeltaFields(&d)
	}
	before := v.registry.DeltaRequest()
	if err := v.registry.Merge(d); err != nil || v.registry.DeltaRequest() == before {
		return
	}
	if d.More && d.UrgentOnly {
		next := v.mesh.PullNextUrgent(v.sim.Now(), from, v.view())
		v.send(next.To, next.Message)
		return
	}
	if d.More {
		next := v.mesh.PullNext(v.sim.Now(), from, v.view())
		v.send(next.To, next.Message)
		return
	}
	v.announce()
}

// The times of a call to the store.
const (
	callTime = 4 * time.Millisecond
	// applyTime is the longest time from the end of a call until its result is stored, on a VM with little processor time.
	applyTime   = 30 * time.Millisecond
	callTimeout = time.Second
)

// follow reads the store if this VM should, as pimfollow.Follower does.
func (v *vm) follow() {
	now, age := v.sim.Now(), v.registry.Age(v.sim.Now())
	switch {
	case v.registry.Revision() == 0:
		v.list("", pimregistry.Snapshot{})
	case v.mesh.ShouldRead(now, age):
		v.watch(v.registry.Revision(), v.mesh.WatchTimeout(age))
	default:
		v.after(readerCheck, v.follow)
	}
}

func (v *vm) fail(d time.Duration) {
	v.after(d, func() {
		v.mesh.SetCanRead(false)
		v.registry.ReadFailed()
		v.backoff.Scale = v.mesh.RetryScale(v.sim.Now())
		v.after(v.backoff.Next(), v.follow)
	})
}

// isTurnedAway lets a call fail, if the VM cannot read.
func (v *vm) isTurnedAway() bool {
	st := v.sim.store
	if !st.turnsAway(v) && !v.cutOff {
		return false
	}
	if st.hangs || v.cutOff {
		v.fail(callTimeout)
	} else {
		v.fail(callTime)
	}
	return true
}

// list reads the pages after a name.
func (v *vm) list(after string, snap pimregistry.Snapshot) {
	if after == "" {
		snap.SentAt = v.sim.Now()
	}
	v.after(callTime, func() {
		if v.isTurnedAway() {
			return
		}
		page, more := v.sim.store.page(after)
		if after == "" {
			snap.Revision = v.sim.store.revision
		}
		for _, e := range page {
			snap.Changes = append(snap.Changes, e.change)
		}
		if more {
			v.list(page[len(page)-1].name, snap)
			return
		}
		v.after(callTime, func() {
			v.readSucceeded(snap.AsOf(), func() error { return v.registry.Restore(snap) })
		})
	})
}

// readSucceeded stores the result of a read some time after the call has ended.
func (v *vm) readSucceeded(asOf pimclock.Instant, apply func() error) {
	v.mesh.SetCanRead(true)
	v.registry.ReadSucceeded(asOf)
	v.after(time.Duration(v.sim.Rand.Int64N(int64(applyTime))), func() {
		if err := apply(); err != nil {
			v.after(v.backoff.Next(), v.follow)
			return
		}
		v.backoff.Reset()
		v.announce()
		v.after(batchDelay, v.follow)
	})
}

// watch waits for changes for at most hold.
func (v *vm) watch(from pimid.Revision, hold time.Duration) {
	sentAt := v.sim.Now()
	v.after(callTime, func() {
		if v.isTurnedAway() {
			return
		}
		run, isAnswered := v.run, false
		answer := func() {
			if !isAnswered && v.run == run {
				isAnswered = true
				v.answerWatch(from, sentAt, hold)
			}
		}
		if v.sim.store.revision > from {
			answer()
			return
		}
		v.sim.store.waiting = append(v.sim.store.waiting, answer)
		v.after(hold, answer)
	})
}

// answerWatch lets the store answer a watch. The VM knows when it sent the call and when it handles the header of the response, which may
// have waited for it, but not when the store answered.
func (v *vm) answerWatch(from pimid.Revision, sentAt pimclock.Instant, hold time.Duration) {
	b, ok := v.sim.store.since(from)
	if v.isTurnedAway() {
		return
	}
	b.SentAt, b.Hold = sentAt, hold
	isRead := false
	if !v.isEarlier {
		v.after(urgentAfter, func() { v.watchUrgent(from, &isRead) })
	}
	v.after(callTime, func() {
		b.AnsweredAt = v.sim.Now()
		v.after(v.slowness(b), func() {
			isRead = true
			v.handleWatch(b, ok)
		})
	})
}

// handleWatch handles the complete answer to a watch, or lists the store if it no longer has the changes.
func (v *vm) handleWatch(b pimregistry.Batch, ok bool) {
	switch {
	case !ok:
		v.list("", pimregistry.Snapshot{})
	case b.To == b.From:
		v.mesh.SetCanRead(true)
		v.registry.ReadSucceeded(b.AsOf())
		v.registry.ConfirmRead()
		v.backoff.Reset()
		v.after(0, v.follow)
	default:
		v.readSucceeded(b.AsOf(), func() error { return v.registry.Apply(b) })
	}
}

// slowness returns how much longer than usual a response takes to arrive.
func (v *vm) slowness(b pimregistry.Batch) time.Duration {
	hasConfig := slices.ContainsFunc(b.Changes, func(c pimregistry.Change) bool { return c.Config != nil })
	if !v.sim.cfg.SlowLinks || !hasConfig {
		return 0
	}
	return time.Duration(v.sim.Rand.Int64N(int64(slowest)))
}

// watchUrgent watches the backend servers alone until the response with all changes is read, as pimfollow.Urgent does.
func (v *vm) watchUrgent(from pimid.Revision, isRead *bool) {
	v.after(callTime, func() {
		st := v.sim.store
		b, ok := st.since(from)
		b.Changes = slices.DeleteFunc(b.Changes, func(c pimregistry.Change) bool { return c.Config != nil })
		switch {
		case *isRead || !ok:
		case st.turnsAway(v) || v.cutOff:
			v.registry.ReadFailed()
			v.after(urgentAfter, func() { v.watchUrgent(from, isRead) })
		case len(b.Changes) == 0:
			run := v.run
			st.waiting = append(st.waiting, func() {
				if v.run == run {
					v.watchUrgent(from, isRead)
				}
			})
		default:
			v.after(callTime, func() { v.applyUrgent(b, isRead) })
		}
	})
}

func (v *vm) applyUrgent(b pimregistry.Batch, isRead *bool) {
	if *isRead {
		return
	}
	if v.registry.ApplyUrgent(b) {
		v.announce()
	}
	v.after(batchDelay, func() { v.watchUrgent(b.To, isRead) })
}

// randomPlacer chooses among the backend servers that may get new flows.
type randomPlacer struct{ rng *rand.Rand }

func (p randomPlacer) Place(now pimclock.Instant, c *pimcatalog.Catalog, r *pimcatalog.Route, _ *pimpacket.Packet) pimsteer.Placement {
	var candidates []*pimcatalog.Host
	reason := pimsteer.ReasonNoHost
	for _, h := range c.Service(r.Shares[0].Service) {
		switch {
		case !h.AcceptsNewFlows(now):
		case c.IsEvacuated(h.DataCentre):
			reason = pimsteer.ReasonEvacuated
		default:
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return pimsteer.Placement{Reason: reason}
	}
	return pimsteer.Placement{Host: candidates[p.rng.IntN(len(candidates))]}
}

// steer decides about a packet as the edge does.
func (v *vm) steer(p *pimpacket.Packet) pimsteer.Verdict {
	now := v.sim.Now()
	view := pimsteer.View{
		Fresh: v.registry.Fresh(now), Settled: v.registry.Settled(now), AsOf: now.Add(-v.registry.Age(now)),
		FirstSeen: func(p *pimpacket.Packet) pimclock.Instant { return v.table.FirstSeen(now, p) },
	}
	view.Catalog = v.registry.Catalog()
	verdict := pimsteer.Steer(now, view, randomPlacer{v.sim.Rand}, p)
	if verdict.Action != pimsteer.Forward {
		return verdict
	}
	if p.IsOpen() {
		v.table.RecordOpening(now, p, verdict.Host.ID)
	} else {
		v.table.RecordForwarded(now, p, verdict.Host.ID)
	}
	return verdict
}

// isInTouch reports whether the bounds hold for the VM: neither it nor the store was disturbed recently.
func (v *vm) isInTouch() bool {
	st := v.sim.store
	since := max(v.disturbedAt, st.disturbedAt)
	return v.running && !v.cutOff && !st.turnsAway(v) && v.sim.Now().Sub(since) > stableWindow
}
