package pimudp

import (
	"net/netip"
	"sync"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
)

// encapsulators holds idle encapsulators, since a responder may be used from any goroutine.
var encapsulators = sync.Pool{New: func() any { return NewEncapsulator() }}

// responder answers one packet from the socket that received it.
type responder struct {
	server   *Server
	sock     *socket
	source   netip.AddrPort
	exchange pimedge.Exchange
}

// Reply sends the reply to the caller; it returns the error of the socket or of the encoder.
func (r *responder) Reply(reply pimedge.Reply) (err error) {
	defer func() {
		if err != nil {
			err = oops.Wrapf(err, "send reply")
		}
	}()
	datagram, err := pimedge.EncodeReply(nil, r.exchange, reply)
	if err != nil {
		return err
	}
	if _, err = r.sock.conn.WriteToUDPAddrPort(datagram, r.source); err != nil {
		return err
	}
	r.server.counters.replied.Add(1)
	return nil
}

// Forward sends the packet to the flow address of a backend server; it returns the error of the socket or the codec.
func (r *responder) Forward(pkt *pimedge.Packet, flowAddress netip.AddrPort) (err error) {
	defer func() {
		if err != nil {
			err = oops.Wrapf(err, "forward flow packet")
		}
	}()
	e := encapsulators.Get().(*Encapsulator)
	defer encapsulators.Put(e)
	packet, err := e.Encapsulate(pkt.Source, r.sock.service.Address, pkt.Raw)
	if err != nil {
		return err
	}
	if _, err = r.sock.conn.WriteToUDPAddrPort(packet, flowAddress); err != nil {
		return err
	}
	r.server.counters.forwarded.Add(1)
	return nil
}
