package pimflows

import "github.com/pimentoyard/pimentoyard/pkg/pimid"

// startTime is the wall-clock time at the start of a run in unix seconds.
const startTime = 1_700_000_000

// attacksPerSecond is the number of flows for which forged packets are sent each second.
const attacksPerSecond = 2

// sim is the state of one run.
type sim struct {
	cfg      Config
	env      *environment
	fleet    []*vm
	flows    []*flow
	ended    []flow
	report   Report
	nextVM   pimid.NodeID
	nextFlow uint64
}

// Run simulates the fleet and returns the counters.
func Run(cfg Config) Report {
	s := &sim{cfg: cfg, env: newEnvironment(&cfg, startTime)}
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
			s.env.now += cfg.Idle
		}
		s.step()
	}
	return s.report
}

// step advances the simulation by one second.
func (s *sim) step() {
	s.env.now++
	s.endDrainedFlows()
	s.removeHosts()
	s.reuseAddresses()
	s.replaceVMs()
	for _, m := range s.fleet {
		m.catchUp()
	}
	for _, f := range s.flows {
		if f.nextAt <= s.env.now {
			s.send(f)
		}
	}
	for range attacksPerSecond {
		s.sendForged(s.flows[s.env.rng.IntN(len(s.flows))])
		if len(s.ended) > 0 {
			s.sendLate(&s.ended[s.env.rng.IntN(len(s.ended))])
		}
	}
}

// endDrainedFlows ends the flows on leaving backend servers, as their callers do, in the second half of the time
// between two changes.
func (s *sim) endDrainedFlows() {
	if len(s.env.leaving) == 0 || s.cfg.Deaths {
		return
	}
	since := int(s.env.now-startTime) % s.cfg.ChangeEvery
	if since < s.cfg.ChangeEvery/2 {
		return
	}
	leaving := make(map[*host]bool, len(s.env.leaving))
	for _, h := range s.env.leaving {
		leaving[h] = true
	}
	for _, f := range s.flows {
		if f.host != nil && leaving[f.host] {
			s.report.Ended++
			s.endFlow(f)
		}
	}
}
