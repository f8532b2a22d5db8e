package pimentry

import (
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimgossip"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimseal"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Guards against heartbeats that do not fit a datagram and are never sent, while many backend servers have load, and against
// speeds that take the room of the loads.
func TestHeartbeatFitsADatagram(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	sealer, err := pimseal.New([]byte("0123456789abcdef0123456789abcdef"), pimseal.Identity{Node: 1})
	is.NoErr(err)
	m := &mesh{sealer: sealer}
	for _, reported := range []int{0, 5, 40, 200} {
		var reports []pimflow.Report
		for range reported {
			reports = append(reports, pimflow.Report{
				ID: pimcatalog.HostID(rng.Uint64()), Busy: rng.Float64() * 5, Open: rng.IntN(400), SilentFor: time.Duration(rng.Int64N(int64(20 * time.Second))),
				Slowness: rng.Float64() - 0.5, Weight: 24,
			})
		}
		hb := &pimmesh.Heartbeat{
			Name: "ikeja-vm-0001", DataCentre: "ikeja", Address: netip.MustParseAddrPort("10.1.2.3:7720"), Revision: 1 << 40, Base: 1 << 40,
			Age: time.Second, Claim: &pimmesh.Claim{Hash: rng.Uint64(), Age: time.Second}, SentAt: time.Hour, Incarnation: rng.Uint64(),
			Loads:       loads(reports),
			RemotePeers: []pimmesh.RemotePeer{{DataCentre: "apapa", Name: "apapa-vm-0001", Address: netip.MustParseAddrPort("10.2.2.3:7720"), SilentS: 9}},
		}
		hb.Echo = &pimmesh.Echo{Incarnation: rng.Uint64(), Offset: time.Duration(rng.Int64())}
		for range 6 {
			hb.Peers = append(hb.Peers, pimmesh.PeerAddress{Name: "ikeja-vm-0002", Address: netip.MustParseAddrPort("10.1.2.4:7720")})
		}
		for range 4 {
			hb.Remote = append(hb.Remote, pimmesh.ServiceLoad{DataCentre: pimid.DataCentre("apapa"), Service: "order-desk", Hosts: 50, Busy: 150, AgeMs: 1500})
		}
		datagram, err := m.encode(&pimmesh.Message{Heartbeat: hb})
		is.NoErr(err)
		is.True(len(datagram) <= pimseal.MaxDatagram)
		is.True(len(hb.Loads) >= min(reported, 24))
		remote, peers, withSpeeds := hb.Remote, hb.RemotePeers, len(datagram)
		hb.Remote, hb.RemotePeers = nil, nil
		for i := range hb.Loads {
			hb.Loads[i].Slowness, hb.Loads[i].Weight = 0, 0
		}
		datagram, err = m.encode(&pimmesh.Message{Heartbeat: hb})
		is.NoErr(err)
		t.Logf("%d backend servers with load: %d bytes with %d of them, %d loads and %d VMs of other data centres and speeds, %d without these",
			reported, withSpeeds, len(hb.Loads), len(remote), len(peers), len(datagram))
	}
}

// Guards against heartbeats and summaries that are never sent because long names of services do not fit a datagram: a VM with one other
// one in its data centre would count as failed there.
func TestLongNamesOfServicesFitADatagram(t *testing.T) {
	is := is.New(t)
	sealer, err := pimseal.New([]byte("0123456789abcdef0123456789abcdef"), pimseal.Identity{Node: 1})
	is.NoErr(err)
	m := &mesh{sealer: sealer}
	for _, size := range []int{100, 400, 2000} {
		var remote []pimmesh.ServiceLoad
		for range pimgossip.MaxSummary {
			remote = append(remote, pimmesh.ServiceLoad{DataCentre: "apapa", Service: pimcatalog.Service(strings.Repeat("s", size)), Hosts: 50, Busy: 150})
		}
		hb := &pimmesh.Heartbeat{Name: "ikeja-vm-0001", DataCentre: "ikeja", Remote: remote[:4:4], Loads: loads(make([]pimflow.Report, 40))}
		_, err = m.encode(&pimmesh.Message{Heartbeat: hb})
		is.NoErr(err)
		is.True(len(hb.Remote) > 0 == (size < 1000)) // those that fit are kept
		is.True(len(hb.Loads) > 0)
		_, err = m.encode(&pimmesh.Message{Summary: &pimmesh.Summary{Loads: remote}})
		is.NoErr(err)
		is.Equal(len(remote), pimgossip.MaxSummary)
	}
}
