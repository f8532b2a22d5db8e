package pimquota

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// benchmarkPool returns a VM that owns the pools of n contracts.
func benchmarkPool(n int) *Pool {
	p := New(Config{OwnerOf: func(pimid.ContractID) pimid.NodeID { return 0 }, GrowthDelay: time.Nanosecond})
	limits := map[pimid.ContractID]Limit{}
	for id := range n {
		limits[pimid.ContractID(id)] = Limit{Rate: 1e12, Burst: 1e9, DataCentreFraction: 1}
	}
	p.Publish(0, Publication{Nodes: 1, Listed: true, Limits: limits})
	for now := pimclock.Instant(0); now < pimclock.Instant(2*time.Second); now = now.Add(simStep) {
		p.Tick(now)
		p.Take(now, 0, 1)
	}
	return p
}

func BenchmarkTake(b *testing.B) {
	p := benchmarkPool(1)
	now := pimclock.Instant(2 * time.Second)
	for b.Loop() {
		p.Take(now, 0, 1)
	}
}

func BenchmarkTick100Contracts(b *testing.B) {
	p := benchmarkPool(100)
	now := pimclock.Instant(2 * time.Second)
	for b.Loop() {
		now = now.Add(simStep)
		p.Tick(now)
	}
}

// BenchmarkBorrow380 is the owner's cost of one request in a data centre of 380 VMs, and the size of its messages.
func BenchmarkBorrow380(b *testing.B) {
	o := newOwner(5)
	now := pimclock.Instant(time.Minute)
	sequence, bytes := uint64(0), 0
	for b.Loop() {
		sequence++
		now = now.Add(500 * time.Microsecond)
		req := &pimpb.BorrowQuotaRequest{
			Node: uint32(sequence % 380), Incarnation: 1 << 60, Sequence: sequence, LeaseNs: int64(lease),
			EchoNs: int64(now.Add(-200 * time.Millisecond)), OwnerIncarnation: 5,
			Demands: []*pimpb.QuotaDemand{{Contract: 1, Rate: 10.5, LentRate: 11.25, LentDepth: 1.5}},
		}
		reply := o.borrow(now, req)
		bytes = proto.Size(req) + proto.Size(reply)
	}
	b.ReportMetric(float64(bytes), "bytes/exchange")
}
