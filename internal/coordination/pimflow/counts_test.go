package pimflow

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Guards against counts of a backend server that leak or fall below zero when flows are copied, move, expire, are abandoned, or belong to a
// backend server that has left the catalog: admission would refuse flows for ever, or place too many.
func TestCountsMatchTheFlows(t *testing.T) {
	for seed := range uint64(40) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		cfg := DefaultSettings()
		cfg.MaxFlows = 12
		table, now := New(cfg), pimclock.Instant(time.Hour)
		packet := func() *pimpacket.Packet {
			p := &pimpacket.Packet{Seq: pimpacket.Sequence(10 * rng.IntN(4)), Acked: pimpacket.Sequence(10 * rng.IntN(4)), Data: 10 * rng.IntN(2)}
			p.Flow.Caller = netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(rng.IntN(16)))
			if rng.IntN(8) == 0 {
				p.Flags |= pimpacket.Close
			}
			return p
		}
		for range 2000 {
			id := pimcatalog.HostID(1 + rng.IntN(4))
			switch rng.IntN(12) {
			case 0:
				table.Abandon(now, id)
			case 1:
				table.Prune(now, pimcatalog.NewCatalog(1, nil, []*pimcatalog.Host{{ID: id, StartedAt: int64(rng.IntN(2))}}))
			case 2:
				now = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
				table.Expire(now)
			case 3, 4, 5, 6:
				table.RecordOpening(now, packet(), id)
			default:
				table.RecordForwarded(now, packet(), id)
			}
			now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
			want := map[pimcatalog.HostID]Load{}
			for _, r := range table.flows {
				l := want[r.host]
				l.Open++
				if r.running {
					l.Busy++
				}
				if r.isExpected {
					l.Expected++
				}
				want[r.host] = l
			}
			for id := range pimcatalog.HostID(5) {
				got := table.Load(now, id)
				is.Equal(Load{Busy: got.Busy, Expected: got.Expected, Open: got.Open}, want[id])
			}
		}
		table.Expire(now.Add(2 * cfg.RunningFor))
		for id := range pimcatalog.HostID(5) {
			load := table.Load(now, id)
			is.Equal(load.UnderWay(), 0.0)
		}
		table.Expire(now.Add(2 * cfg.IdleFor))
		is.Equal(table.Len(), 0)
		table.Prune(now, pimcatalog.NewCatalog(2, nil, nil))
		is.Equal(len(table.hosts), 0)
	}
}

// BenchmarkReports measures what an exchange of loads costs every 200 ms with 2,200 backend servers.
func BenchmarkReports(b *testing.B) {
	table := New(DefaultSettings())
	reported := map[pimcatalog.HostID]Elsewhere{}
	var hosts []*pimcatalog.Host
	for i := range 2200 {
		id := pimcatalog.HostID(i + 1)
		reported[id] = Elsewhere{Busy: 1, Open: 3, Slowness: 0.1, Weight: 3}
		hosts = append(hosts, &pimcatalog.Host{ID: id, Service: "desk", DataCentre: "ikeja", Slots: 2})
	}
	c := pimcatalog.NewCatalog(1, nil, hosts)
	now := pimclock.Instant(time.Hour)
	for b.Loop() {
		now = now.Add(200 * time.Millisecond)
		table.Report(now)
		table.Prune(now, c)
		table.SetElsewhere(now, func(yield func(pimcatalog.HostID, Elsewhere) bool) {
			for id, e := range reported {
				if !yield(id, e) {
					return
				}
			}
		})
	}
}
