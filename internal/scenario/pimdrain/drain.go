package pimdrain

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimslot"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/scenario/pimsim"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Config describes one run.
type Config struct {
	Seed uint64
	// Nodes is the number of VMs of the data centre.
	Nodes int
	// Loss is the probability that a gossip message is lost.
	Loss float64
	// Push is the number of random VMs to which a VM forwards a status change as soon as it receives it. With zero,
	// only the periodic probes carry the change.
	Push int
}

const (
	service        pimid.ServiceID = 1
	leavingBackend pimid.BackendID = 1
)

const (
	hostCount = 5
	// pollEvery is the period of the owner's load polls, gossipEvery that of the probes that carry status updates.
	pollEvery, gossipEvery = time.Second, time.Second
	messageDelay           = 2 * time.Millisecond
	flowEvery              = 5 * time.Millisecond
	runLength              = 20 * time.Second
	requestTime            = 50 * time.Millisecond
)

// Report is the result of one run.
type Report struct {
	// LastFlow and LastRequest are the times from the start of the drain to the last new flow and the last request on
	// the draining backend server.
	LastFlow, LastRequest time.Duration
	// Flows and Requests count the new flows and the requests on that backend server before the drain.
	Flows, Requests int
}

// sim is the state of one run. The first VM owns all backend servers.
type sim struct {
	*pimsim.Loop
	cfg    Config
	tables []*pimpick.Hosts
	// known tells for each VM whether it knows of the drain.
	known []bool
	// probeOrder holds for each VM the shuffled list of targets that it has not probed yet in this round.
	probeOrder [][]int
	owner      *pimslot.Core
	lastOffer  pimslot.OfferID
	drainAt    pimclock.Instant
	report     Report
}

// Run simulates one drain that starts at a random instant between 5 s and 6 s.
func Run(cfg Config) Report {
	s := &sim{Loop: pimsim.NewLoop(cfg.Seed), cfg: cfg, owner: pimslot.NewCore(pimslot.DefaultConfig()), known: make([]bool, cfg.Nodes), probeOrder: make([][]int, cfg.Nodes)}
	s.drainAt = pimclock.Instant(5*time.Second + time.Duration(s.Rand.Float64()*float64(time.Second)))
	list := make([]pimpick.Host, 0, hostCount)
	for i := range hostCount {
		list = append(list, pimpick.Host{ID: pimid.BackendID(i + 1), Generation: 1, Service: service, MaxConnections: 1_000_000})
	}
	for i := range cfg.Nodes {
		t := pimpick.NewHosts(pimpick.DefaultConfig(cfg.Nodes), pimpick.PowerOfTwo{})
		t.SetHosts(s.Now(), list)
		s.tables = append(s.tables, t)
		s.After(s.Jitter(gossipEvery, 1)/2, func() { s.Every(gossipEvery, func() { s.probe(i) }) })
	}
	s.owner.SetPolicy(0, pimslot.Policy{Service: service, Contracts: []pimslot.ContractTerms{
		{ID: 1, Terms: pimcontract.Terms{BorrowLimit: 100}},
	}})
	s.updateOwner()
	s.Every(pollEvery, s.poll)
	s.Every(flowEvery, s.offerLoad)
	s.Run(pimclock.Instant(runLength))
	return s.report
}

func (s *sim) draining() bool { return !s.Now().Before(s.drainAt) }

// updateOwner sets the state of the backend servers at their owner, as a load poll reads it.
func (s *sim) updateOwner() {
	list := make([]pimslot.Host, 0, hostCount)
	for i := range hostCount {
		id := pimid.BackendID(i + 1)
		list = append(list, pimslot.Host{ID: id, Generation: 1, Service: service, Slots: 2, Draining: id == leavingBackend && s.draining()})
	}
	s.owner.SetHosts(s.Now(), list)
}

// poll simulates a load poll of the owner, which applies a drain at once and sends it to other VMs.
func (s *sim) poll() {
	s.updateOwner()
	if s.draining() {
		s.learnDrain(0)
	}
}

// learnDrain excludes the draining backend server from new flows of a VM and forwards the change to Push random VMs.
func (s *sim) learnDrain(node int) {
	if s.known[node] {
		return
	}
	s.known[node] = true
	s.tables[node].SetStatus(leavingBackend, 1, true, false)
	for range s.cfg.Push {
		s.send(node, s.Rand.IntN(s.cfg.Nodes), func() {})
	}
}

// probe simulates one probe of the failure detector and its answer, which carry updates in both directions. In each
// round, a VM probes every other VM once, in random order.
func (s *sim) probe(from int) {
	if len(s.probeOrder[from]) == 0 {
		s.probeOrder[from] = s.Rand.Perm(s.cfg.Nodes)
	}
	to := s.probeOrder[from][0]
	s.probeOrder[from] = s.probeOrder[from][1:]
	if to == from {
		s.probe(from)
		return
	}
	s.send(from, to, func() { s.send(to, from, func() {}) })
}

// send sends a gossip message, which is lost with the configured probability, and calls then on its arrival. The
// message carries what the sender knows at the time of sending.
func (s *sim) send(from, to int, then func()) {
	if s.Rand.Float64() < s.cfg.Loss {
		return
	}
	known := s.known[from]
	s.After(messageDelay, func() {
		if known {
			s.learnDrain(to)
		}
		then()
	})
}

// offerLoad opens one flow at a random VM and offers one request to the owner.
func (s *sim) offerLoad() {
	table := s.tables[s.Rand.IntN(s.cfg.Nodes)]
	if id, _, err := table.Pick(s.Now(), service, s.Rand); err == nil && id == leavingBackend {
		s.recordWork(&s.report.Flows, &s.report.LastFlow)
	}
	s.lastOffer++
	d := s.owner.Offer(s.Now(), s.lastOffer, pimslot.SlotRequest{Service: service, Contract: 1, Deadline: s.Now().Add(time.Second)})
	for _, g := range d {
		if g.Refusal != nil {
			continue
		}
		if g.Grant.Backend == leavingBackend {
			s.recordWork(&s.report.Requests, &s.report.LastRequest)
		}
		grant := g.Grant.ID
		s.After(requestTime, func() {
			_, _ = s.owner.Release(s.Now(), grant, pimslot.Result{Outcome: pimedge.OutcomeAnswered, Duration: requestTime})
		})
	}
}

// recordWork counts new work before the drain, or sets the time of the last new work after its start.
func (s *sim) recordWork(before *int, last *time.Duration) {
	if s.draining() {
		*last = s.Now().Sub(s.drainAt)
		return
	}
	*before++
}
