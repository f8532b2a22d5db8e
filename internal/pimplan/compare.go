package pimplan

import (
	"time"

	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// comparison holds both publications and the report that is built from them.
type comparison struct {
	before fleet
	after  fleet
	owner  OwnerFunc
	report Report
}

// Compare returns the effects of replacing one publication with another, under the terms in force at the given time.
func Compare(before, after *pimcontract.Publication, at time.Time, owner OwnerFunc) Report {
	at = at.UTC()
	c := comparison{
		before: fleet{pub: before, at: at},
		after:  fleet{pub: after, at: at},
		owner:  owner,
		report: Report{At: at},
	}
	c.contracts()
	c.services()
	c.owners()
	c.guaranteeChecks()
	c.flows()
	c.warnings()
	return c.report
}

func (c *comparison) dataCentres() []pimid.DataCentre {
	identity := func(d pimid.DataCentre) pimid.DataCentre { return d }
	return union(c.before.dataCentres(), c.after.dataCentres(), identity)
}

func (c *comparison) contracts() {
	ids := union(c.before.pub.Contracts, c.after.pub.Contracts,
		func(c pimcontract.Contract) pimid.ContractID { return c.ID })
	for _, id := range ids {
		for _, dc := range c.dataCentres() {
			c.report.Contracts = append(c.report.Contracts, c.contractRow(id, dc))
		}
	}
}

func (c *comparison) contractRow(id pimid.ContractID, dc pimid.DataCentre) ContractRow {
	row := ContractRow{Contract: id, DataCentre: dc}
	before, after := c.before.contract(id), c.after.contract(id)
	latest := after
	if latest == nil {
		latest = before
	}
	row.Customer, row.Service = latest.Customer, latest.Service
	b, a := c.before.values(before, dc), c.after.values(after, dc)
	row.Rate = Change[float64]{b.rate, a.rate}
	row.RatePerVM = Change[float64]{b.ratePerVM, a.ratePerVM}
	row.Flows = Change[float64]{b.flows, a.flows}
	row.Guaranteed = Change[float64]{b.guaranteed, a.guaranteed}
	row.Shared = Change[float64]{b.shared, a.shared}
	return row
}

// contractValues are the values of one contract in one data centre; ContractRow describes each of them.
type contractValues struct {
	rate, ratePerVM, flows, guaranteed, shared float64
}

// values returns zeros for a contract that does not exist.
func (f fleet) values(c *pimcontract.Contract, dc pimid.DataCentre) (v contractValues) {
	if c == nil {
		return v
	}
	terms, limitFraction, slotFraction := c.TermsAt(f.at), f.limitFraction(c, dc), f.slotFraction(c.Service, dc)
	v.rate = float64(terms.RateLimit) * limitFraction
	v.flows = float64(terms.FlowLimit) * limitFraction
	v.guaranteed = float64(terms.GuaranteedSlots) * slotFraction
	v.shared = f.unownedSlots(c.Service) * slotFraction * f.shareFraction(c)
	if n := f.countVMs(dc); n > 0 {
		v.ratePerVM = v.rate / float64(n)
	}
	return v
}

func (c *comparison) services() {
	ids := union(c.before.pub.Services, c.after.pub.Services,
		func(s pimcontract.Service) pimid.ServiceID { return s.ID })
	for _, id := range ids {
		for _, dc := range c.dataCentres() {
			c.report.Services = append(c.report.Services, c.serviceRow(id, dc))
		}
	}
}

func (c *comparison) serviceRow(id pimid.ServiceID, dc pimid.DataCentre) ServiceRow {
	row := ServiceRow{Service: id, DataCentre: dc}
	for _, f := range []fleet{c.before, c.after} {
		if s := f.service(id); s != nil {
			row.Name = s.Name
		}
	}
	row.Hosts.Before, row.Slots.Before, row.Guaranteed.Before, row.Unowned.Before = c.before.slotValues(id, dc)
	row.Hosts.After, row.Slots.After, row.Guaranteed.After, row.Unowned.After = c.after.slotValues(id, dc)
	return row
}

// slotValues counts the live backend servers of a service in one data centre, and divides the service's guaranteed and
// unowned slots among the data centres in proportion to their slots.
func (f fleet) slotValues(id pimid.ServiceID, dc pimid.DataCentre) (hosts int, slots, guaranteed, unowned float64) {
	hosts, n := f.countSlots(id, dc)
	fraction := f.slotFraction(id, dc)
	return hosts, float64(n), float64(f.guaranteedSlots(id, f.at)) * fraction, f.unownedSlots(id) * fraction
}

// owners reports the backend servers whose slots are owned by another VM after the change, if both publications contain
// them.
func (c *comparison) owners() {
	for _, b := range c.after.pub.Backends {
		old := c.before.backend(b.ID)
		if old == nil {
			continue
		}
		move := OwnerMove{Backend: b.ID, DataCentre: b.DataCentre}
		move.Owner.Before = c.owner(b.ID, c.before.liveVMs(old.DataCentre))
		move.Owner.After = c.owner(b.ID, c.after.liveVMs(b.DataCentre))
		if move.Owner.Changed() {
			c.report.Owners = append(c.report.Owners, move)
		}
	}
}

// guaranteeChecks compares the guarantees of each service after the change with its slots over all data centres.
func (c *comparison) guaranteeChecks() {
	for _, s := range c.after.pub.Services {
		_, slots := c.after.countSlots(s.ID, "")
		for _, at := range pimcontract.TermChangeTimes(c.after.pub.Contracts) {
			sum := c.after.guaranteedSlots(s.ID, at)
			c.report.GuaranteeChecks = append(c.report.GuaranteeChecks, GuaranteeCheck{
				Service: s.ID, Time: at.Format("15:04"), Guaranteed: sum, Slots: slots, OK: sum <= slots,
			})
		}
	}
}
