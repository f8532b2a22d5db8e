package pimplace

import (
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// exclude reports whether a backend server may receive no new flow now, and why. If all are excluded, the highest reason applies:
// the later ones in pimsteer exclude backend servers that could otherwise take the flow.
func (p *Placer) exclude(now pimclock.Instant, c *pimcatalog.Catalog, h *pimcatalog.Host) (pimsteer.Reason, bool) {
	switch {
	case !h.AcceptsNewFlows(now):
		return pimsteer.ReasonNoHost, true
	case c.IsEvacuated(h.DataCentre):
		return pimsteer.ReasonEvacuated, true
	default:
		return pimsteer.ReasonPlaced, false
	}
}
