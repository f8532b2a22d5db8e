package pimentry

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"reflect"
	"sync"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimplace"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimlog"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimops"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Explanation is where a new flow to an address would go now, and why, as GET /explain of the operator server returns it.
type Explanation struct {
	Name       string           `json:"name"`
	DataCentre pimid.DataCentre `json:"data_centre"`
	Address    netip.AddrPort   `json:"address"`
	View       ExplainedView    `json:"view"`
	// Evacuated are the data centres that get no new flows at the request of the operator.
	Evacuated []pimid.DataCentre `json:"evacuated"`
	// Route is nil if none is published for the address.
	Route *ExplainedRoute `json:"route"`
	// Decisions has one entry for each service of the route and each copy of the opening packet that is decided differently; a limit
	// that changes nothing else is no difference.
	Decisions []ExplainedDecision `json:"decisions"`
}

// ExplainedView is the view by which a VM decides.
type ExplainedView struct {
	Era      pimid.Era          `json:"era"`
	Revision uint64             `json:"revision"`
	Version  pimcatalog.Version `json:"config_version"`
	// Ready is set once a configuration was read.
	Ready bool  `json:"ready"`
	AgeMs int64 `json:"age_ms"`
	// Fresh is set if the view may refuse flows.
	Fresh bool `json:"fresh"`
}

// ExplainedRoute is the route of an address.
type ExplainedRoute struct {
	Name      string              `json:"name"`
	Priority  pimcatalog.Priority `json:"priority"`
	TargetMs  int64               `json:"target_ms"`
	TimeoutMs int64               `json:"timeout_ms"`
	Shares    []ExplainedShare    `json:"shares"`
}

// ExplainedShare is the part of the flows of a route that a service gets.
type ExplainedShare struct {
	Service pimcatalog.Service `json:"service"`
	Weight  int                `json:"weight"`
	// Part is the probability that a flow goes to the service.
	Part float64 `json:"part"`
}

// ExplainedDecision is the decision on some copies of an opening packet.
type ExplainedDecision struct {
	// Service is empty if the decision does not depend on one.
	Service pimcatalog.Service `json:"service,omitempty"`
	// Attempts are the numbers of the copies.
	Attempts []int `json:"attempts"`
	// Action is forward, reset or drop.
	Action string `json:"action"`
	Reason string `json:"reason"`
	// Cause is why no backend server may take the flow if a view that may be out of date hides it in Reason.
	Cause string `json:"cause,omitempty"`
	Rule  string `json:"rule,omitempty"`
	// Host is the chosen backend server, Equal are all from which it is chosen at random.
	Host  string   `json:"host,omitempty"`
	Equal []string `json:"equal,omitempty"`
	// LaterCopy is set if a later copy of the opening packet may be placed.
	LaterCopy  bool                 `json:"later_copy"`
	Admission  *ExplainedAdmission  `json:"admission,omitempty"`
	Candidates []ExplainedCandidate `json:"candidates,omitempty"`
}

// ExplainedAdmission is what a VM compares for a service whose routes have different priorities.
type ExplainedAdmission struct {
	// Rank is the number of more urgent priorities among the Levels with recent flows.
	Rank   int `json:"rank"`
	Levels int `json:"levels"`
	// Limit is the part of the places that the flow may help to fill, for the first one of the copies.
	Limit float64 `json:"limit"`
	// Places is the number of requests that the VM may have under way at the backend servers of its share, Filled that which it has.
	Places float64 `json:"places"`
	Filled int     `json:"filled"`
	// PressureHigh is set if urgent flows that find no place are refused at once.
	PressureHigh bool              `json:"pressure_high"`
	Remote       []ExplainedRemote `json:"remote,omitempty"`
}

// ExplainedRemote is what a VM may send to another data centre.
type ExplainedRemote struct {
	DataCentre pimid.DataCentre `json:"data_centre"`
	UnderWay   int              `json:"under_way"`
	Room       float64          `json:"room"`
}

