package pimquota

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	scaleContracts = 8900
	scaleBusy      = 20
	scaleStep      = 10 * time.Millisecond
	scaleWarmUp    = time.Second
	scaleRun       = 3 * time.Second
	// scaleBudget is the control traffic that one VM may send, in bytes per second, as the byte budget counts it.
	scaleBudget = 5000
	// lowDemand is the rate of each contract beyond the first scaleBusy ones at each VM; the share is shareRate with
	// shareDepth.
	lowDemand  = 0.05
	shareRate  = 10
	shareDepth = 4
	// coldBound is the longest wait of a burst on a cold contract: ten steps of 10 ms, each with one round trip.
	coldBound = 100 * time.Millisecond
)

// fleet is one data centre with all contracts on a network with a fixed delay of one step.
type fleet struct {
	rng   *rand.Rand
	pools []*Pool
	// outbox holds what each VM sent in this step, in order, so that VMs may tick in parallel.
	outbox [][]message
	// bytes counts what each VM sent, messages the exchanges of all VMs.
	bytes    []int
	messages int
	// asked and admitted count the requests of each contract.
	asked    []int
	admitted []atomic.Int64
}

func newFleet(n, contracts int) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(9, uint64(n))), pools: make([]*Pool, n), outbox: make([][]message, n),
		bytes: make([]int, n), asked: make([]int, contracts), admitted: make([]atomic.Int64, contracts),
	}
	pub := Publication{Nodes: n, Listed: true, InForce: time.Hour, Limits: map[pimid.ContractID]Limit{}}
	for id := range contracts {
		pub.Limits[pimid.ContractID(id)] = Limit{
			Rate: pimid.Rate(shareRate * n), Burst: float64(shareDepth * n), DataCentreFraction: 1,
		}
	}
	for i := range n {
		pub.Members = append(pub.Members, pimid.NodeID(i))
	}
	f.each(func(i int) {
		f.pools[i] = New(Config{
			Self: pimid.NodeID(i), Incarnation: 1764800000000 << 16,
			OwnerOf: func(c pimid.ContractID) pimid.NodeID { return pimid.NodeID((int(c)*7919 + 13) % n) },
			Send: func(to pimid.NodeID, req *pimpb.BorrowQuotaRequest) {
				f.outbox[i] = append(f.outbox[i], message{to: to, req: req})
			},
		})
		f.pools[i].Publish(pimclock.Instant(time.Hour), pub)
		f.pools[i].Publish(pimclock.Instant(time.Hour+scaleWarmUp), pub)
	})
	return f
}

// each runs do for all VMs in parallel; it must only touch the state of its own VM.
func (f *fleet) each(do func(i int)) {
	var wg sync.WaitGroup
	for i := range f.pools {
		wg.Go(func() { do(i) })
	}
	wg.Wait()
}

// run offers each contract at each VM the rate that demand returns, and returns the bytes per second that a VM sent.
func (f *fleet) run(demand func(vm, contract int) float64) (mean, most float64) {
	start := pimclock.Instant(time.Hour + scaleWarmUp)
	for now := start; now.Sub(start) < scaleWarmUp+scaleRun; now = now.Add(scaleStep) {
		if now.Sub(start) == scaleWarmUp {
			clear(f.bytes)
			f.messages = 0
		}
		for vm := range f.pools {
			for id := range scaleBusy {
				f.offer(now, vm, id, f.poisson(demand(vm, id)))
			}
			for range f.poisson(lowDemand * float64(len(f.asked)-scaleBusy)) {
				f.offer(now, vm, scaleBusy+f.rng.IntN(len(f.asked)-scaleBusy), 1)
			}
		}
		f.each(func(i int) { f.pools[i].Tick(now) })
		f.exchange(now)
	}
	for _, b := range f.bytes {
		rate := float64(b) / scaleRun.Seconds()
		mean, most = mean+rate/float64(len(f.pools)), max(most, rate)
	}
	return mean, most
}

func (f *fleet) poisson(rate float64) (n int) {
	mean := rate * scaleStep.Seconds()
	for t := f.rng.ExpFloat64(); t < mean; t += f.rng.ExpFloat64() {
		n++
	}
	return n
}

func (f *fleet) offer(now pimclock.Instant, vm, contract, n int) {
	wait := WaitLimit{Deadline: now.Add(250 * time.Millisecond), ExtendedDeadline: now.Add(1500 * time.Millisecond)}
	for range n {
		f.asked[contract]++
		f.pools[vm].Request(now, wait, pimid.ContractID(contract), 1, func(ok bool, _ time.Duration) {
			if ok {
				f.admitted[contract].Add(1)
			}
		})
	}
}

// exchange delivers all messages and their answers.
func (f *fleet) exchange(now pimclock.Instant) {
	for from, sent := range f.outbox {
		f.outbox[from] = nil
		for _, m := range sent {
			reply := f.pools[m.to].Borrow(now, m.req)
			f.bytes[from] += proto.Size(m.req)
			f.bytes[m.to] += proto.Size(reply)
			f.messages++
			f.pools[from].Deliver(now, m.to, reply)
		}
	}
}
