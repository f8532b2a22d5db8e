package pimquota

import (
	"sync"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Config connects a pool to its surroundings.
type Config struct {
	Self        pimid.NodeID
	Incarnation pimid.Incarnation
	// OwnerOf chooses the pool owner of a contract among the live VMs of the data centre.
	OwnerOf func(contract pimid.ContractID) pimid.NodeID
	// Send delivers a request to another VM; the answer comes back through Deliver. It must not call the pool.
	Send func(to pimid.NodeID, req *pimpb.BorrowQuotaRequest)
	// GrowthDelay is how long a share must have been published before it is used; zero means DefaultGrowthDelay. A
	// shorter delay is safe only if the list never changes, or if all VMs learn of a change sooner.
	GrowthDelay time.Duration
}

// Pool enforces the limits of all contracts on one VM and owns the pools assigned to it; all methods may be called
// concurrently.
type Pool struct {
	mu     sync.Mutex
	cfg    Config
	member member
	owner  owner
}

// New returns a pool without limits; it refuses everything until Publish is called.
func New(cfg Config) *Pool {
	if cfg.GrowthDelay == 0 {
		cfg.GrowthDelay = DefaultGrowthDelay
	}
	return &Pool{cfg: cfg, member: newMember(cfg.GrowthDelay), owner: newOwner(cfg.Incarnation)}
}

// Publish sets the published limits; call it on every new view and at least once a second, since plans change the
// terms with the time of day.
func (p *Pool) Publish(now pimclock.Instant, pub Publication) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.member.publish(now, pub)
	p.owner.tidy(now)
}

// Take takes n permits of a contract; if there are none, retryAfter is when it is worth trying again.
func (p *Pool) Take(now pimclock.Instant, contract pimid.ContractID, n int) (ok bool, retryAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ok, retryAfter = p.member.take(now, contract, float64(n))
	if a := p.member.accounts[contract]; !ok && a != nil {
		a.wanted += float64(n)
	}
	return ok, retryAfter
}

// Request is Take for a request that can wait for permits of the owner; result is called once, after Request returned or
// before.
func (p *Pool) Request(now pimclock.Instant, wait Patience, contract pimid.ContractID, n int, result Result) {
	p.mu.Lock()
	ok, retryAfter := p.member.take(now, contract, float64(n))
	a := p.member.accounts[contract]
	if !ok && a != nil {
		a.queue = append(a.queue, waiter{Patience: wait, n: float64(n), result: result})
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	result(ok, retryAfter)
}

// OpenFlow counts a flow open and reports whether this VM's part of the flow limit has room for it.
func (p *Pool) OpenFlow(now pimclock.Instant, contract pimid.ContractID) (ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.member.openFlow(now, contract)
}

// RefreshFlow counts a refresh of an open flow.
func (p *Pool) RefreshFlow(now pimclock.Instant, contract pimid.ContractID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.member.refreshFlow(now, contract)
}

// Tick sends the requests that are due; call it every few milliseconds.
// Requests that wait are answered here or in Deliver.
func (p *Pool) Tick(now pimclock.Instant) {
	p.mu.Lock()
	notices := p.member.tick(now)
	requests := p.member.due(now, p.cfg)
	if own := requests[p.cfg.Self]; own != nil {
		notices = append(notices, p.member.deliver(now, p.cfg.Self, p.owner.borrow(now, own))...)
		delete(requests, p.cfg.Self)
	}
	p.mu.Unlock()
	deliverAll(notices)
	for to, req := range requests {
		p.cfg.Send(to, req)
	}
}

// Deliver takes the answer of the owner to a request that Send delivered.
func (p *Pool) Deliver(now pimclock.Instant, from pimid.NodeID, reply *pimpb.BorrowQuotaReply) {
	p.mu.Lock()
	notices := p.member.deliver(now, from, reply)
	p.mu.Unlock()
	deliverAll(notices)
}

func deliverAll(notices []notice) {
	for _, n := range notices {
		n()
	}
}

// Borrow answers the request of a member; it is the owner's side.
func (p *Pool) Borrow(now pimclock.Instant, req *pimpb.BorrowQuotaRequest) *pimpb.BorrowQuotaReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner.borrow(now, req)
}
