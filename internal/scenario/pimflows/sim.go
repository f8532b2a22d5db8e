package pimflows

import "github.com/pimentoyard/pimentoyard/pkg/pimid"

// startTime is the wall clock at the start of a run in unix seconds.
const startTime = 1_700_000_000

// attacksPerSecond is the number of flows that are imitated each second.
const attacksPerSecond = 2

// sim is one run.
type sim struct {
	cfg      Config
	w        *world
	fleet    []*vm
	flows    []*flow
	ended    []flow
	report   Report
	nextVM   pimid.NodeID
	nextFlow uint64
}

// Run simulates the fleet and returns what it has counted.
func Run(cfg Config) Report {
	s := &sim{cfg: cfg, w: newWorld(&cfg, startTime)}
	for range cfg.VMs {
		s.fleet = append(s.fleet, s.startVM())
	}
	for range cfg.Flows {
		s.flows = append(s.flows, s.newFlow())
	}
	for second := range cfg.Seconds {
		if second > 0 && second%cfg.ChangeEvery == 0 {
			s.change()
		}
		if second == cfg.Seconds/2 {
			s.w.now += cfg.Idle
		}
		s.second()
	}
	return s.report
}

// second lets every part act once.
func (s *sim) second() {
	s.w.now++
	s.drain()
	s.removeHosts()
	s.reuseAddresses()
	s.replaceVMs()
	for _, m := range s.fleet {
		m.catchUp()
	}
	for _, f := range s.flows {
		if f.nextAt <= s.w.now {
			s.send(f)
		}
	}
	for range attacksPerSecond {
		s.attack(s.flows[s.w.rng.IntN(len(s.flows))])
		if len(s.ended) > 0 {
			s.late(&s.ended[s.w.rng.IntN(len(s.ended))])
		}
	}
}

// drain lets callers end their flows at leaving backend servers in the second half of the time between two changes.
func (s *sim) drain() {
	if len(s.w.leaving) == 0 || s.cfg.Deaths {
		return
	}
	since := int(s.w.now-startTime) % s.cfg.ChangeEvery
	if since < s.cfg.ChangeEvery/2 {
		return
	}
	leaving := make(map[*host]bool, len(s.w.leaving))
	for _, h := range s.w.leaving {
		leaving[h] = true
	}
	for _, f := range s.flows {
		if f.host != nil && leaving[f.host] {
			s.report.Ended++
			s.endFlow(f)
		}
	}
}
