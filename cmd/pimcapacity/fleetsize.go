package main

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	// firstEdgePort is the lowest edge port, since lower ports need privileges.
	firstEdgePort = 1024
	// peerPort is above the edge ports of 8,900 services, since a VM opens both on the same address.
	peerPort      = 19500
	flowPort      = 5555
	httpPort      = 8080
	servicePort   = 5683
	loopbackOctet = 127
	// Loopback addresses of services, VMs and backend servers differ in the second octet.
	serviceOctet = 84
	nodeOctet    = 86
	backendOctet = 87
)

// keyPublished is long before any measurement, so that the key may seal tokens immediately.
var keyPublished = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)

// fleetSize is the number of objects of each kind in a generated fleet.
type fleetSize struct {
	Services    int `long:"services" default:"8900" description:"number of services"`
	Backends    int `long:"backends" default:"33000" description:"number of backend servers"`
	Contracts   int `long:"contracts" default:"8900" description:"number of contracts"`
	DataCentres int `long:"data-centres" default:"15" description:"number of data centres"`
	VMs         int `long:"vms" default:"5700" description:"number of VMs"`
}

// view generates the fleet. Its objects are distributed evenly over services and data centres.
func (s fleetSize) view() *pimview.View {
	v := &pimview.View{
		Revision:  1,
		Services:  make(map[pimid.ServiceID]pimview.Service, s.Services),
		Backends:  make(map[pimid.BackendID]pimview.Backend, s.Backends),
		Contracts: make(map[pimid.ContractID]pimcontract.Contract, s.Contracts),
		Nodes:     make(map[pimid.NodeID]pimview.Node, s.VMs),
		Keys:      []pimview.Key{{ID: 1, Secret: []byte("capacity key 128"), PublishedAt: keyPublished}},
	}
	for i := 1; i <= s.Services; i++ {
		v.Services[pimid.ServiceID(i)] = s.service(i)
	}
	for i := 1; i <= s.Backends; i++ {
		v.Backends[pimid.BackendID(i)] = s.backend(i)
	}
	for i := 1; i <= s.Contracts; i++ {
		v.Contracts[pimid.ContractID(i)] = s.contract(i)
	}
	for i := 1; i <= s.VMs; i++ {
		v.Nodes[pimid.NodeID(i)] = s.node(i)
	}
	return v
}

func (s fleetSize) service(i int) pimview.Service {
	return pimview.Service{
		ID: pimid.ServiceID(i), Name: fmt.Sprintf("service_%d", i),
		Address: loopback(serviceOctet, i, servicePort), EdgePort: uint16(firstEdgePort + i - 1),
	}
}

func (s fleetSize) backend(i int) pimview.Backend {
	return pimview.Backend{
		ID: pimid.BackendID(i), Generation: 1, Service: pimid.ServiceID(1 + (i-1)%s.Services), DataCentre: s.dataCentre(i),
		FlowAddress: loopback(backendOctet, i, flowPort), HTTPAddress: loopback(backendOctet, i, httpPort), Slots: 2,
		MaxConnections: 2000, State: pimview.BackendLive,
	}
}

func (s fleetSize) contract(i int) pimcontract.Contract {
	terms := pimcontract.Terms{
		RateLimit: 100, Burst: 20, FlowLimit: 1000, GuaranteedSlots: 4, LendLimit: 2, BorrowLimit: 4, ShareWeight: 1,
	}
	return pimcontract.Contract{
		ID: pimid.ContractID(i), Customer: pimid.Customer(fmt.Sprintf("customer_%d", i)),
		Service: pimid.ServiceID(1 + (i-1)%s.Services), Terms: terms, DefaultTimeout: pimcontract.Duration(time.Second),
		Sources: []netip.Prefix{netip.PrefixFrom(sourceOf(i), 32)},
	}
}

func (s fleetSize) node(i int) pimview.Node {
	return pimview.Node{
		ID: pimid.NodeID(i), DataCentre: s.dataCentre(i), PeerAddress: loopback(nodeOctet, i, peerPort),
		State: pimview.NodeLive, PublishedAt: keyPublished,
	}
}

func (s fleetSize) dataCentre(i int) pimid.DataCentre {
	return pimid.DataCentre(fmt.Sprintf("dc%d", 1+(i-1)%s.DataCentres))
}

// sourceOf returns the only source address of a contract.
func sourceOf(contract int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 3, byte(contract >> 8), byte(contract)})
}

func loopback(octet byte, i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{loopbackOctet, octet, byte(i >> 8), byte(i)}), port)
}
