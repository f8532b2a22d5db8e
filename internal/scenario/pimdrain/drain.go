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
	// Loss is the part of gossip messages that are lost.
	Loss float64
	// Push is the number of VMs to which a VM forwards a status change as soon as it learns it; zero leaves the change
	// to the periodic probes.
	Push int
}

const (
	service pimid.ServiceID = 1
	leaving pimid.BackendID = 1
)

const (
	hosts = 5
	// pollEvery is the period of the owners' load polls, gossipEvery that of the probes that carry status updates.
	pollEvery, gossipEvery = time.Second, time.Second
	messageDelay           = 2 * time.Millisecond
	flowEvery              = 5 * time.Millisecond
	length                 = 20 * time.Second
	requestTime            = 50 * time.Millisecond
)

// Report is the result of one run.
type Report struct {
	// LastFlow and LastRequest are the times from the begin of the drain to the last new work on the host.
	LastFlow, LastRequest time.Duration
	// Flows and Requests count the new work on the host before the drain.
	Flows, Requests int
}

// world holds the VMs' tables; the owner of all hosts is the first VM.
type world struct {
	*pimsim.Loop
	cfg    Config
	tables []*pimpick.Hosts
	known  []bool
	// order is the shuffled list of targets that a VM has not probed yet in this round.
	order   [][]int
	owner   *pimslot.Core
	offers  pimslot.OfferID
	drainAt pimclock.Instant
	report  Report
}

// Run simulates one drain at a random instant.
func Run(cfg Config) Report {
	w := &world{Loop: pimsim.NewLoop(cfg.Seed), cfg: cfg, owner: pimslot.NewCore(pimslot.DefaultConfig()), known: make([]bool, cfg.Nodes), order: make([][]int, cfg.Nodes)}
	w.drainAt = pimclock.Instant(5*time.Second + time.Duration(w.Rand.Float64()*float64(time.Second)))
	list := make([]pimpick.Host, 0, hosts)
	for i := range hosts {
		list = append(list, pimpick.Host{ID: pimid.BackendID(i + 1), Generation: 1, Service: service, MaxConnections: 1_000_000})
	}
	for i := range cfg.Nodes {
		t := pimpick.NewHosts(pimpick.DefaultConfig(cfg.Nodes), pimpick.PowerOfTwo{})
		t.SetHosts(w.Now(), list)
		w.tables = append(w.tables, t)
		w.After(w.Jitter(gossipEvery, 1)/2, func() { w.Every(gossipEvery, func() { w.probe(i) }) })
	}
	w.owner.SetPolicy(0, pimslot.Policy{Service: service, Contracts: []pimslot.ContractTerms{
		{ID: 1, Terms: pimcontract.Terms{BorrowLimit: 100}},
	}})
	w.ownHosts()
	w.Every(pollEvery, w.poll)
	w.Every(flowEvery, w.work)
	w.Run(pimclock.Instant(length))
	return w.report
}

func (w *world) draining() bool { return !w.Now().Before(w.drainAt) }

// ownHosts gives the owner the state of its hosts as it was last polled.
func (w *world) ownHosts() {
	list := make([]pimslot.Host, 0, hosts)
	for i := range hosts {
		id := pimid.BackendID(i + 1)
		list = append(list, pimslot.Host{ID: id, Generation: 1, Service: service, Slots: 2, Draining: id == leaving && w.draining()})
	}
	w.owner.SetHosts(w.Now(), list)
}

// poll reads the load endpoints; the owner applies a drain at once.
func (w *world) poll() {
	w.ownHosts()
	if w.draining() {
		w.learn(0)
	}
}

func (w *world) learn(node int) {
	if w.known[node] {
		return
	}
	w.known[node] = true
	w.tables[node].SetStatus(leaving, 1, true, false)
	for range w.cfg.Push {
		w.message(node, w.Rand.IntN(w.cfg.Nodes), func() {})
	}
}

// probe is one exchange of the failure detector, which carries updates in both directions; each round reaches every
// other VM once, in random order.
func (w *world) probe(from int) {
	if len(w.order[from]) == 0 {
		w.order[from] = w.Rand.Perm(w.cfg.Nodes)
	}
	to := w.order[from][0]
	w.order[from] = w.order[from][1:]
	if to == from {
		w.probe(from)
		return
	}
	w.message(from, to, func() { w.message(to, from, func() {}) })
}

func (w *world) message(from, to int, then func()) {
	if w.Rand.Float64() < w.cfg.Loss {
		return
	}
	known := w.known[from]
	w.After(messageDelay, func() {
		if known {
			w.learn(to)
		}
		then()
	})
}

// work opens one flow at a random VM and runs one request.
func (w *world) work() {
	table := w.tables[w.Rand.IntN(w.cfg.Nodes)]
	if id, _, err := table.Pick(w.Now(), service, w.Rand); err == nil && id == leaving {
		w.note(&w.report.Flows, &w.report.LastFlow)
	}
	w.offers++
	d := w.owner.Offer(w.Now(), w.offers, pimslot.SlotRequest{Service: service, Contract: 1, Deadline: w.Now().Add(time.Second)})
	for _, g := range d {
		if g.Refusal != nil {
			continue
		}
		if g.Grant.Backend == leaving {
			w.note(&w.report.Requests, &w.report.LastRequest)
		}
		grant := g.Grant.ID
		w.After(requestTime, func() {
			_, _ = w.owner.Release(w.Now(), grant, pimslot.Result{Outcome: pimedge.OutcomeAnswered, Duration: requestTime})
		})
	}
}

func (w *world) note(before *int, last *time.Duration) {
	if w.draining() {
		*last = w.Now().Sub(w.drainAt)
		return
	}
	*before++
}
