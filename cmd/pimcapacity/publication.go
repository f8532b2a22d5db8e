package main

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// publicationCommand prints a generated fleet as a file for standin-platform.
type publicationCommand struct {
	out *output
	fleetSize
}

// publication is the file format of standin-platform.
type publication struct {
	Services  map[pimid.ServiceID]pimview.Service       `json:"services"`
	Backends  map[pimid.BackendID]pimview.Backend       `json:"backends"`
	Contracts map[pimid.ContractID]pimcontract.Contract `json:"contracts"`
	Nodes     map[pimid.NodeID]pimview.Node             `json:"nodes"`
	Keys      map[uint8]pimview.Key                     `json:"keys"`
	VMs       []pimview.Node                            `json:"vms"`
}

// Execute prints the publication as JSON.
func (c *publicationCommand) Execute([]string) error {
	if err := c.validate(); err != nil {
		return err
	}
	v := c.view()
	p := publication{
		Services: v.Services, Backends: v.Backends, Contracts: v.Contracts, Nodes: v.Nodes,
		Keys: map[uint8]pimview.Key{},
	}
	for _, k := range v.Keys {
		p.Keys[k.ID] = k
	}
	for i := 1; i <= c.VMs; i++ {
		p.VMs = append(p.VMs, v.Nodes[pimid.NodeID(i)])
	}
	return json.NewEncoder(c.out.w).Encode(p)
}

// validate rejects sizes at which ids, addresses or edge ports would repeat.
func (s fleetSize) validate() error {
	limits := []struct {
		name       string
		value, max int
	}{
		{"services", s.Services, peerPort - firstEdgePort},
		{"backends", s.Backends, math.MaxUint16},
		{"contracts", s.Contracts, math.MaxUint16},
		{"data-centres", s.DataCentres, math.MaxUint16},
		{"vms", s.VMs, math.MaxUint16},
	}
	for _, l := range limits {
		if l.value < 1 || l.value > l.max {
			return fmt.Errorf("%s is %d and must be from 1 to %d", l.name, l.value, l.max)
		}
	}
	return nil
}
