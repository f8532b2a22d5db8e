package pimplan

import (
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

func (c *comparison) flows() {
	for i := range c.before.pub.Backends {
		old := &c.before.pub.Backends[i]
		if broken, reason := c.flowEffect(old, c.after.backend(old.ID)); reason != "" {
			c.report.Flows = append(c.report.Flows, FlowEffect{
				Service: old.Service, Backend: old.ID, MaxFlows: c.maxFlows(old), Broken: broken, Reason: reason,
			})
		}
	}
}

// flowEffect returns whether the change breaks the flows of a backend server, and why; the reason is empty if they are
// not affected.
func (c *comparison) flowEffect(old, updated *pimcontract.Backend) (broken bool, reason string) {
	before, after := c.before.service(old.Service), c.after.service(old.Service)
	switch {
	case updated == nil:
		return true, "the backend server is removed"
	case updated.Generation != old.Generation:
		return true, "the backend server has another generation"
	case updated.Service != old.Service:
		return true, "the backend server serves another service"
	case before != nil && (after == nil || after.Address != before.Address):
		return true, "the service has another address"
	case updated.FlowAddress != old.FlowAddress:
		return true, "the backend server has another flow address"
	case updated.State != old.State && updated.State == pimcontract.StateLeaving:
		return false, "the backend server is leaving; flows go on, new ones are placed elsewhere"
	default:
		return false, ""
	}
}

// maxFlows returns the largest number of flows that a backend server can have before the change: the lower of its
// connection limit and the sum of the flow limits of its service's contracts.
func (c *comparison) maxFlows(b *pimcontract.Backend) pimid.Connections {
	var limits pimid.Connections
	for i := range c.before.pub.Contracts {
		if o := &c.before.pub.Contracts[i]; o.Service == b.Service {
			limits += o.TermsAt(c.before.at).FlowLimit
		}
	}
	return min(b.MaxConnections, limits)
}
