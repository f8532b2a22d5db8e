package pimquota

import (
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Limit is the hard limit of one contract over all data centres, and the fraction of it that belongs to this one.
type Limit struct {
	Rate  pimid.Rate
	Burst float64
	Flows pimid.Connections
	// DataCentreFraction is the fraction of the limit for this data centre.
	DataCentreFraction float64
}

// Publication is what the published view says about the limits of one data centre.
type Publication struct {
	// Nodes is the number of VMs of the data centre on the published list.
	Nodes int
	// Listed reports whether this VM is one of them.
	Listed bool
	// InForce is how long the list has been published, zero if that is not known. If it is at least the growth
	// delay, every other VM knows the list, and a VM that has just started uses its share at once.
	InForce time.Duration
	// Members lists the VMs of the data centre that a pool owner may ask for their shares.
	Members []pimid.NodeID
	Limits  map[pimid.ContractID]Limit
}

// PublicationOf extracts the limits in force at the wall time t for one VM.
func PublicationOf(view *pimview.View, self pimid.NodeID, dataCentre pimid.DataCentre, t time.Time) Publication {
	p := Publication{Limits: make(map[pimid.ContractID]Limit, len(view.Contracts))}
	centres := map[pimid.DataCentre]bool{}
	var changed time.Time
	isDated := true
	for id, n := range view.Nodes {
		centres[n.DataCentre] = true
		if n.DataCentre != dataCentre {
			continue
		}
		isDated = isDated && !n.PublishedAt.IsZero()
		if n.PublishedAt.After(changed) {
			changed = n.PublishedAt
		}
		if n.State == pimview.NodeLeaving {
			continue
		}
		p.Nodes++
		p.Members = append(p.Members, id)
		p.Listed = p.Listed || id == self
	}
	slices.Sort(p.Members)
	if isDated && p.Nodes > 0 {
		p.InForce = t.Sub(changed)
	}
	for id, c := range view.Contracts {
		terms := c.Terms
		if len(c.Plans) > 0 {
			terms = c.TermsAt(t)
		}
		p.Limits[id] = Limit{
			Rate:               terms.RateLimit,
			Burst:              terms.Burst,
			Flows:              terms.FlowLimit,
			DataCentreFraction: c.DataCentreFraction(dataCentre, len(centres)),
		}
	}
	return p
}