// ExplainedCandidate is one backend server of the service.
type ExplainedCandidate struct {
	Name       string                 `json:"name"`
	DataCentre pimid.DataCentre       `json:"data_centre"`
	Kind       pimplace.CandidateKind `json:"kind"`
	// Reason is why the backend server is excluded.
	Reason string `json:"reason,omitempty"`
	// Fill is the filled part of the own places, PerSlot the requests per slot, Cost the expected wait with surcharges: of these, the
	// one that the decision compares.
	Fill    *float64 `json:"fill,omitempty"`
	PerSlot *float64 `json:"per_slot,omitempty"`
	Cost    *float64 `json:"cost,omitempty"`
	// Wait orders the own and the shared candidates; it is set where the speed or the slow start makes it differ from Fill or PerSlot.
	Wait *float64 `json:"wait,omitempty"`
	// Full is set for an own or shared candidate without room for the flow.
	Full bool `json:"full,omitempty"`
	// Closed is set if the VM has too many requests under way in the other data centre.
	Closed bool    `json:"closed,omitempty"`
	Places float64 `json:"places,omitempty"`
	Slots  int     `json:"slots"`
	// UnderWay and Open are the requests and flows of this VM, BusyElsewhere and OpenElsewhere those that the others report.
	UnderWay      float64 `json:"under_way"`
	Open          int     `json:"open"`
	BusyElsewhere float64 `json:"busy_elsewhere"`
	OpenElsewhere float64 `json:"open_elsewhere"`
	Speed         float64 `json:"speed"`
	// Suspect is set if new flows avoid the backend server since it has not answered.
	Suspect bool  `json:"suspect"`
	ColdMs  int64 `json:"cold_ms"`
	// SlowStartOwner is the VM that may send new flows during the slow start.
	SlowStartOwner string `json:"slow_start_owner,omitempty"`
}

// copies is the number of copies of an opening packet that callers send.
const copies = 3

// explaining is a placer that only explains, so that pimsteer.Steer decides without a record.
type explaining struct {
	placer  *pimplace.Placer
	service pimcatalog.Service
	// last is the explanation of the last copy, nil if Steer needed none.
	last *pimplace.Explanation
}

// Place implements pimsteer.Placer.
func (x *explaining) Place(
	now pimclock.Instant, c *pimcatalog.Catalog, route *pimcatalog.Route, p *pimpacket.Packet,
) pimsteer.Placement {
	e := x.placer.Explain(now, c, x.service, route, p, x.last)
	x.last = &e
	return e.Placement
}

// decisions returns the decisions on the copies of an opening packet, each as if no earlier copy was forwarded here. owner returns the VM
// that sends to a backend server in slow start.
func decisions(
	now pimclock.Instant, view *pimsteer.View, placer *pimplace.Placer, address netip.AddrPort, owner func(*pimcatalog.Host) string,
) (all []ExplainedDecision) {
	services := []pimcatalog.Share{{}}
	if view.Catalog.Ready() {
		if route := view.Catalog.Routes.Route(address); route != nil && len(route.Shares) > 0 {
			services = pimplace.Services(route)
		}
	}
	for _, s := range services {
		var last *ExplainedDecision
		x := &explaining{placer: placer, service: s.Service}
		for attempt := range copies {
			pkt := pimpacket.Packet{Flow: pimpacket.Flow{Destination: address}, Flags: pimpacket.Open, Attempt: attempt}
			verdict := pimsteer.Steer(now, *view, x, &pkt)
			d := explainDecision(now, &verdict, x.last, owner)
			d.LaterCopy = verdict.Action == pimsteer.Drop && attempt < copies-1
			if last != nil && last.isAlike(d) {
				last.Attempts = append(last.Attempts, attempt)
				continue
			}
			d.Attempts = []int{attempt}
			all = append(all, d)
			last = &all[len(all)-1]
		}
	}
	return all
}

// isAlike reports whether two decisions differ at most in the copies and in their limits.
func (d *ExplainedDecision) isAlike(other ExplainedDecision) bool {
	other.Attempts = d.Attempts
	if d.Admission != nil && other.Admission != nil {
		admission := *other.Admission
		admission.Limit = d.Admission.Limit
		other.Admission = &admission
	}
	return reflect.DeepEqual(*d, other)
}

