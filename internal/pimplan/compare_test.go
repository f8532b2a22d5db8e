package pimplan

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// publication returns a publication with two contracts of one service, and four backend servers and four VMs in one data
// centre.
func publication() *pimcontract.Publication {
	address := netip.MustParseAddrPort
	p := &pimcontract.Publication{
		Services: []pimcontract.Service{{ID: 1, Name: "order_desk", Address: address("127.0.0.1:1")}},
		Contracts: []pimcontract.Contract{
			{ID: 1, Customer: "plants", Service: 1, Sources: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}},
			{ID: 2, Customer: "clerks", Service: 1, Sources: []netip.Prefix{netip.MustParsePrefix("11.0.0.0/8")}},
		},
	}
	for i := range 4 {
		p.Backends = append(p.Backends, pimcontract.Backend{
			ID: pimid.BackendID(i + 1), Generation: 1, Service: 1, DataCentre: "ikeja", Slots: 2, MaxConnections: 9,
			FlowAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), uint16(i+1)), State: pimcontract.StateLive,
		})
		p.Nodes = append(p.Nodes, pimcontract.Node{ID: pimid.NodeID(i + 1), DataCentre: "ikeja", State: pimcontract.StateLive})
	}
	for i := range p.Contracts {
		p.Contracts[i].Terms = pimcontract.Terms{RateLimit: 40, Burst: 8, FlowLimit: 100, GuaranteedSlots: 3, ShareWeight: 1}
	}
	return p
}

// Guards against harmful changes without a warning, warnings about harmless changes, and a wrong number of backend
// servers whose flows break.
func TestWarnings(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(p *pimcontract.Publication)
		want   string
		broken int
	}{
		{"nothing", func(*pimcontract.Publication) {}, "", 0},
		{"backend server drains", func(p *pimcontract.Publication) { p.Backends[0].State = pimcontract.StateLeaving }, "", 0},
		{"backend server removed", func(p *pimcontract.Publication) { p.Backends = p.Backends[:3] }, "without a drain", 1},
		{"backend server restarted", func(p *pimcontract.Publication) { p.Backends[0].Generation++ }, "", 1},
		{"address reused", func(p *pimcontract.Publication) { p.Backends[0].ID = 9 }, "reuses the address", 1},
		{"contract removed", func(p *pimcontract.Publication) { p.Contracts = p.Contracts[:1] }, "no_contract", 0},
		{"sources", func(p *pimcontract.Publication) { p.Contracts[0].Sources = nil }, "no longer belong", 0},
		{"guarantee", func(p *pimcontract.Publication) { p.Contracts[1].Terms.GuaranteedSlots = 2 }, "from 3 to 2", 0},
		{"sum", func(p *pimcontract.Publication) { p.Contracts[1].Terms.GuaranteedSlots = 6 }, "add up to 9", 0},
		{"rate", func(p *pimcontract.Publication) { p.Contracts[1].Terms.RateLimit = 2 }, "0.5 requests per second", 0},
		{"burst", func(p *pimcontract.Publication) { p.Contracts[1].Terms.Burst = 1.5 }, "the burst in ikeja is 1.5", 0},
		{"VM removed", func(p *pimcontract.Publication) { p.Nodes = p.Nodes[:3] }, "home VM", 0},
		{"no VM", func(p *pimcontract.Publication) { p.Nodes = nil }, "no live VM", 0},
		{"service", func(p *pimcontract.Publication) { p.Services = nil }, "is removed", 4},
		{"address", func(p *pimcontract.Publication) { p.Services[0].Address = netip.AddrPort{} }, "", 4},
	} {
		is := is.New(t)
		after := publication()
		tt.change(after)
		r := Compare(publication(), after, time.Unix(0, 0), Rendezvous)
		var text []string
		for _, w := range r.Warnings {
			text = append(text, w.Subject+" "+w.Reason)
		}
		is.Equal(len(text) > 0, tt.want != "")                       // tt.name
		is.True(strings.Contains(strings.Join(text, "; "), tt.want)) // tt.name
		broken := 0
		for _, f := range r.Flows {
			if f.Broken {
				broken++
			}
		}
		is.Equal(broken, tt.broken) // tt.name
	}
}

// Guards against a choice of slot owners in which the removal of one VM moves slots of other VMs, or in which the slots
// are spread unevenly.
func TestRendezvousMovesOnlySlotsOfRemovedVM(t *testing.T) {
	is := is.New(t)
	all, owned := []pimid.NodeID{1, 2, 3, 4, 5, 6, 7, 8}, map[pimid.NodeID]int{}
	for b := range pimid.BackendID(8000) {
		owner := Rendezvous(b, all)
		owned[owner]++
		if owner != 8 {
			is.Equal(Rendezvous(b, all[:7]), owner)
		}
	}
	for _, id := range all {
		is.True(owned[id] > 850 && owned[id] < 1150)
	}
	is.Equal(Rendezvous(1, nil), pimid.NodeID(0))
}
