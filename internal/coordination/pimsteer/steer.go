package pimsteer

import (
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Action is what the VM does with a packet.
type Action uint8

// The actions.
const (
	// Forward sends the packet to the backend server of the verdict.
	Forward Action = iota
	// Reset tells the caller that the flow has ended.
	Reset
	// Drop discards the packet without an answer; the caller retransmits it.
	Drop
)

// String returns the name of the action in logs.
func (a Action) String() string { return [...]string{"forward", "reset", "drop"}[a] }

// Reason is why an action was chosen.
type Reason uint8

// The reasons.
const (
	// ReasonPlaced means that a backend server was chosen for a new flow.
	ReasonPlaced Reason = iota
	// ReasonEstablished means that the packet belongs to an open flow whose backend server is known.
	ReasonEstablished
	// ReasonNoRoute means that no route is published for the destination address.
	ReasonNoRoute
	// ReasonNoHost means that no backend server may receive a new flow.
	ReasonNoHost
	// ReasonHostGone means that the backend server of the flow counts as ended.
	ReasonHostGone
	// ReasonUnknownHost means that the backend server of the flow is missing from a settled view that was confirmed since
	// the first packet of the flow, or from any view if the packet is itself a reset.
	ReasonUnknownHost
	// ReasonViewBehind means that no route or no backend server was found in a view that may be out of date.
	ReasonViewBehind
	// ReasonNoView means that this VM has not read a configuration yet.
	ReasonNoView
	// ReasonUntagged means that the packet of an open flow has no tag.
	ReasonUntagged
	// ReasonHostUnresponsive means that the backend server of the flow does not answer any VM.
	ReasonHostUnresponsive
	// ReasonEvacuated means that all backend servers that could take the flow are in evacuated data centres.
	ReasonEvacuated
	// ReasonSlowStart means that all backend servers that could take the flow are in slow start and get no more flows now.
	ReasonSlowStart
	// ReasonNoRoom means that no backend server has room for a flow of this priority.
	ReasonNoRoom
	reasonCount
)

var reasonNames = [reasonCount]string{
	"placed", "established", "no_route", "no_host", "host_gone", "unknown_host", "view_behind", "no_view", "untagged",
	"host_dark", "evacuated", "slow_start", "no_room",
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons.
func Reasons() (all []Reason) {
	for r := range reasonCount {
		all = append(all, r)
	}
	return all
}

// Verdict is the decision about one packet.
type Verdict struct {
	Action Action
	Reason Reason
	// Host is the backend server that the packet is forwarded to, or because of which the flow is reset or the packet is
	// dropped. It is nil if no backend server is known.
	Host *pimcatalog.Host
	// Route is the route of an opening packet; nil for other packets and if there is none.
	Route *pimcatalog.Route
	// Rule is the name of the rule by which an opening packet was placed or refused.
	Rule string
}

// View is the state known to the VM when the packet arrives.
type View struct {
	Catalog *pimcatalog.Catalog
	// Fresh is set if the view was confirmed recently enough to count as current.
	Fresh bool
	// Settled is set if the view is fresh and entries that lapsed during an outage of the platform have had time to
	// return. A backend server that is missing from such a view has ended.
	Settled bool
	// AsOf is the last instant at which the view was confirmed as current.
	AsOf pimclock.Instant
	// FirstSeen returns when this VM received the first packet of an open flow, before which its backend server was
	// published; nil means that each packet is the first one of its flow.
	FirstSeen func(p *pimpacket.Packet) pimclock.Instant
	// Unresponsive reports whether a backend server does not answer any VM; nil means that all answer.
	Unresponsive func(id pimcatalog.HostID) bool
}

// Placement is the choice for a new flow.
type Placement struct {
	// Host receives the flow; nil if no backend server may.
	Host *pimcatalog.Host
	// Reason says why no backend server may receive the flow.
	Reason Reason
	// Later is set if a later copy of the opening packet may be placed: the packet is then dropped, not answered with a reset.
	Later bool
	// Rule is the name of the rule that decided, for logs and explanations.
	Rule string
}

// Placer chooses the backend server of a new flow.
type Placer interface {
	Place(now pimclock.Instant, c *pimcatalog.Catalog, route *pimcatalog.Route, p *pimpacket.Packet) Placement
}

// Steer returns the verdict for one packet; placer is used only for packets that open a flow.
func Steer(now pimclock.Instant, v View, placer Placer, p *pimpacket.Packet) Verdict {
	switch {
	case !v.Catalog.Ready():
		return Verdict{Action: Drop, Reason: ReasonNoView}
	case p.IsOpen():
		return open(now, v, placer, p)
	default:
		return established(now, v, p)
	}
}

// open places a new flow. Only a fresh view may refuse one, since an older view may lack the route or the host.
func open(now pimclock.Instant, v View, placer Placer, p *pimpacket.Packet) Verdict {
	route := v.Catalog.Routes.Route(p.Flow.Destination)
	if route == nil {
		return refuse(v.Fresh, ReasonNoRoute)
	}
	placement := placer.Place(now, v.Catalog, route, p)
	switch {
	case placement.Host != nil:
		return Verdict{Action: Forward, Reason: ReasonPlaced, Host: placement.Host, Route: route, Rule: placement.Rule}
	case placement.Later:
		return Verdict{Action: Drop, Reason: placement.Reason, Route: route, Rule: placement.Rule}
	default:
		verdict := refuse(v.Fresh, placement.Reason)
		verdict.Route, verdict.Rule = route, placement.Rule
		return verdict
	}
}

// established forwards a packet to the backend server of its tag. It ignores the current route, because a configuration
// change must not move open flows. A flow is reset only by a view that was confirmed since its first packet: an older one
// may lack a backend server that has started since, also one that has ended before and started again under its id.
func established(now pimclock.Instant, v View, p *pimpacket.Packet) Verdict {
	if p.Tag == pimcatalog.NoTag {
		return Verdict{Action: Drop, Reason: ReasonUntagged}
	}
	host := v.Catalog.Host(p.Tag)
	switch {
	case host == nil && p.Flags.Has(pimpacket.Reset):
		return Verdict{Action: Drop, Reason: ReasonUnknownHost}
	case host == nil:
		return refuse(v.Settled && v.knowsFlow(now, p), ReasonUnknownHost)
	case host.Gone(v.AsOf):
		// GoneAt is compared with AsOf, not with now: if the view was not confirmed after GoneAt, the backend server
		// may have returned.
		verdict := refuse(v.knowsFlow(now, p), ReasonHostGone)
		verdict.Host = host
		return verdict
	case p.Data > 0 && v.Unresponsive != nil && v.Unresponsive(host.ID):
		// The request cannot be served there; after the reset the caller can retry elsewhere at once.
		return Verdict{Action: Reset, Reason: ReasonHostUnresponsive, Host: host}
	default:
		return Verdict{Action: Forward, Reason: ReasonEstablished, Host: host}
	}
}

// knowsFlow reports whether the view was confirmed since this VM received the first packet of a flow.
func (v *View) knowsFlow(now pimclock.Instant, p *pimpacket.Packet) bool {
	firstSeen := now
	if v.FirstSeen != nil {
		firstSeen = v.FirstSeen(p)
	}
	return !v.AsOf.Before(firstSeen)
}

// refuse resets the flow if the view is conclusive. Otherwise it drops the packet, and a retransmission is decided
// again.
func refuse(conclusive bool, reason Reason) Verdict {
	if !conclusive {
		return Verdict{Action: Drop, Reason: ReasonViewBehind}
	}
	return Verdict{Action: Reset, Reason: reason}
}