func explainDecision(
	now pimclock.Instant, v *pimsteer.Verdict, e *pimplace.Explanation, owner func(*pimcatalog.Host) string,
) ExplainedDecision {
	d := ExplainedDecision{Action: v.Action.String(), Reason: v.Reason.String(), Rule: v.Rule}
	if e == nil {
		return d
	}
	d.Service = e.Service
	if v.Host != nil {
		d.Host = v.Host.Name
		if d.Rule == "" {
			d.Rule = leastCost
		}
	} else if v.Reason != e.Placement.Reason {
		d.Cause = e.Placement.Reason.String()
	}
	if a := e.Admission; a != nil {
		d.Admission = explainAdmission(a)
	}
	for i := range e.Candidates {
		c := &e.Candidates[i]
		if c.IsTie {
			d.Equal = append(d.Equal, c.Host.Name)
		}
		d.Candidates = append(d.Candidates, explainCandidate(now, c, owner))
	}
	return d
}

func explainAdmission(a *pimplace.AdmissionExplanation) *ExplainedAdmission {
	// A priority without recent flows is not counted.
	explained := &ExplainedAdmission{
		Rank: a.Level.Rank, Levels: max(a.Level.Count, a.Level.Rank+1), Limit: rounded(a.Limit), Places: rounded(float64(a.Places)),
		Filled: a.Filled, PressureHigh: a.IsPressureHigh,
	}
	for _, r := range a.Remote {
		explained.Remote = append(explained.Remote, ExplainedRemote{DataCentre: r.DataCentre, UnderWay: r.UnderWay, Room: rounded(r.Room)})
	}
	return explained
}

func explainCandidate(now pimclock.Instant, c *pimplace.Candidate, owner func(*pimcatalog.Host) string) ExplainedCandidate {
	explained := ExplainedCandidate{
		Name: c.Host.Name, DataCentre: c.Host.DataCentre, Kind: c.Kind, Closed: c.IsClosed, Full: c.IsFull, Places: rounded(float64(c.Places)), Slots: c.Host.Slots,
		UnderWay: rounded(c.Load.UnderWay()), Open: c.Load.Open, BusyElsewhere: rounded(c.Load.BusyElsewhere),
		OpenElsewhere: rounded(c.Load.OpenElsewhere), Speed: rounded(c.Speed), Suspect: c.IsSuspect,
		ColdMs: c.Host.ColdFor(now).Milliseconds(),
	}
	value := rounded(c.Value)
	switch {
	case c.Kind == pimplace.CandidateExcluded:
		explained.Reason = excludedReason(c)
	case c.Kind == pimplace.CandidateNotExamined:
	case c.IsCost:
		explained.Cost = &value
	case c.Kind == pimplace.CandidateOwn:
		explained.Fill = &value
	default:
		explained.PerSlot = &value
	}
	if wait := rounded(c.Wait); wait != value {
		explained.Wait = &wait
	}
	if c.Host.ColdFor(now) > 0 {
		explained.SlowStartOwner = owner(c.Host)
	}
	return explained
}

// excludedReason returns why a backend server is excluded. The reason no_host of a flow is that all backend servers leave or have ended.
func excludedReason(c *pimplace.Candidate) string {
	switch {
	case c.Reason != pimsteer.ReasonNoHost:
		return c.Reason.String()
	case c.Host.Leaving:
		return "leaving"
	default:
		return "gone"
	}
}

// rounded returns a value with three digits after the point.
func rounded(x float64) float64 {
	const thousandths = 1000
	return math.Round(x*thousandths) / thousandths
}

