package pimbalance

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/scenario/pimsim"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// backend is one simulated host.
type backend struct {
	id         pimid.BackendID
	generation pimid.Generation
	flows      int
	coldSince  pimclock.Instant
}

// world is the simulated system.
type world struct {
	*pimsim.Loop
	cfg      Config
	backends []*backend
	tables   []*pimpick.Hosts
	stats    stats
}

// Run simulates one policy and returns the report.
func Run(cfg Config) Report {
	w := &world{Loop: pimsim.NewLoop(cfg.Seed), cfg: cfg, stats: newStats()}
	for i := range hosts {
		w.backends = append(w.backends, &backend{id: pimid.BackendID(i + 1), generation: firstGeneration, coldSince: -pimclock.Instant(time.Hour)})
	}
	for range nodes {
		w.tables = append(w.tables, newHosts(cfg.Choice))
	}
	w.publish()
	w.Every(pollEvery, w.poll)
	w.Every(pollEvery, w.sample)
	if cfg.Faults {
		w.After(coldAt, w.restart)
	}
	w.arrivals()
	w.Run(pimclock.Instant(cfg.Length))
	return w.stats.report(cfg)
}

// publish gives the list of hosts to all VMs.
func (w *world) publish() {
	list := make([]pimpick.Host, 0, hosts)
	for _, b := range w.backends {
		list = append(list, pimpick.Host{ID: b.id, Generation: b.generation, Service: service, MaxConnections: maxFlows})
	}
	for _, t := range w.tables {
		t.SetHosts(w.Now(), list)
	}
}

// restart ends all flows of one host, which starts cold under a new generation.
func (w *world) restart() {
	b := w.backends[startsCold-1]
	b.generation++
	b.flows = 0
	b.coldSince = w.Now()
	w.publish()
}

// poll reads the load of every host and sends it to the VMs.
func (w *world) poll() {
	for _, b := range w.backends {
		count, ok := w.reported(b)
		if !ok {
			continue
		}
		at, generation := w.Now(), b.generation
		for _, t := range w.tables {
			w.After(time.Duration(w.Rand.Float64()*float64(w.cfg.ReportDelay)), func() {
				t.Report(b.id, generation, pimid.Connections(count), at)
			})
		}
	}
}

// reported is what the load endpoint of a host says.
func (w *world) reported(b *backend) (count int, ok bool) {
	if !w.cfg.Faults {
		return b.flows, true
	}
	switch b.id {
	case reportsZero:
		return 0, true
	case reportsTenth:
		return b.flows / 10, true
	case reportsNever:
		return 0, false
	default:
		return b.flows, true
	}
}

func (w *world) arrivals() {
	w.After(w.Exp(flowEvery), func() {
		w.open(w.Rand.IntN(nodes), w.Now(), openAttempts)
		w.arrivals()
	})
}

// open places one flow; a failed attempt is repeated on another choice of the same VM.
func (w *world) open(node int, created pimclock.Instant, left int) {
	t := w.tables[node]
	id, _, err := t.Pick(w.Now(), service, w.Rand)
	if err != nil || left == 0 {
		w.stats.refused++
		return
	}
	b := w.backends[id-1]
	if lost := w.fault(b); lost > 0 {
		w.stats.failed++
		w.After(lost, func() {
			t.Observe(w.Now(), id, false)
			w.open(node, created, left-1)
		})
		return
	}
	b.flows++
	took := w.openDuration(b)
	generation := b.generation
	w.After(took, func() {
		t.Observe(w.Now(), id, true)
		w.stats.opened(w.Now(), created)
	})
	w.After(w.Exp(meanFlow), func() {
		if b.generation == generation {
			b.flows--
		}
	})
}

// fault returns the time lost on a host that refuses or stays silent now.
func (w *world) fault(b *backend) time.Duration {
	now := time.Duration(w.Now())
	switch {
	case !w.cfg.Faults:
		return 0
	case b.id == refusesNew && now >= refusesFrom && now < refusesUntil:
		return refusedTime
	case b.id == staysSilent && now >= silentFrom && now < silentUntil:
		return silentTime
	default:
		return 0
	}
}

// openDuration grows with the used part of the connection limit, as the queue of a busy host does.
func (w *world) openDuration(b *backend) time.Duration {
	idle := max(1-float64(b.flows)/maxFlows, 0.01)
	d := time.Duration(float64(openTime) / idle)
	if w.Now().Sub(b.coldSince) < coldFor {
		// A cold host serves new flows slowly, the more of them it holds.
		d += time.Duration(coldFactor * float64(openTime) * float64(b.flows) / (maxFlows / 10))
	}
	return d
}
