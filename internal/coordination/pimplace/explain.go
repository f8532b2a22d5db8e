package pimplace

import (
	"math"
	"math/rand/v2"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimadmit"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// CandidateKind says how a decision regards a backend server.
type CandidateKind string

// The kinds of candidates.
const (
	// CandidateOwn is a backend server of this VM's share.
	CandidateOwn CandidateKind = "own"
	// CandidateShared is another backend server of the data centre, or any of them if the service has no shares.
	CandidateShared CandidateKind = "shared"
	// CandidateRemote is a backend server of another data centre.
	CandidateRemote CandidateKind = "remote"
	// CandidateAvoided has not answered recently and is used only if there is no other.
	CandidateAvoided CandidateKind = "avoided"
	// CandidateExcluded may receive no new flow from this VM now.
	CandidateExcluded CandidateKind = "excluded"
	// CandidateNotExamined was not needed, since a better kind of backend server has room.
	CandidateNotExamined CandidateKind = "not_examined"
)

var admissionKinds = map[pimadmit.Kind]CandidateKind{
	pimadmit.Own: CandidateOwn, pimadmit.Shared: CandidateShared, pimadmit.Remote: CandidateRemote, pimadmit.Avoided: CandidateAvoided,
}

// Candidate is one backend server of the service of a flow, as the decision regards it.
type Candidate struct {
	Host *pimcatalog.Host
	Kind CandidateKind
	// Reason is why an excluded one may receive no new flow.
	Reason pimsteer.Reason
	Load   Load
	// Speed is relative to the mean; IsSuspect is set if new flows avoid the backend server.
	Speed     float64
	IsSuspect bool
	// Places is the number of requests that this VM may have under way there; zero outside its own share.
	Places pimadmit.Places
	// Value is the filled part of the places for an own backend server, the requests per slot for a shared or remote one, the cost for
	// all others and for services without admission.
	Value float64
	// Wait is what the decision compares within a kind, the least being the best. For own and shared ones it depends on the speed and on
	// the slow start, unlike Value; for all others it is Value.
	Wait float64
	// IsFull is set for an own or shared one that has no room for the flow; others of its kind come first.
	IsFull bool
	// IsCost is set if Value is a cost.
	IsCost bool
	// IsClosed is set for a remote one whose data centre has no room for further requests of this VM; others come first.
	IsClosed bool
	// IsTie is set for the chosen backend server and for those that only chance has ruled out.
	IsTie bool
	open  float64
}

// Explanation is how a flow would be placed, without placing it.
type Explanation struct {
	Service   pimcatalog.Service
	Placement pimsteer.Placement
	// Admission is nil if flows of the service are never refused for lack of room.
	Admission *AdmissionExplanation
	// Candidates are the backend servers of the service in the order of the catalog.
	Candidates []Candidate
	// isDeferred is set if Place would remember that no copy of the opening packet has been forwarded.
	isDeferred bool
}

// AdmissionExplanation is what a VM compares for a service whose routes have different priorities.
type AdmissionExplanation struct {
	Level pimadmit.Level
	// Limit is the part of the places that the flow may help to fill.
	Limit float64
	// Places is the number of requests that the VM may have under way at the backend servers of its share, Filled that which it has.
	Places pimadmit.Places
	Filled int
	// IsPressureHigh is set if flows that find no place are refused at once.
	IsPressureHigh bool
	// Remote are the data centres that the decision has examined.
	Remote []RemoteExplanation
}

// RemoteExplanation is what a VM may send to one other data centre.
type RemoteExplanation struct {
	DataCentre pimid.DataCentre
	// UnderWay is the number of requests of this VM there, Room that up to which it may send more.
	UnderWay int
	Room     float64
}

// trace collects the candidates of a decision; the nil value collects nothing.
type trace struct {
	candidates map[pimcatalog.HostID]Candidate
	demand     pimadmit.Demand
	remote     []RemoteExplanation
}

func (t *trace) set(c *Candidate) { t.candidates[c.Host.ID] = *c }

func (t *trace) addExcluded(h *pimcatalog.Host, reason pimsteer.Reason) {
	if t != nil {
		t.set(&Candidate{Host: h, Kind: CandidateExcluded, Reason: reason})
	}
}

// addCost adds a candidate of a service without admission.
func (t *trace) addCost(h *pimcatalog.Host, cost float64, isHome bool) {
	if t == nil {
		return
	}
	kind := CandidateRemote
	if isHome {
		kind = CandidateShared
	}
	t.set(&Candidate{Host: h, Kind: kind, Value: cost, Wait: cost, IsCost: true})
}

// add adds a candidate of a service with admission.
func (t *trace) add(kind pimadmit.Kind, h *pimcatalog.Host, u *pimadmit.Use, isFull bool) {
	if t == nil {
		return
	}
	c := Candidate{
		Host: h, Kind: admissionKinds[kind], Value: u.Wait, Wait: u.Wait, IsFull: isFull, IsCost: kind == pimadmit.Avoided, open: u.Open,
	}
	if kind == pimadmit.Own || kind == pimadmit.Shared {
		c.Value = u.Fill
	}
	t.set(&c)
}

// addRemote adds a data centre with the load that its own VMs cause.
func (t *trace) addRemote(r *remoteShare, perSlot, room float64, isOpen bool) {
	if t == nil {
		return
	}
	t.remote = append(t.remote, RemoteExplanation{DataCentre: r.dataCentre, UnderWay: r.busy, Room: room})
	for id, c := range t.candidates {
		if c.Kind == CandidateRemote && c.Host.DataCentre == r.dataCentre {
			c.Value += perSlot
			c.Wait = c.Value
			c.IsClosed = !isOpen
			t.candidates[id] = c
		}
	}
}

func (t *trace) setDemand(d *pimadmit.Demand) {
	if t != nil {
		t.demand = *d
	}
}

// Explain returns how a flow of a route to one of its services would be placed now. It uses the decision of Place on a copy of the
// placer, so nothing is recorded and no random number of Place is used. The policy of the placer must not have a state. If an earlier
// copy of the packet was explained, before is that explanation: a flow of which it has forwarded no copy counts as such.
func (p *Placer) Explain(
	now pimclock.Instant, c *pimcatalog.Catalog, service pimcatalog.Service, route *pimcatalog.Route, pkt *pimpacket.Packet,
	before *Explanation,
) Explanation {
	// With a fixed seed, the same state gives the same answer, also among equals.
	return p.explainWith(rand.New(rand.NewPCG(1, 1)), now, c, service, route, pkt, before)
}

// explainWith is Explain with the given random numbers.
func (p *Placer) explainWith(
	rng *rand.Rand, now pimclock.Instant, c *pimcatalog.Catalog, service pimcatalog.Service, route *pimcatalog.Route, pkt *pimpacket.Packet,
	before *Explanation,
) Explanation {
	q, wasDeferred := *p, before != nil && before.isDeferred
	q.rng, q.trace = rng, &trace{candidates: map[pimcatalog.HostID]Candidate{}}
	q.candidates, q.costs, q.remote, q.sample = nil, nil, nil, nil
	if p.admission != nil {
		a := *p.admission
		a.choice, a.remote = pimadmit.NewChoice(a.cfg, rng), nil
		if wasDeferred {
			a.deferred = deferredFlows{at: map[pimpacket.Flow]deferral{pkt.Flow: {at: now, attempt: pkt.Attempt - 1}}}
		}
		q.admission = &a
	}
	d := q.decide(now, c, service, route, pkt)
	e := Explanation{Service: service, Placement: d.placement, isDeferred: d.isDeferred}
	places := map[pimcatalog.HostID]pimadmit.Places{}
	if d.own != nil {
		e.Admission = &AdmissionExplanation{
			Level: d.level, Limit: q.admission.cfg.Limit(&q.trace.demand), IsPressureHigh: q.admission.isPressureHigh(service),
			Remote: q.trace.remote,
		}
		share := p.share(now, service, d.own)
		e.Admission.Places, e.Admission.Filled = share.Places, share.Filled
		for _, s := range d.own.shares {
			places[s.Host.ID] = s.Places
		}
	}
	for _, h := range c.Service(service) {
		candidate, ok := q.trace.candidates[h.ID]
		if !ok {
			candidate = Candidate{Host: h, Kind: CandidateNotExamined}
		}
		candidate.Load, candidate.Places = p.observer.Load(now, h.ID), places[h.ID]
		candidate.Speed, candidate.IsSuspect = candidate.Load.speed(), candidate.Load.isSuspect(now)
		e.Candidates = append(e.Candidates, candidate)
	}
	e.markTies()
	return e
}

// markTies marks the chosen candidate and those that only chance has ruled out.
func (e *Explanation) markTies() {
	if e.Placement.Host == nil {
		return
	}
	var chosen Candidate
	least := math.Inf(1)
	for _, c := range e.Candidates {
		if c.Host == e.Placement.Host {
			chosen = c
		}
		if c.IsCost {
			least = min(least, c.Value)
		}
	}
	for i := range e.Candidates {
		c := &e.Candidates[i]
		if e.Admission == nil {
			c.IsTie = c.IsCost && c.Value <= least+tieBreak
			continue
		}
		c.IsTie = c.Kind == chosen.Kind && c.IsClosed == chosen.IsClosed && c.IsFull == chosen.IsFull && c.Wait == chosen.Wait &&
			c.open == chosen.open
	}
}

// Services returns the shares of a route from which the service of a flow is chosen, with bounded weights. Without weights it
// is the first one.
func Services(route *pimcatalog.Route) (shares []pimcatalog.Share) {
	if totalWeight(route) == 0 {
		return route.Shares[:min(1, len(route.Shares))]
	}
	for _, s := range route.Shares {
		if weight := boundedWeight(s); weight > 0 {
			shares = append(shares, pimcatalog.Share{Service: s.Service, Weight: int(weight)})
		}
	}
	return shares
}
