package pimmember

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// starvedVM is a VM that gets little processor time: it handles what has arrived and ticks when it runs, at random intervals.
type starvedVM struct {
	members *Members
	// queue holds the messages that wait in the socket; those beyond socketMessages are lost.
	queue   []*pimpb.Gossip
	stopped bool
	runAt   pimclock.Instant
	maxGap  time.Duration
}

// starvedFleet is a data centre of VMs 1 to n whose messages are lost at random.
type starvedFleet struct {
	rng  *rand.Rand
	now  pimclock.Instant
	loss float64
	vms  map[pimid.NodeID]*starvedVM
}

const (
	starvedStep = 10 * time.Millisecond
	// socketMessages is the number of messages in a full socket queue.
	socketMessages = 150
)

func newStarvedFleet(rng *rand.Rand, n int) *starvedFleet {
	f := &starvedFleet{rng: rng, now: pimclock.Instant(time.Hour), loss: rng.Float64() * 0.5, vms: map[pimid.NodeID]*starvedVM{}}
	var list []pimview.Node
	for id := range n {
		list = append(list, node(pimid.NodeID(id+1), pimview.NodeLive))
	}
	for _, v := range list {
		m := New(Settings{
			Self: v.ID, Incarnation: pimid.Incarnation(100 + rng.IntN(50)), DataCentre: "ikeja", Address: v.PeerAddress,
		}, f.now, rand.New(rand.NewPCG(rng.Uint64(), uint64(v.ID))))
		if rng.IntN(4) > 0 {
			m.SetPublished(f.now, 1, list)
		} else {
			m.SetPublished(f.now, 1, list[:max(1, rng.IntN(n))]) // the rest follows
		}
		f.vms[v.ID] = &starvedVM{members: m, maxGap: time.Duration(100+rng.IntN(900)) * time.Millisecond}
	}
	for _, v := range f.vms {
		v.members.SetPublished(f.now, 2, list)
	}
	return f
}

// run lets time pass.
func (f *starvedFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(starvedStep) {
		for id := pimid.NodeID(1); int(id) <= len(f.vms); id++ {
			v := f.vms[id]
			if v.stopped || f.now.Before(v.runAt) {
				continue
			}
			v.runAt = f.now.Add(time.Duration(f.rng.Int64N(int64(v.maxGap))))
			f.work(v)
		}
	}
}

// work lets a VM tick and handle what has arrived, in either order, as its goroutines do.
func (f *starvedFleet) work(v *starvedVM) {
	ticksFirst := f.rng.IntN(2) == 0
	if ticksFirst {
		f.send(v.members.Tick(f.now))
	}
	queue := v.queue
	v.queue = nil
	for _, g := range queue {
		f.send(v.members.Receive(f.now, g))
	}
	if !ticksFirst {
		f.send(v.members.Tick(f.now))
	}
}

func (f *starvedFleet) send(out []Message) {
	for _, m := range out {
		if to := f.vms[m.To]; to != nil && len(to.queue) < socketMessages && f.rng.Float64() >= f.loss {
			to.queue = append(to.queue, proto.Clone(m.Gossip).(*pimpb.Gossip))
		}
	}
}

// Guards against a VM that was paused while another one was killed, and then does not count as alive again: half of the messages may be
// lost, and all VMs may get processor time only once in a second. See TestKillAndPauseTogether in e2e.
func TestResumedVMCountsAsAliveAgain(t *testing.T) {
	const seeds, within = 300, time.Minute
	slowest := time.Duration(0)
	for seed := range uint64(seeds) {
		f := newStarvedFleet(rand.New(rand.NewPCG(seed, 4)), 4)
		f.run(time.Duration(f.rng.IntN(10_000)) * time.Millisecond)
		f.vms[2].stopped, f.vms[3].stopped = true, true
		state := func() State {
			r, _ := f.vms[1].members.Member(3)
			return r.State
		}
		f.run(starvedStep)
		for state() == Alive {
			f.run(starvedStep)
		}
		f.run(time.Duration(f.rng.IntN(20_000)) * time.Millisecond)
		f.vms[3].stopped = false
		resumed := f.now
		for state() != Alive {
			if f.run(starvedStep); f.now.Sub(resumed) > within {
				t.Fatalf("seed %d: %v after %v, messages lost %.2f", seed, state(), within, f.loss)
			}
		}
		slowest = max(slowest, f.now.Sub(resumed))
	}
	t.Logf("alive again after at most %v", slowest)
}
