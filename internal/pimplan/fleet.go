package pimplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// fleet evaluates one publication under the terms in force at one time.
type fleet struct {
	pub *pimcontract.Publication
	at  time.Time
}

func (f fleet) dataCentres() (names []pimid.DataCentre) {
	for _, n := range f.pub.Nodes {
		names = append(names, n.DataCentre)
	}
	for _, b := range f.pub.Backends {
		names = append(names, b.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// countVMs counts the VMs of a data centre that share the limits, including those that are leaving.
func (f fleet) countVMs(dataCentre pimid.DataCentre) (n int) {
	for _, node := range f.pub.Nodes {
		if node.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// limitFraction returns the fraction of a contract's limits that belongs to a data centre; without weights, the data
// centres that have VMs share the limits equally.
func (f fleet) limitFraction(c *pimcontract.Contract, dataCentre pimid.DataCentre) float64 {
	centres := map[pimid.DataCentre]bool{}
	for _, n := range f.pub.Nodes {
		centres[n.DataCentre] = true
	}
	if len(c.DataCentreWeights) == 0 && !centres[dataCentre] {
		return 0
	}
	return c.DataCentreFraction(dataCentre, len(centres))
}

// liveVMs returns the VMs of a data centre that can own slots.
func (f fleet) liveVMs(dataCentre pimid.DataCentre) (ids []pimid.NodeID) {
	for _, n := range f.pub.Nodes {
		if n.DataCentre == dataCentre && n.State == pimcontract.StateLive {
			ids = append(ids, n.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// countSlots counts the live backend servers of a service and their slots; the empty data centre means all. Backend
// servers that are leaving receive no new work and don't count.
func (f fleet) countSlots(service pimid.ServiceID, dataCentre pimid.DataCentre) (hosts int, slots pimid.Slots) {
	for _, b := range f.pub.Backends {
		if b.Service == service && b.State == pimcontract.StateLive && (dataCentre == "" || b.DataCentre == dataCentre) {
			hosts++
			slots += b.Slots
		}
	}
	return hosts, slots
}

// slotFraction returns the fraction of a service's slots that is in a data centre.
func (f fleet) slotFraction(service pimid.ServiceID, dataCentre pimid.DataCentre) float64 {
	_, all := f.countSlots(service, "")
	_, local := f.countSlots(service, dataCentre)
	if all == 0 {
		return 0
	}
	return float64(local) / float64(all)
}

// guaranteedSlots adds up the guarantees of a service over all data centres.
func (f fleet) guaranteedSlots(service pimid.ServiceID, at time.Time) (sum pimid.Slots) {
	for i := range f.pub.Contracts {
		if c := &f.pub.Contracts[i]; c.Service == service {
			sum += c.TermsAt(at).GuaranteedSlots
		}
	}
	return sum
}

// unownedSlots returns the number of slots of a service that no contract guarantees, over all data centres.
func (f fleet) unownedSlots(service pimid.ServiceID) float64 {
	_, slots := f.countSlots(service, "")
	return float64(max(slots-f.guaranteedSlots(service, f.at), 0))
}

// shareFraction returns the contract's fraction of all share weights of its service.
func (f fleet) shareFraction(c *pimcontract.Contract) float64 {
	var sum float64
	for i := range f.pub.Contracts {
		if o := &f.pub.Contracts[i]; o.Service == c.Service {
			sum += o.TermsAt(f.at).ShareWeight
		}
	}
	if sum <= 0 {
		return 0
	}
	return c.TermsAt(f.at).ShareWeight / sum
}

func (f fleet) contract(id pimid.ContractID) *pimcontract.Contract {
	return find(f.pub.Contracts, func(c *pimcontract.Contract) bool { return c.ID == id })
}

func (f fleet) service(id pimid.ServiceID) *pimcontract.Service {
	return find(f.pub.Services, func(s *pimcontract.Service) bool { return s.ID == id })
}

func (f fleet) backend(id pimid.BackendID) *pimcontract.Backend {
	return find(f.pub.Backends, func(b *pimcontract.Backend) bool { return b.ID == id })
}

func (f fleet) node(id pimid.NodeID) *pimcontract.Node {
	return find(f.pub.Nodes, func(n *pimcontract.Node) bool { return n.ID == id })
}

// find returns the first matching element, or nil if there is none.
func find[T any](all []T, match func(*T) bool) *T {
	for i := range all {
		if match(&all[i]) {
			return &all[i]
		}
	}
	return nil
}

// union returns the sorted ids of both lists without duplicates.
func union[T any, K cmp.Ordered](a, b []T, id func(T) K) (ids []K) {
	for _, v := range slices.Concat(a, b) {
		ids = append(ids, id(v))
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
