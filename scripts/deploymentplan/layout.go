package main

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"path/filepath"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/pimsettings"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// errNoSource means that the first prefix of a contract contains fewer addresses for callers than needed, without those
// that belong to a longer prefix of another contract.
var errNoSource = errors.New("no caller address selects the contract")

// layout prints one line per service and process: its kind, then its arguments.
func layout(o *options, pub *pimcontract.Publication, now time.Time) error {
	if err := printVMs(o.Dir); err != nil {
		return err
	}
	addresses := make(map[pimid.ServiceID]netip.AddrPort, len(pub.Services))
	for _, s := range pub.Services {
		addresses[s.ID] = s.Address
		fmt.Printf("service %d %s %d\n", s.ID, s.Address, s.EdgePort)
	}
	for _, b := range pub.Backends {
		fmt.Printf("backend %d %d %s %s %s %d\n",
			b.ID, b.Generation, b.HTTPAddress, b.FlowAddress, addresses[b.Service], b.Slots)
	}
	for i := range pub.Contracts {
		if err := printCallers(o, pub, &pub.Contracts[i], addresses, now); err != nil {
			return err
		}
	}
	return nil
}

// printVMs prints the platform, which listens at the first URL in the settings, and the VMs.
func printVMs(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "settings", "*.toml"))
	if err != nil {
		return err
	}
	for i, file := range files {
		s, err := pimsettings.Read(file)
		if err != nil {
			return err
		}
		if i == 0 {
			u, err := url.Parse(s.Platform.URLs[0])
			if err != nil {
				return err
			}
			fmt.Printf("platform %s\n", u.Host)
		}
		fmt.Printf("vm %d %s %s\n", s.Node.ID, file, s.Operator.Address)
	}
	return nil
}

// printCallers prints several callers of equal rate for a contract, since a single address with a high rate would not
// be a realistic load.
func printCallers(
	o *options, pub *pimcontract.Publication, c *pimcontract.Contract, services map[pimid.ServiceID]netip.AddrPort,
	now time.Time,
) error {
	rate := float64(c.TermsAt(now).RateLimit) * o.Share / float64(o.Callers)
	address := c.Sources[0].Addr()
	for n := 1; n <= o.Callers; n++ {
		address = address.Next()
		for !selects(pub, c, address) {
			if address = address.Next(); !c.Sources[0].Contains(address) {
				return fmt.Errorf("contract %d: %w", c.ID, errNoSource)
			}
		}
		fmt.Printf("caller %d %d %s %s %.2f %s\n", c.ID, n, services[c.Service], address, rate,
			time.Duration(c.DefaultTimeout))
	}
	return nil
}

// selects reports whether the longest prefix of the contract's service that contains the address belongs to the
// contract.
func selects(pub *pimcontract.Publication, c *pimcontract.Contract, address netip.Addr) bool {
	longest, owner := -1, pimid.ContractID(0)
	for i := range pub.Contracts {
		other := &pub.Contracts[i]
		for _, p := range other.Sources {
			if other.Service == c.Service && p.Contains(address) && p.Bits() > longest {
				longest, owner = p.Bits(), other.ID
			}
		}
	}
	return owner == c.ID
}
