package pimudp

import (
	"net/netip"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
)

// responder replies to one packet from the socket that received it.
type responder struct {
	server   *Server
	sock     *socket
	source   netip.AddrPort
	exchange pimedge.Exchange
}

// Retain returns a responder for use after the handler has returned.
func (r *responder) Retain() Responder {
	kept := *r
	return &kept
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

// Forward encapsulates the packet and sends it to the flow address of a backend server; it returns the error of the
// socket or of the encapsulator.
func (r *responder) Forward(pkt *pimedge.Packet, flowAddress netip.AddrPort) (err error) {
	defer func() {
		if err != nil {
			err = oops.Wrapf(err, "forward flow packet")
		}
	}()
	e := r.server.getEncapsulator()
	defer r.server.putEncapsulator(e)
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
