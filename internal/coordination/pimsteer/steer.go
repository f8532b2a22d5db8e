package pimsteer

import (
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Action is what happens to a packet.
type Action uint8

// The actions.
const (
	// Forward sends the packet to the backend server of the verdict.
	Forward Action = iota
	// Reset tells the caller that the flow has ended.
	Reset
	// Drop leaves the packet unanswered; the caller sends it again.
	Drop
)

// String returns the name of the action in logs.
func (a Action) String() string { return [...]string{"forward", "reset", "drop"}[a] }

// Reason says why.
type Reason uint8

// The reasonCount.
const (
	// ReasonPlaced is a new flow at the chosen backend server.
	ReasonPlaced Reason = iota
	// ReasonEstablished is a packet of a flow whose backend server is known.
	ReasonEstablished
	// ReasonNoRoute means that the address is not published.
	ReasonNoRoute
	// ReasonNoHost means that no backend server may receive a new flow.
	ReasonNoHost
	// ReasonHostGone means that the backend server of the flow has ended.
	ReasonHostGone
	// ReasonUnknownHost means that a current view does not know the backend server of the flow.
	ReasonUnknownHost
	// ReasonViewBehind means that a view that is not current does not know the route or the backend server.
	ReasonViewBehind
	// ReasonNoView means that no configuration was read yet.
	ReasonNoView
	// ReasonUntagged means that the packet of an open flow has no tag.
	ReasonUntagged
	// ReasonHostUnresponsive means that the backend server of the flow answers nobody.
	ReasonHostUnresponsive
	reasonCount
)

var reasonNames = [reasonCount]string{
	"placed", "established", "no_route", "no_host", "host_gone", "unknown_host", "view_behind", "no_view", "untagged",
	"host_dark",
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
	// Host is the backend server of Forward.
	Host *pimcatalog.Host
	// Route is the route of an opening packet.
	Route *pimcatalog.Route
}

// View is what the VM believes when the packet arrives.
type View struct {
	Catalog *pimcatalog.Catalog
	// Fresh is set if the view is current.
	Fresh bool
	// Settled is set if, besides, a backend server that the view does not know has ended.
	Settled bool
	// AsOf is when the view was last known to be current.
	AsOf pimclock.Instant
	// Unresponsive reports whether a backend server answers nobody; nil means that none is.
	Unresponsive func(id pimcatalog.HostID) bool
}

// Placer chooses the backend server of a new flow.
type Placer interface {
	// Place returns nil if no backend server may receive the flow.
	Place(now pimclock.Instant, c *pimcatalog.Catalog, route *pimcatalog.Route, p *pimpacket.Packet) *pimcatalog.Host
}

// Steer decides about one packet.
func Steer(now pimclock.Instant, v View, placer Placer, p *pimpacket.Packet) Verdict {
	switch {
	case !v.Catalog.Ready():
		return Verdict{Action: Drop, Reason: ReasonNoView}
	case p.IsOpen():
		return open(now, v, placer, p)
	default:
		return established(v, p)
	}
}

// open places a new flow. Only a current view may refuse one, since an older view may miss the route or the host.
func open(now pimclock.Instant, v View, placer Placer, p *pimpacket.Packet) Verdict {
	route := v.Catalog.Routes.Route(p.Flow.Route)
	if route == nil {
		return refuse(v.Fresh, ReasonNoRoute)
	}
	host := placer.Place(now, v.Catalog, route, p)
	if host == nil {
		verdict := refuse(v.Fresh, ReasonNoHost)
		verdict.Route = route
		return verdict
	}
	return Verdict{Action: Forward, Reason: ReasonPlaced, Host: host, Route: route}
}

// established forwards a packet to the backend server that its tag names, whatever the configuration says now: a new
// configuration does not move open flows.
func established(v View, p *pimpacket.Packet) Verdict {
	if p.Tag == pimcatalog.NoTag {
		return Verdict{Action: Drop, Reason: ReasonUntagged}
	}
	host := v.Catalog.Host(p.Tag)
	switch {
	case host == nil && p.Flags.Has(pimpacket.Reset):
		return Verdict{Action: Drop, Reason: ReasonUnknownHost}
	case host == nil:
		return refuse(v.Settled, ReasonUnknownHost)
	case host.Gone(v.AsOf):
		// An end that only the clock suggests, in a view that nobody has confirmed since, is not certain.
		return Verdict{Action: Reset, Reason: ReasonHostGone, Host: host}
	case p.Data > 0 && v.Unresponsive != nil && v.Unresponsive(host.ID):
		// The request cannot be served there, so the caller may try elsewhere at once.
		return Verdict{Action: Reset, Reason: ReasonHostUnresponsive, Host: host}
	default:
		return Verdict{Action: Forward, Reason: ReasonEstablished, Host: host}
	}
}

// refuse resets the flow if the view may say so, and otherwise leaves it to a later copy of the packet.
func refuse(conclusive bool, reason Reason) Verdict {
	if !conclusive {
		return Verdict{Action: Drop, Reason: ReasonViewBehind}
	}
	return Verdict{Action: Reset, Reason: reason}
}
