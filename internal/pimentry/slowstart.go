package pimentry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimramp"
	"github.com/pimentoyard/pimentoyard/internal/pimsettings"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// slowStart limits the opening packets to backend servers in slow start, with the membership of the mesh; it implements
// pimplace.SlowStart. The nil value limits nothing.
type slowStart struct {
	node    *Node
	limiter *pimramp.Limiter
	// denied counts the backend servers that were skipped, once for each opening packet.
	denied *metrics.Counter
}

func newSlowStart(n *Node, cfg *pimsettings.EntrySlowStart) *slowStart {
	return &slowStart{
		node:   n,
		denied: n.set.NewCounter("pimentoyard_slow_start_denied_total"),
		limiter: pimramp.New(pimramp.Settings{
			Name: n.cfg.Node.Name, DataCentre: n.cfg.Node.DataCentre, Overage: cfg.Overage, Slack: cfg.Slack, Settle: pimramp.DefaultSettle,
		}),
	}
}

// AllowsWithin implements pimplace.SlowStart. A view that is not current may lack the restart of a backend server or a later limit, so
// nothing is sent then.
func (s *slowStart) AllowsWithin(now pimclock.Instant, h *pimcatalog.Host, perSecond float64, d time.Duration) bool {
	return s.node.registry.Fresh(now) && s.limiter.AllowsWithin(now, h, perSecond, d)
}

// RecordDenied implements pimplace.SlowStart.
func (s *slowStart) RecordDenied(n int) { s.denied.Add(n) }

// update passes the present membership to the limiter.
func (s *slowStart) update(now pimclock.Instant) {
	if s != nil {
		s.limiter.Update(now, s.node.mesh.gossip.Membership(now))
	}
}

// record records an opening packet that is about to be sent.
func (s *slowStart) record(now pimclock.Instant, c *pimcatalog.Catalog, h *pimcatalog.Host) {
	if s != nil && isLimited(now, c, h) {
		s.limiter.Record(now, h.ID)
	}
}

// owned returns the names of the backend servers in slow start to which only this VM sends new flows.
func (s *slowStart) owned(now pimclock.Instant, c *pimcatalog.Catalog) (names []string) {
	if s == nil {
		return nil
	}
	names = []string{}
	for _, h := range c.Published() {
		if isLimited(now, c, h) && h.AcceptsNewFlows(now) && s.limiter.Owns(now, h) {
			names = append(names, h.Name)
		}
	}
	return names
}

// isLimited reports whether a backend server is in slow start and its service has a limit.
func isLimited(now pimclock.Instant, c *pimcatalog.Catalog, h *pimcatalog.Host) bool {
	_, ok := c.SlowStart(h.Service)
	return ok && h.ColdFor(now) > 0
}

// owner returns the VM that sends to a backend server in slow start; empty if it is not known or there is no limit.
func (s *slowStart) owner(h *pimcatalog.Host) string {
	if s == nil {
		return ""
	}
	return s.limiter.Owner(h)
}
