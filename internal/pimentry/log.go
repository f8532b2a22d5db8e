package pimentry

import (
	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimregistry"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// The limits of the log lines about flows: a line costs about as much as forwarding a packet, and a VM with a tenth of a
// core forwards a few hundred packets a second.
const (
	lineBurst      = 50
	linesPerSecond = 20
)

// logVerdict logs each verdict except those on packets that are forwarded on an open flow or have no tag, as far as the
// rate limit allows.
func (e *edge) logVerdict(now pimclock.Instant, v pimsteer.View, p *pimpacket.Packet, verdict pimsteer.Verdict) {
	if verdict.Reason == pimsteer.ReasonEstablished || verdict.Reason == pimsteer.ReasonUntagged {
		return
	}
	omitted, ok := e.lines.Allow(now)
	if !ok {
		return
	}
	line := e.node.log.Info().
		Stringer("caller", p.Flow.Caller).Stringer("route", p.Flow.Destination).
		Stringer("action", verdict.Action).Stringer("reason", verdict.Reason)
	withRevision(line, v.Catalog.Revision).Int64("view_age_ms", e.node.registry.Age(now).Milliseconds())
	if p.IsOpen() {
		line.Int("attempt", p.Attempt).Str("rule", verdict.Rule)
	} else {
		line.Uint32("tag", uint32(p.Tag))
	}
	if verdict.Host != nil {
		load := e.observer.Load(now, verdict.Host.ID)
		line.Str("host", verdict.Host.Name).Int("busy", load.Busy).Int("open", load.Open).Int("misses", load.Misses)
	}
	if omitted > 0 {
		line.Int("omitted_lines", omitted)
	}
	line.Msg("flow")
}

// withRevision adds a revision to a log line.
func withRevision(line *zerolog.Event, r pimid.Revision) *zerolog.Event {
	return line.Uint64("era", uint64(r.Era())).Uint64("revision", r.Number())
}

// logDecision logs what the registry did with one published change. Outdated changes and the entries of the first list
// are left out; the line about the first view has the number of its backend servers.
func (n *Node) logDecision(c pimregistry.Change, d pimregistry.Decision) {
	if d == pimregistry.Outdated || d == pimregistry.Listed {
		return
	}
	level := n.log.Info()
	if d == pimregistry.Unreadable || c.Evacuation != "" && c.Fault != nil {
		level = n.log.Warn().Err(c.Fault)
	}
	event := withRevision(level.Str("decision", string(d)), c.Revision)
	if c.Evacuation != "" {
		event.Str("data_centre", string(c.Evacuation)).Bool("removed", c.Removed).Msg("evacuation")
		return
	}
	if c.Config != nil {
		event.Uint64("version", uint64(c.Config.Version)).Int("routes", len(c.Config.Routes)).Msg("configuration")
		return
	}
	if c.Host != nil {
		event.Str("host", c.Host.Name).Str("service", string(c.Host.Service)).Bool("leaving", c.Host.Leaving)
	}
	event.Bool("removed", c.Removed)
	if c.ID == 0 {
		event.Msg("entry")
		return
	}
	event.Msg("backend server")
}
