package pimquota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Config holds the identity, callbacks and settings of a Pool.
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
	// Rand chooses the VMs that are asked for their shares; nil means a source seeded with Self and Incarnation.
	Rand *rand.Rand
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
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(uint64(cfg.Self), uint64(cfg.Incarnation)))
	}
	p := &Pool{cfg: cfg, member: newMember(cfg.GrowthDelay), owner: newOwner(cfg.Incarnation)}
	p.owner.borrowerLimiter = borrowerLimiter{rng: cfg.Rand, shareOf: p.member.shareOf}
	return p
}

// Publish sets the published limits; call it on every new view and at least once a second, since plans change the
// terms with the time of day.
func (p *Pool) Publish(now pimclock.Instant, pub Publication) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.member.publish(now, pub)
	p.owner.members = pub.Members
	p.owner.removeIdlePools(now)
}

// Take takes n permits of a contract; if there are none, retryAfter is when it is worth trying again.
func (p *Pool) Take(now pimclock.Instant, contract pimid.ContractID, n int) (ok bool, retryAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ok, retryAfter = p.member.take(now, contract, float64(n))
	if a := p.member.accounts[contract]; !ok && a != nil && !now.Before(a.holdUntil) {
		a.refused += float64(n)
		p.member.activate(a)
	}
	return ok, retryAfter
}

// Request is like Take, but the request can wait for permits of the own share or of the owner. It calls result once,
// before or after Request returns.
func (p *Pool) Request(now pimclock.Instant, wait WaitLimit, contract pimid.ContractID, n int, result Result) {
	p.mu.Lock()
	ok, retryAfter := p.member.take(now, contract, float64(n))
	a := p.member.accounts[contract]
	waits := !ok && a != nil && a.enqueue(now, waiter{WaitLimit: wait, n: float64(n), result: result})
	if waits {
		p.member.activate(a)
	}
	p.mu.Unlock()
	if waits {
		return
	}
	result(ok, retryAfter)
}

// OpenFlow counts a flow open and reports whether this VM's share of the flow limit has room for it.
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

// Tick sends the requests that are due and answers waiting requests, which Deliver does too; call it every few
// milliseconds.
func (p *Pool) Tick(now pimclock.Instant) {
	p.mu.Lock()
	notices := p.member.tick(now)
	messages := append(p.member.due(now, p.cfg), p.owner.solicit(now, p.cfg)...)
	remote := messages[:0]
	for _, msg := range messages {
		if msg.to == p.cfg.Self {
			notices = append(notices, p.accept(now, msg.to, p.answer(now, msg.req))...)
			continue
		}
		remote = append(remote, msg)
	}
	p.mu.Unlock()
	deliverAll(notices)
	for _, msg := range remote {
		p.cfg.Send(msg.to, msg.req)
	}
}

// message is a request to a VM, which may be this one.
type message struct {
	to  pimid.NodeID
	req *pimpb.BorrowQuotaRequest
}

// Deliver applies the answer to a request that Send delivered.
func (p *Pool) Deliver(now pimclock.Instant, from pimid.NodeID, reply *pimpb.BorrowQuotaReply) {
	p.mu.Lock()
	notices := p.accept(now, from, reply)
	p.mu.Unlock()
	deliverAll(notices)
}

func deliverAll(notices []notice) {
	for _, n := range notices {
		n()
	}
}

// accept applies the answer of an owner, or that of a lender.
func (p *Pool) accept(now pimclock.Instant, from pimid.NodeID, reply *pimpb.BorrowQuotaReply) []notice {
	if reply.GetSolicited() {
		p.owner.collect(now, from, reply)
		return nil
	}
	return p.member.deliver(now, from, reply)
}

// Borrow answers a request of another VM: that of a member for permits, or that of a pool owner for shares.
func (p *Pool) Borrow(now pimclock.Instant, req *pimpb.BorrowQuotaRequest) *pimpb.BorrowQuotaReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answer(now, req)
}

func (p *Pool) answer(now pimclock.Instant, req *pimpb.BorrowQuotaRequest) *pimpb.BorrowQuotaReply {
	if len(req.GetSolicited()) > 0 {
		return p.member.answerSolicitation(now, p.cfg, req)
	}
	return p.owner.borrow(now, req)
}