func explainRoute(route *pimcatalog.Route) *ExplainedRoute {
	explained := &ExplainedRoute{
		Name: route.Name, Priority: route.Priority, TargetMs: route.Target.Milliseconds(), TimeoutMs: route.Timeout.Milliseconds(),
	}
	possible := pimplace.Services(route)
	total := 0.0
	for _, s := range possible {
		total += float64(max(1, s.Weight))
	}
	for _, s := range route.Shares {
		share := ExplainedShare{Service: s.Service, Weight: s.Weight}
		for _, p := range possible {
			if p.Service == s.Service {
				share.Part = rounded(float64(max(1, p.Weight)) / total)
			}
		}
		explained.Shares = append(explained.Shares, share)
	}
	return explained
}

// The bounds of explanations: each takes about as long as placing six flows, and the loop must keep up with its packets.
const (
	explainBurst     = 5
	explainPerSecond = 3
	explainTimeout   = 2 * time.Second
)

// explainRequests are the requests for explanations from the operator server.
type explainRequests struct {
	requests chan explainRequest
	mu       *sync.Mutex
	limit    *pimlog.Bucket
}

type explainRequest struct {
	address netip.AddrPort
	// answer has room for one explanation, so that the loop never waits for the operator server.
	answer chan Explanation
}

func newExplainRequests() explainRequests {
	return explainRequests{
		requests: make(chan explainRequest), mu: &sync.Mutex{}, limit: pimlog.NewBucket(explainBurst, explainPerSecond),
	}
}

// allow reports whether one more explanation may be requested now.
func (r *explainRequests) allow(now pimclock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.limit.Allow(now)
	return ok
}

// answerExplain answers one waiting request.
func (e *edge) answerExplain(now pimclock.Instant) {
	select {
	case r := <-e.explains.requests:
		view := e.view(now)
		r.answer <- e.explain(now, &view, r.address)
	default:
	}
}

// explain explains where a flow would go; it must be called by the loop unless the view has no configuration.
func (e *edge) explain(now pimclock.Instant, view *pimsteer.View, address netip.AddrPort) Explanation {
	c := view.Catalog
	explained := Explanation{
		Name: e.node.cfg.Node.Name, DataCentre: e.node.cfg.Node.DataCentre, Address: address, Evacuated: c.Evacuated(),
		View: ExplainedView{
			Era: c.Revision.Era(), Revision: c.Revision.Number(), Ready: c.Ready(), Fresh: view.Fresh,
		},
		Decisions: decisions(now, view, e.placer, address, e.slowStart.owner),
	}
	if c.Ready() {
		explained.View.Version, explained.View.AgeMs = c.Routes.Version, e.node.registry.Age(now).Milliseconds()
		if route := c.Routes.Route(address); route != nil {
			explained.Route = explainRoute(route)
		}
	}
	return explained
}

// Explain returns where a new flow to an address would go now. Nothing is sent or recorded.
func (n *Node) Explain(ctx context.Context, address netip.AddrPort) (Explanation, error) {
	now := n.clock.Now()
	if !n.edge.explains.allow(now) {
		return Explanation{}, fmt.Errorf("%w: at most %d explanations a second", pimops.ErrBusy, explainPerSecond)
	}
	// Without a configuration the loop may not run yet, and the decision does not use the placer.
	if view := n.edge.view(now); !view.Catalog.Ready() {
		return n.edge.explain(now, &view, address), nil
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	request := explainRequest{address: address, answer: make(chan Explanation, 1)}
	select {
	case n.edge.explains.requests <- request:
	case <-ctx.Done():
		return Explanation{}, ctx.Err()
	}
	select {
	case e := <-request.answer:
		return e, nil
	case <-ctx.Done():
		return Explanation{}, ctx.Err()
	}
}

// serveExplain answers GET /explain, whose only parameter is the address of a route.
func (n *Node) serveExplain(ctx context.Context, parameters url.Values) (any, error) {
	const name = "address"
	for key, values := range parameters {
		if key != name || len(values) != 1 {
			return nil, fmt.Errorf("%w: %q", pimops.ErrQuery, key)
		}
	}
	address, err := netip.ParseAddrPort(parameters.Get(name))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", pimops.ErrQuery, err)
	}
	return n.Explain(ctx, address)
}
