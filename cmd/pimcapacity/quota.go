package main

import (
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimquota"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

type quotaCommand struct {
	out     *output
	Sizes   []int `long:"size" default:"100" default:"1000" default:"8900" description:"number of contracts"`
	Active  int   `long:"active" default:"20" description:"contracts with requests"`
	Rate    int   `long:"rate" default:"10" description:"requests per second of an active contract at this VM"`
	VMs     int   `long:"vms" default:"380" description:"VMs of the data centre, which own the pools"`
	Seconds int   `long:"seconds" default:"10" description:"simulated time per size"`
}

const (
	// quotaTick is the interval at which a VM calls Tick.
	quotaTick = 10 * time.Millisecond
	// quotaDelay is the simulated time from a request to the delivery of its reply.
	quotaDelay = time.Millisecond
	// quotaWarmUp exceeds the time until a published share is in use.
	quotaWarmUp = 20 * time.Second
)

// Execute runs the measurements and prints each quantity with its fitted line.
func (c *quotaCommand) Execute([]string) error {
	var sizes, bytes, ticks, publishes, exchange, rate, count, owner, borrow []float64
	for _, n := range c.Sizes {
		if c.Active < 1 || c.Active > n {
			return fmt.Errorf("--active is %d and must be from 1 to %d, the number of contracts", c.Active, n)
		}
		m := newQuotaMember(c, n)
		m.run(quotaWarmUp, nil)
		m.replies, m.exchangedBytes = 0, 0
		var tickTime time.Duration
		m.run(time.Duration(c.Seconds)*time.Second, &tickTime)
		steps := float64(time.Duration(c.Seconds) * time.Second / quotaTick)
		sizes, bytes = append(sizes, float64(n)), append(bytes, m.heap)
		ticks = append(ticks, float64(tickTime.Nanoseconds())/steps)
		publishes = append(publishes, perOp(int(steps), func(int) { m.pool.Publish(m.now, m.publication) }))
		exchange = append(exchange, float64(m.exchangedBytes)/max(float64(m.replies), 1))
		rate = append(rate, float64(m.exchangedBytes)/float64(c.Seconds))
		count = append(count, float64(m.replies)/float64(c.Seconds))
		ownerBytes, ns := m.ownerCost()
		owner, borrow = append(owner, ownerBytes), append(borrow, ns)
	}
	return c.out.print([]series{
		newSeries("quota pool of a member", "B", "contracts", sizes, bytes),
		newSeries("one Tick", "ns", "contracts", sizes, ticks),
		newSeries("one Publish", "ns", "contracts", sizes, publishes),
		newSeries("request and reply of one exchange", "B", "contracts", sizes, exchange),
		newSeries("exchanges of a VM with owners", "1/s", "contracts", sizes, count),
		newSeries("requests and replies of a VM with owners", "B/s", "contracts", sizes, rate),
		newSeries("pools of an owner with the requests of all VMs", "B", "contracts", sizes, owner),
		newSeries("one Borrow with all contracts of an owner", "ns", "contracts", sizes, borrow),
	})
}

// quotaMember is one VM that borrows permits from pools that the other VMs own.
type quotaMember struct {
	cfg         *quotaCommand
	now         pimclock.Instant
	pool        *pimquota.Pool
	publication pimquota.Publication
	owners      map[pimid.NodeID]*pimquota.Pool
	pending     []quotaRequest
	// heap is the size of pool in bytes after its first second.
	heap float64
	// replies counts the exchanges with owners and exchangedBytes the bytes of their requests and replies.
	replies, exchangedBytes int
	// taken counts the calls of Take, which is called for the active contracts in turn.
	taken int
	// dropRequests discards the requests to owners instead of queueing them in pending.
	dropRequests bool
}

type quotaRequest struct {
	to  pimid.NodeID
	req *pimpb.BorrowQuotaRequest
}

func newQuotaMember(c *quotaCommand, contracts int) *quotaMember {
	m := &quotaMember{cfg: c, owners: map[pimid.NodeID]*pimquota.Pool{}, now: pimclock.Instant(time.Hour)}
	limits := make(map[pimid.ContractID]pimquota.Limit, contracts)
	for i := 1; i <= contracts; i++ {
		limits[pimid.ContractID(i)] = pimquota.Limit{Rate: 1000, Burst: 200, Flows: 1000, DataCentreFraction: 1}
	}
	m.publication = pimquota.Publication{Nodes: c.VMs, Listed: true, InForce: time.Hour, Limits: limits}
	for i := 2; i <= c.VMs; i++ {
		m.owners[pimid.NodeID(i)] = pimquota.New(m.config(pimid.NodeID(i)))
	}
	// Requests of the first second are dropped, since memory that the owners allocate for them must not count.
	m.dropRequests = true
	m.heap = liveBytes(func() *pimquota.Pool {
		m.pool = pimquota.New(m.config(1))
		m.pool.Publish(m.now, m.publication)
		m.run(time.Second, nil)
		return m.pool
	})
	m.dropRequests = false
	runtime.KeepAlive(limits)
	return m
}

func (m *quotaMember) config(self pimid.NodeID) pimquota.Config {
	return pimquota.Config{Self: self, Incarnation: 1 << 62, OwnerOf: m.ownerOf, Send: m.send}
}

// ownerOf distributes the pools evenly over the VMs.
func (m *quotaMember) ownerOf(contract pimid.ContractID) pimid.NodeID {
	return pimid.NodeID(1 + int(contract)%m.cfg.VMs)
}

func (m *quotaMember) send(to pimid.NodeID, req *pimpb.BorrowQuotaRequest) {
	if !m.dropRequests {
		m.pending = append(m.pending, quotaRequest{to: to, req: req})
	}
}

// run simulates the VM for d and adds the time spent in Tick to tickTime, unless that is nil.
func (m *quotaMember) run(d time.Duration, tickTime *time.Duration) {
	end := m.now.Add(d)
	perTick := m.cfg.Rate * m.cfg.Active * int(quotaTick) / int(time.Second)
	for m.now.Before(end) {
		m.now = m.now.Add(quotaTick)
		for range max(perTick, 1) {
			m.taken++
			m.pool.Take(m.now, pimid.ContractID(1+m.taken%m.cfg.Active), 1)
		}
		start := time.Now()
		m.pool.Tick(m.now)
		if tickTime != nil {
			*tickTime += time.Since(start)
		}
		m.deliver()
		if time.Duration(m.now)%time.Second == 0 {
			m.pool.Publish(m.now, m.publication)
		}
	}
}

// deliver passes the pending requests to their owners and the replies to the member.
func (m *quotaMember) deliver() {
	for _, p := range m.pending {
		reply := m.owners[p.to].Borrow(m.now, p.req)
		m.exchangedBytes += proto.Size(p.req) + proto.Size(reply)
		m.replies++
		m.pool.Deliver(m.now.Add(quotaDelay), p.to, reply)
	}
	m.pending = m.pending[:0]
}
