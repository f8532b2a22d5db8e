package main

import (
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimquota"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// quotaOwner is the VM whose cost as a pool owner is measured.
const quotaOwner = pimid.NodeID(2)

// ownerCost returns the heap bytes of a pool owner from which all VMs of the data centre borrow, and the time of one
// request in nanoseconds. The requests are copies of one request of the member with the ids of all VMs. Both results
// are 0 if the member sends no request to the owner.
func (m *quotaMember) ownerCost() (bytes, ns float64) {
	sample := m.requestTo(quotaOwner)
	if sample == nil {
		return 0, 0
	}
	requests := make([]*pimpb.BorrowQuotaRequest, m.cfg.VMs)
	for i := range requests {
		requests[i] = proto.CloneOf(sample)
		requests[i].Node = uint32(i + 1)
	}
	borrow := func(p *pimquota.Pool) func(i int) { return func(i int) { p.Borrow(m.now, requests[i]) } }
	bytes = liveBytes(func() *pimquota.Pool {
		p := pimquota.New(m.config(quotaOwner))
		ns = perOp(len(requests), borrow(p))
		return p
	})
	// If the requests were freed during the measurement, its result would be too small.
	runtime.KeepAlive(requests)
	return bytes, ns
}

// requestTo returns the next request of the member to an owner, or nil if there is none within a simulated second.
func (m *quotaMember) requestTo(owner pimid.NodeID) *pimpb.BorrowQuotaRequest {
	end := m.now.Add(time.Second)
	for m.now.Before(end) {
		m.now = m.now.Add(quotaTick)
		m.pool.Tick(m.now)
		for _, p := range m.pending {
			if p.to == owner {
				m.pending = nil
				return p.req
			}
		}
		m.deliver()
	}
	return nil
}
