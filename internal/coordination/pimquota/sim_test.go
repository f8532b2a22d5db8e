package pimquota

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	simPublish  = 500 * time.Millisecond
	simStep     = 2 * time.Millisecond
	simContract = pimid.ContractID(1)
	simMaxVMs   = 16
	// simWait is how long a request waits for permits.
	simWait = 20 * time.Millisecond
	// simExtendedWait is how long it waits while the owner does not answer or still solicits shares.
	simExtendedWait = 1500 * time.Millisecond
)

// limiter is what the simulation compares: pooled shares and the baselines.
type limiter interface {
	request(now pimclock.Instant, vm int, admit func())
	tick(now pimclock.Instant, vm int)
}

// sim is one data centre on a manual clock with a lossy network.
type sim struct {
	clock pimclock.Manual
	rng   *rand.Rand
	vms   []*simVM
	// published holds the list of every VM, and publishedAt when it was last passed to the pools.
	published   map[int]Publication
	publishedAt pimclock.Instant
	// down holds the VMs that each VM considers dead; the highest one that is not dead owns the contract.
	down []map[int]bool
	// split reports whether two VMs cannot reach each other.
	split  func(a, b int) bool
	limit  Limit
	events []event
	// loss is the fraction of messages that are lost, delay the mean time that a message takes.
	loss    float64
	delay   time.Duration
	network []datagram
	// admitted holds the times of all admissions.
	admitted []pimclock.Instant
	offered  int
	// mostRate and mostDepth are the largest sums of all shares and grants that were usable at one moment.
	mostRate, mostDepth float64
}

type simVM struct {
	pool   *Pool
	up     bool
	paused bool
	weight float64
}

type datagram struct {
	at      pimclock.Instant
	from    int
	to      int
	deliver func(now pimclock.Instant)
}

func newSim(seed uint64, n int, limit Limit) *sim {
	s := &sim{limit: limit, rng: rand.New(rand.NewPCG(seed, 1)), delay: time.Millisecond}
	s.published = map[int]Publication{}
	s.split = func(int, int) bool { return false }
	for range n {
		s.join(1)
	}
	return s
}

// join adds a VM that every other VM knows at once.
func (s *sim) join(incarnation pimid.Incarnation) (vm int) {
	vm = len(s.vms)
	s.vms = append(s.vms, &simVM{up: true, weight: 1, pool: s.newPool(vm, incarnation)})
	s.down = append(s.down, map[int]bool{})
	return vm
}

// owner returns the owner of the contract as one VM sees it.
func (s *sim) owner(vm int) int {
	for o := len(s.vms) - 1; o >= 0; o-- {
		if !s.down[vm][o] {
			return o
		}
	}
	return vm
}

// event is a change of the simulated system.
type event struct {
	at pimclock.Instant
	do func()
}

// after schedules an event.
func (s *sim) after(d time.Duration, do func()) {
	s.events = append(s.events, event{at: s.clock.Now().Add(d), do: do})
}

func (s *sim) runEvents(now pimclock.Instant) {
	due := s.events
	s.events = nil
	for _, e := range due {
		if now.Before(e.at) {
			s.events = append(s.events, e)
			continue
		}
		e.do()
	}
}

func (s *sim) newPool(vm int, incarnation pimid.Incarnation) *Pool {
	return New(Config{
		Self: pimid.NodeID(vm), Incarnation: incarnation,
		OwnerOf: func(pimid.ContractID) pimid.NodeID { return pimid.NodeID(s.owner(vm)) },
		Send: func(to pimid.NodeID, req *pimpb.BorrowQuotaRequest) {
			s.send(vm, int(to), func(now pimclock.Instant) {
				reply := s.vms[to].pool.Borrow(now, req)
				s.send(int(to), vm, func(now pimclock.Instant) { s.vms[vm].pool.Deliver(now, to, reply) })
			})
		},
	})
}

func (s *sim) send(from, to int, deliver func(now pimclock.Instant)) {
	if s.split(from, to) || s.rng.Float64() < s.loss {
		return
	}
	d := time.Duration(float64(s.delay) * (0.5 + s.rng.ExpFloat64()/2))
	s.network = append(s.network, datagram{at: s.clock.Now().Add(d), from: from, to: to, deliver: deliver})
}

// publish gives a VM a list of n VMs.
func (s *sim) publish(vm, n int) {
	pub := Publication{Nodes: n, Listed: true, Limits: map[pimid.ContractID]Limit{simContract: s.limit}}
	for other := range s.vms {
		pub.Members = append(pub.Members, pimid.NodeID(other))
	}
	s.published[vm] = pub
	s.vms[vm].pool.Publish(s.clock.Now(), pub)
}

// republish passes the lists again, as a VM does every simPublish.
func (s *sim) republish(now pimclock.Instant) {
	if now.Sub(s.publishedAt) < simPublish {
		return
	}
	s.publishedAt = now
	for i, vm := range s.vms {
		if pub, ok := s.published[i]; ok && vm.up && !vm.paused {
			vm.pool.Publish(now, pub)
		}
	}
}

// run offers rate requests per second for d, spread over the VMs by weight.
func (s *sim) run(d time.Duration, rate float64, l limiter) {
	for end := s.clock.Now().Add(d); s.clock.Now().Before(end); {
		s.clock.Advance(simStep)
		now := s.clock.Now()
		s.runEvents(now)
		s.republish(now)
		s.deliver(now)
		for i, vm := range s.vms {
			if vm.up && !vm.paused {
				l.tick(now, i)
			}
		}
		s.recordSums(now)
		for n := s.poisson(rate * simStep.Seconds()); n > 0; n-- {
			if vm := s.spray(); vm >= 0 {
				s.offered++
				l.request(now, vm, func() { s.admitted = append(s.admitted, s.clock.Now()) })
			}
		}
	}
}

func (s *sim) deliver(now pimclock.Instant) {
	if len(s.network) == 0 {
		return
	}
	due := s.network
	s.network = nil
	slices.SortStableFunc(due, func(a, b datagram) int { return int(a.at.Sub(b.at)) })
	for _, m := range due {
		switch {
		case !s.vms[m.to].up:
		case now.Before(m.at) || s.vms[m.to].paused:
			s.network = append(s.network, m)
		default:
			m.deliver(now)
		}
	}
}

func (s *sim) poisson(mean float64) (n int) {
	for t := s.rng.ExpFloat64(); t < mean; t += s.rng.ExpFloat64() {
		n++
	}
	return n
}

// spray picks the VM that receives a packet, -1 if the packet is lost because that VM is down or paused.
func (s *sim) spray() int {
	var sum float64
	for _, vm := range s.vms {
		sum += vm.weight
	}
	x := s.rng.Float64() * sum
	for i, vm := range s.vms {
		if x -= vm.weight; x < 0 {
			if vm.up && !vm.paused {
				return i
			}
			return -1
		}
	}
	return -1
}
