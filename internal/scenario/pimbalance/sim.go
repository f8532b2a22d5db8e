package pimbalance

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/scenario/pimsim"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// backend is one simulated backend server.
type backend struct {
	id         pimid.BackendID
	generation pimid.Generation
	flows      int
	// coldSince is the start of the last slow start.
	coldSince pimclock.Instant
}

// sim is the state of one run.
type sim struct {
	*pimsim.Loop
	cfg      Config
	backends []*backend
	tables   []*pimpick.Hosts
	stats    stats
}

// Run simulates one placement policy and returns the report.
func Run(cfg Config) Report {
	s := &sim{Loop: pimsim.NewLoop(cfg.Seed), cfg: cfg, stats: newStats()}
	for i := range hosts {
		s.backends = append(s.backends, &backend{id: pimid.BackendID(i + 1), generation: firstGeneration, coldSince: -pimclock.Instant(time.Hour)})
	}
	for range nodes {
		s.tables = append(s.tables, newHosts(cfg.Choice))
	}
	s.publish()
	s.Every(pollEvery, s.poll)
	s.Every(pollEvery, s.sample)
	if cfg.Faults {
		s.After(coldAt, s.restart)
	}
	s.arrivals()
	s.Run(pimclock.Instant(cfg.Length))
	return s.stats.report(cfg)
}

// publish sets the list of backend servers in the tables of all VMs.
func (s *sim) publish() {
	list := make([]pimpick.Host, 0, hosts)
	for _, b := range s.backends {
		list = append(list, pimpick.Host{ID: b.id, Generation: b.generation, Service: service, MaxConnections: maxFlows})
	}
	for _, t := range s.tables {
		t.SetHosts(s.Now(), list)
	}
}

// restart ends all flows of one backend server, which begins a slow start under a new generation.
func (s *sim) restart() {
	b := s.backends[startsCold-1]
	b.generation++
	b.flows = 0
	b.coldSince = s.Now()
	s.publish()
}

// poll reads the load of every backend server and sends it to all VMs, each after its own delay.
func (s *sim) poll() {
	for _, b := range s.backends {
		count, ok := s.reported(b)
		if !ok {
			continue
		}
		at, generation := s.Now(), b.generation
		for _, t := range s.tables {
			s.After(time.Duration(s.Rand.Float64()*float64(s.cfg.ReportDelay)), func() {
				t.Report(b.id, generation, pimid.Connections(count), at)
			})
		}
	}
}

// reported returns the number of flows that the load endpoint of a backend server reports; ok is false without a
// report.
func (s *sim) reported(b *backend) (count int, ok bool) {
	if !s.cfg.Faults {
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

// arrivals creates flows at random VMs.
func (s *sim) arrivals() {
	s.After(s.Exp(flowEvery), func() {
		s.open(s.Rand.IntN(nodes), s.Now(), openAttempts)
		s.arrivals()
	})
}

// open places one flow. After a failed attempt, the same VM picks again while attempts are left.
func (s *sim) open(node int, created pimclock.Instant, left int) {
	t := s.tables[node]
	id, _, err := t.Pick(s.Now(), service, s.Rand)
	if err != nil || left == 0 {
		s.stats.refused++
		return
	}
	b := s.backends[id-1]
	if lost := s.faultDelay(b); lost > 0 {
		s.stats.failed++
		s.After(lost, func() {
			t.Observe(s.Now(), id, false)
			s.open(node, created, left-1)
		})
		return
	}
	b.flows++
	took := s.openDuration(b)
	generation := b.generation
	s.After(took, func() {
		t.Observe(s.Now(), id, true)
		s.stats.opened(s.Now(), created)
	})
	s.After(s.Exp(meanFlow), func() {
		if b.generation == generation {
			b.flows--
		}
	})
}

// faultDelay returns the time that an attempt takes on a backend server that refuses or does not answer now, and 0 for
// one without such a fault.
func (s *sim) faultDelay(b *backend) time.Duration {
	now := time.Duration(s.Now())
	switch {
	case !s.cfg.Faults:
		return 0
	case b.id == refusesNew && now >= refusesFrom && now < refusesUntil:
		return refusedTime
	case b.id == doesNotAnswer && now >= noAnswerFrom && now < noAnswerUntil:
		return noAnswerTime
	default:
		return 0
	}
}

// openDuration returns the time to open a flow. It grows with the used fraction of the connection limit, as the queue
// of a busy backend server does.
func (s *sim) openDuration(b *backend) time.Duration {
	idle := max(1-float64(b.flows)/maxFlows, 0.01)
	d := time.Duration(float64(openTime) / idle)
	if s.Now().Sub(b.coldSince) < coldFor {
		// In slow start, a backend server opens new flows the more slowly the more flows it holds.
		d += time.Duration(coldFactor * float64(openTime) * float64(b.flows) / (maxFlows / 10))
	}
	return d
}
