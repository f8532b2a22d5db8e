package main

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
)

// flowDatagram encodes a flow packet. A PUT carries data; a GET with the Observe option opens the flow.
func flowDatagram(code codes.Code, token, body []byte) ([]byte, error) {
	m := message.Message{Type: message.Confirmable, Code: code, MessageID: 1, Token: []byte("flow"), Payload: body}
	if code == codes.GET {
		m.Options = m.Options.Add(message.Option{ID: message.Observe})
	}
	if len(token) > 0 {
		m.Options = m.Options.Add(message.Option{ID: message.Echo, Value: token})
	}
	size, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return nil, err
	}
	p := make([]byte, size)
	_, err = coder.DefaultCoder.Encode(m, p)
	return p, err
}

// fetch routes a packet that opens a flow and returns the token of the reply. It fails if a rule other than want
// decided.
func (vm *flowVM) fetch(source netip.AddrPort, token []byte, want pimroute.Rule) ([]byte, error) {
	p, err := flowDatagram(codes.GET, token, nil)
	if err != nil {
		return nil, err
	}
	if err = vm.route(source, p, want); err != nil {
		return nil, err
	}
	return slices.Clone(vm.action.Reply.Token), nil
}

// route decodes and routes a datagram. It fails if a rule other than want decided.
func (vm *flowVM) route(source netip.AddrPort, datagram []byte, want pimroute.Rule) error {
	pkt, err := vm.dec.Decode(1, source, datagram)
	if err != nil {
		return err
	}
	vm.router.Route(vm.now, vm.unix, pkt, &vm.action)
	if vm.action.Rule != want {
		return fmt.Errorf("packet decided by rule %v, expected rule %v", vm.action.Rule, want)
	}
	return nil
}

// forward does all work for a packet of an established flow except for the system call that would send it.
func (vm *flowVM) forward(source netip.AddrPort, datagram []byte) error {
	if err := vm.route(source, datagram, pimroute.RuleEstablished); err != nil {
		return err
	}
	_, err := vm.encap.Encapsulate(source, vm.inner, datagram)
	return err
}

// packetTime forwards n packets of established flows and returns the mean time of one packet in nanoseconds.
func (vm *flowVM) packetTime(n int) (ns float64, err error) {
	datagrams := make([][]byte, flowsSample)
	sources := make([]netip.AddrPort, flowsSample)
	for i := range datagrams {
		if datagrams[i], err = vm.open(); err != nil {
			return 0, err
		}
		sources[i] = vm.source(vm.opened)
	}
	ns = perOp(n, func(i int) {
		if forwardErr := vm.forward(sources[i%flowsSample], datagrams[i%flowsSample]); forwardErr != nil {
			err = forwardErr
		}
	})
	return ns, err
}
