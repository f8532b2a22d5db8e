package pimplan

import (
	"fmt"
	"net/netip"

	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// minRatePerVM is the rate of one VM, in requests per second, below which every request needs a permit of the pool
// owner.
const minRatePerVM = 1.0

func (c *comparison) warn(subject, format string, args ...any) {
	c.report.Warnings = append(c.report.Warnings, Warning{Subject: subject, Reason: fmt.Sprintf(format, args...)})
}

func (c *comparison) warnings() {
	c.warnContracts()
	c.warnRates()
	c.warnBursts()
	c.warnGuarantees()
	c.warnBackends()
	c.warnNodes()
	c.warnServices()
}

func contractName(c *pimcontract.Contract) string {
	return fmt.Sprintf("contract %d (%s)", c.ID, c.Customer)
}

func (c *comparison) warnContracts() {
	for i := range c.before.pub.Contracts {
		old := &c.before.pub.Contracts[i]
		updated := c.after.contract(old.ID)
		if updated == nil {
			c.warn(contractName(old), "is removed; its callers are refused with no_contract")
			continue
		}
		if updated.Service != old.Service {
			c.warn(contractName(old), "moves to service %d; its tokens are rejected", updated.Service)
		}
		c.warnTerms(old, updated)
		c.warnSources(old, updated)
	}
}

// warnTerms compares the terms at midnight UTC and at every time of the day at which a plan of either contract changes
// them. It warns at most once about a lower guarantee and once about a lower rate limit.
func (c *comparison) warnTerms(old, updated *pimcontract.Contract) {
	var guaranteeLowered, rateLowered bool
	for _, at := range pimcontract.TermChangeTimes([]pimcontract.Contract{*old, *updated}) {
		before, after := old.TermsAt(at), updated.TermsAt(at)
		if after.GuaranteedSlots < before.GuaranteedSlots && !guaranteeLowered {
			guaranteeLowered = true
			c.warn(contractName(updated), "the guarantee is lowered from %d to %d slots (from %s UTC)",
				before.GuaranteedSlots, after.GuaranteedSlots, at.Format("15:04"))
		}
		if after.RateLimit < before.RateLimit && !rateLowered {
			rateLowered = true
			c.warn(contractName(updated), "the rate limit is lowered from %g to %g requests per second (from %s UTC)",
				before.RateLimit, after.RateLimit, at.Format("15:04"))
		}
	}
}

func (c *comparison) warnSources(old, updated *pimcontract.Contract) {
	kept := map[netip.Prefix]bool{}
	for _, p := range updated.Sources {
		kept[p] = true
	}
	for _, p := range old.Sources {
		if !kept[p] {
			c.warn(contractName(updated), "callers in %s no longer belong to it", p)
		}
	}
}

func (c *comparison) warnRates() {
	for i := range c.report.Contracts {
		r := &c.report.Contracts[i]
		if updated := c.after.contract(r.Contract); updated != nil && r.Rate.After > 0 && r.RatePerVM.After < minRatePerVM {
			c.warn(contractName(updated), "the limit in %s is %.3g requests per second and VM; below %g every request waits "+
				"for a permit of the pool owner", r.DataCentre, r.RatePerVM.After, minRatePerVM)
		}
	}
}

// minBurst is the lowest burst of a data centre, in requests, that still allows one permit while half of its VMs have
// no share, as after a restart.
const minBurst = 2.0

func (c *comparison) warnBursts() {
	for i := range c.after.pub.Contracts {
		contract := &c.after.pub.Contracts[i]
		for _, dc := range c.after.dataCentres() {
			burst := contract.TermsAt(c.after.at).Burst * c.after.limitFraction(contract, dc)
			if burst > 0 && burst < minBurst {
				c.warn(contractName(contract), "the burst in %s is %.3g; below %g nothing is admitted there while too few VMs "+
					"have a share", dc, burst, minBurst)
			}
		}
	}
}

func (c *comparison) warnGuarantees() {
	for _, s := range c.report.GuaranteeChecks {
		if !s.OK {
			c.warn(fmt.Sprintf("service %d", s.Service), "the guarantees add up to %d at %s UTC, but it has %d slots on "+
				"hosts that are not leaving", s.Guaranteed, s.Time, s.Slots)
		}
	}
}

func (c *comparison) warnBackends() {
	addresses := map[netip.AddrPort]pimid.BackendID{}
	for i := range c.before.pub.Backends {
		old := &c.before.pub.Backends[i]
		addresses[old.FlowAddress] = old.ID
		if updated := c.after.backend(old.ID); updated == nil && old.State == pimcontract.StateLive {
			c.warn(fmt.Sprintf("backend server %d", old.ID), "is removed without a drain; publish it as leaving first")
		}
	}
	for _, b := range c.after.pub.Backends {
		if id, ok := addresses[b.FlowAddress]; ok && id != b.ID {
			c.warn(fmt.Sprintf("backend server %d", b.ID), "reuses the address %s of backend server %d", b.FlowAddress, id)
		}
	}
}

func (c *comparison) warnNodes() {
	for i := range c.before.pub.Nodes {
		old := &c.before.pub.Nodes[i]
		if updated := c.after.node(old.ID); updated == nil && old.State == pimcontract.StateLive {
			c.warn(fmt.Sprintf("VM %d", old.ID), "is removed without leaving first; requests with this home VM become unknown")
		}
	}
	for _, dc := range c.dataCentres() {
		if c.before.countVMs(dc) > 0 && len(c.after.liveVMs(dc)) == 0 {
			c.warn(fmt.Sprintf("data centre %s", dc), "has no live VM left")
		}
	}
}

func (c *comparison) warnServices() {
	for i := range c.before.pub.Services {
		old := &c.before.pub.Services[i]
		if updated := c.after.service(old.ID); updated == nil {
			c.warn(fmt.Sprintf("service %d (%s)", old.ID, old.Name), "is removed")
		}
	}
}
