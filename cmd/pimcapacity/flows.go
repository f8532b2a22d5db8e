package main

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimquota"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimudp"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

type flowsCommand struct {
	out     *output
	Sizes   []int `long:"size" default:"1000" default:"10000" default:"100000" description:"number of open flows"`
	Packets int   `long:"packets" default:"200000" description:"flow packets to average over"`
}

const (
	flowsBackends = 150
	// flowsPorts is the number of different source ports of the callers.
	flowsPorts = 50_000
	// flowsSample is the number of established flows whose packets are timed.
	flowsSample = 1000
	// flowsGap is the simulated time between two opens; it gives 1,000 opens per second.
	flowsGap = time.Millisecond
	// flowsBody is the size of the data in a flow packet in bytes.
	flowsBody = 64
	// flowsLimit exceeds the number of flows of every run, so that no open is refused.
	flowsLimit = 1_000_000_000
)

// Execute runs the measurements and prints each quantity with its fitted line.
func (c *flowsCommand) Execute([]string) error {
	var sizes, heap, open, packet []float64
	for _, n := range c.Sizes {
		vm, err := newFlowVM()
		if err != nil {
			return err
		}
		// The first flows allocate buffers that all later flows reuse. They must not count as memory of the flows.
		if err = vm.openAll(flowsSample); err != nil {
			return err
		}
		var ns float64
		grown := liveBytes(func() *flowVM {
			start := time.Now()
			err = vm.openAll(n)
			ns = float64(time.Since(start).Nanoseconds()) / float64(n)
			return vm
		})
		if err != nil {
			return err
		}
		packetNs, err := vm.packetTime(c.Packets)
		if err != nil {
			return err
		}
		sizes, heap = append(sizes, float64(n)), append(heap, grown)
		open, packet = append(open, ns), append(packet, packetNs)
	}
	return c.out.print([]series{
		newSeries("growth of the heap by open flows", "B", "flows", sizes, heap),
		newSeries("one open of a flow: 3 packets built and handled, with ticks", "ns", "flows", sizes, open),
		newSeries("decode, route and encapsulate one flow packet", "ns", "flows", sizes, packet),
	})
}

// flowVM is the part of one VM that handles flow packets, without sockets.
type flowVM struct {
	routerStubs
	now pimclock.Instant
	// unix is the wall clock in Unix seconds.
	unix   int64
	opened int
	rng    *rand.Rand
	quota  *pimquota.Pool
	hosts  *pimpick.Hosts
	router *pimroute.Router
	dec    *pimedge.Decoder
	encap  *pimudp.Encapsulator
	action pimroute.Action
	// inner is the destination of the encapsulated packets.
	inner netip.AddrPort
}

func newFlowVM() (*flowVM, error) {
	s := fleetSize{Services: 1, Contracts: 1, Backends: flowsBackends, DataCentres: 1, VMs: 1}
	view := s.view()
	vm := &flowVM{
		now: pimclock.Instant(time.Hour), unix: routerUnix, rng: rand.New(rand.NewPCG(1, 1)),
		hosts: pimpick.NewHosts(pimpick.DefaultConfig(1), pimpick.PowerOfTwo{}),
		dec:   pimedge.NewDecoder(), encap: pimudp.NewEncapsulator(), inner: view.Services[1].Address,
	}
	cfg := routerConfig()
	cfg.Placer, cfg.Admitter = vm, vm
	vm.router = pimroute.New(cfg)
	vm.quota = pimquota.New(pimquota.Config{
		Self: 1, Incarnation: 1, OwnerOf: func(pimid.ContractID) pimid.NodeID { return 1 },
		Send: func(pimid.NodeID, *pimpb.BorrowQuotaRequest) {},
	})
	vm.quota.Publish(vm.now, flowsPublication())
	var hosts []pimpick.Host
	for id, b := range view.Backends {
		hosts = append(hosts, pimpick.Host{ID: id, Generation: b.Generation, Service: b.Service, MaxConnections: flowsLimit})
	}
	vm.hosts.SetHosts(vm.now, hosts)
	// A VM admits its full share of the open flows only after the first refresh period, so the clock is advanced beyond it.
	vm.advance(time.Minute)
	return vm, vm.router.Update(vm.unix, view)
}

func flowsPublication() pimquota.Publication {
	limits := map[pimid.ContractID]pimquota.Limit{1: {Rate: 1, Burst: 1, Flows: flowsLimit, DataCentreFraction: 1}}
	return pimquota.Publication{Nodes: 1, Listed: true, InForce: time.Hour, Limits: limits}
}

func (vm *flowVM) advance(d time.Duration) { vm.now = vm.now.Add(d) }

// Place implements pimroute.Placer.
func (vm *flowVM) Place(now pimclock.Instant, service pimid.ServiceID) (pimid.BackendID, bool) {
	id, _, err := vm.hosts.Pick(now, service, vm.rng)
	return id, err == nil
}

// AdmitFlow implements pimroute.Admitter.
func (vm *flowVM) AdmitFlow(now pimclock.Instant, contract pimid.ContractID) (bool, time.Duration) {
	return vm.quota.OpenFlow(now, contract), 0
}

// RefreshFlow implements pimroute.Admitter.
func (vm *flowVM) RefreshFlow(now pimclock.Instant, contract pimid.ContractID) {
	vm.quota.RefreshFlow(now, contract)
}

// openAll opens n flows that differ from all earlier ones.
func (vm *flowVM) openAll(n int) error {
	for range n {
		if _, err := vm.open(); err != nil {
			return err
		}
	}
	return nil
}

// open opens a flow as a caller does, sends one data packet and returns the datagram of that packet.
func (vm *flowVM) open() (data []byte, err error) {
	vm.opened++
	vm.advance(flowsGap)
	if time.Duration(vm.now)%quotaTick == 0 {
		vm.quota.Tick(vm.now)
	}
	source := vm.source(vm.opened)
	token, err := vm.fetch(source, nil, pimroute.RuleNoToken)
	if err != nil {
		return nil, err
	}
	if token, err = vm.fetch(source, token, pimroute.RuleFlowOpened); err != nil {
		return nil, err
	}
	if data, err = flowDatagram(codes.PUT, token, make([]byte, flowsBody)); err != nil {
		return nil, err
	}
	return data, vm.forward(source, data)
}

// source returns the source address of the i-th flow. It repeats after flowsPorts flows, which is allowed because the
// address identifies only the contract.
func (vm *flowVM) source(i int) netip.AddrPort {
	return netip.AddrPortFrom(sourceOf(1), uint16(firstEdgePort+i%flowsPorts))
}
