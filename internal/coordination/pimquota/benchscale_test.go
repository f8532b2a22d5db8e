package pimquota

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// benchmarkView is a view with n contracts and one data centre of 380 VMs.
func benchmarkView(n int) *pimview.View {
	v := &pimview.View{Nodes: map[pimid.NodeID]pimview.Node{}, Contracts: map[pimid.ContractID]pimcontract.Contract{}}
	for id := range 380 {
		v.Nodes[pimid.NodeID(id)] = pimview.Node{ID: pimid.NodeID(id), DataCentre: "ikeja"}
	}
	for id := range n {
		v.Contracts[pimid.ContractID(id)] = pimcontract.Contract{
			ID: pimid.ContractID(id), Sources: []netip.Prefix{},
			Terms: pimcontract.Terms{RateLimit: 3800, Burst: 1520, FlowLimit: 10000},
		}
	}
	return v
}

// BenchmarkPublish is the cost of one publication with its extraction from the view, which happens every 500 ms.
func BenchmarkPublish(b *testing.B) {
	for _, n := range []int{100, 1000, scaleContracts} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, view, now := New(Config{Self: 1}), benchmarkView(n), pimclock.Instant(time.Hour)
			wall := time.Unix(0, 0)
			for b.Loop() {
				now = now.Add(simPublish)
				p.Publish(now, PublicationOf(view, 1, "ikeja", wall))
			}
		})
	}
}

// lendAll answers a solicitation with a loan for every contract.
func lendAll(req *pimpb.BorrowQuotaRequest, sequence uint64) *pimpb.BorrowQuotaReply {
	reply := &pimpb.BorrowQuotaReply{Solicited: true, Sequence: sequence, StampNs: req.GetEchoNs(), LenderIncarnation: 1}
	for _, id := range req.GetSolicited() {
		reply.Loans = append(reply.Loans, &pimpb.QuotaLoan{Contract: id, Rate: shareRate, Depth: shareDepth})
	}
	return reply
}

// BenchmarkTick is the cost of one tick, every 10 ms, on a VM with demand for all contracts: 20 borrow, the other
// demands fit the shares.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 1000, scaleContracts} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var sent []message
			p := New(Config{
				Self: 1, GrowthDelay: time.Nanosecond,
				OwnerOf: func(pimid.ContractID) pimid.NodeID { return 1 },
				Send:    func(to pimid.NodeID, req *pimpb.BorrowQuotaRequest) { sent = append(sent, message{to, req}) },
			})
			now := pimclock.Instant(time.Hour)
			pub := PublicationOf(benchmarkView(n), 1, "ikeja", time.Unix(0, 0))
			p.Publish(now, pub)
			for range 3 {
				now = now.Add(time.Second)
				p.Tick(now)
				p.Publish(now, pub)
			}
			for id := range n {
				p.Take(now, pimid.ContractID(id), 1)
			}
			for b.Loop() {
				now = now.Add(scaleStep)
				for id := range scaleBusy {
					p.Take(now, pimid.ContractID(id), 1)
				}
				p.Tick(now)
				for _, m := range sent {
					p.Deliver(now, m.to, lendAll(m.req, uint64(now)))
				}
				sent = sent[:0]
			}
			b.ReportMetric(float64(len(p.member.active)), "active")
		})
	}
}
