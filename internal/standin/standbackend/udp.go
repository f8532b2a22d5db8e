package standbackend

import (
	"context"
	"encoding/hex"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/pimentoyard/pimentoyard/internal/transport/pimudp"
)

const (
	// maxDatagram is the size of the receive buffer in bytes; every UDP datagram fits.
	maxDatagram = 65_535
	// maxOptions bounds the CoAP options of one message.
	maxOptions = 40
	// observeClose is the Observe value with which a caller ends a flow (RFC 7641, section 2).
	observeClose = 1
	// flowParameter is the prefix of the query parameter that names the flow of a PUT by its CoAP token in hexadecimal.
	flowParameter = "flow="
	// expiryInterval is the time between checks for expired flows when no notifications are sent.
	expiryInterval = time.Second
)

// readFlows receives encapsulated packets until the socket is closed.
func (s *Server) readFlows(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	var decapsulator pimudp.Decapsulator
	for ctx.Err() == nil {
		n, err := s.udp.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		inner, err := decapsulator.Decapsulate(buf[:n])
		if err != nil {
			s.records.malformed.Add(1)
			continue
		}
		s.handleFlow(inner)
	}
}

func (s *Server) handleFlow(inner pimudp.Inner) {
	if s.cfg.ServiceAddress.IsValid() && inner.Destination != s.cfg.ServiceAddress {
		s.records.misrouted.Add(1)
		return
	}
	m := message.Message{Options: make(message.Options, 0, maxOptions)}
	if _, err := coder.DefaultCoder.Decode(inner.Payload, &m); err != nil {
		s.records.malformed.Add(1)
		return
	}
	reply := reply{caller: inner.Source, token: m.Token, id: uint16(m.MessageID), typ: message.NonConfirmable}
	if m.Type == message.Confirmable {
		reply.typ = message.Acknowledgement
	}
	switch m.Code {
	case codes.GET:
		s.observe(&m, reply)
	case codes.PUT:
		s.put(&m, reply)
	default:
		s.records.malformed.Add(1)
	}
}

// observe opens, refreshes or ends a flow.
func (s *Server) observe(m *message.Message, r reply) {
	key := flowKey{caller: r.caller, token: string(m.Token)}
	r.code = codes.Content
	if value, err := m.Options.Observe(); err == nil && value == observeClose {
		s.flows.remove(key)
		s.send(r)
		return
	}
	fl, opened := s.flows.refresh(key, time.Now())
	if opened {
		s.records.recordNewWork(s.drainedAt.Load())
	}
	r.setFlowState(fl)
	s.send(r)
}

// put answers flow data with the identity of its flow, or with 4.04 if this server does not know the flow.
func (s *Server) put(m *message.Message, r reply) {
	r.code = codes.NotFound
	if fl, ok := s.flows.find(flowKey{caller: r.caller, token: flowToken(m.Options)}); ok {
		r.code = codes.Changed
		r.identity = fl.identity[:]
	}
	s.send(r)
}

// flowToken returns the CoAP token of the flow that a PUT belongs to, empty if there is none.
func flowToken(options message.Options) string {
	for _, o := range options {
		value, found := strings.CutPrefix(string(o.Value), flowParameter)
		if o.ID != message.URIQuery || !found {
			continue
		}
		if token, err := hex.DecodeString(value); err == nil {
			return string(token)
		}
	}
	return ""
}

// notifyLoop sends notifications on all flows and removes those that were not refreshed.
func (s *Server) notifyLoop(ctx context.Context) {
	interval := s.cfg.NotifyInterval
	if interval <= 0 {
		interval = expiryInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.notifyAll(s.flows.tick(now))
		}
	}
}

func (s *Server) notifyAll(alive []flow) {
	if s.cfg.NotifyInterval <= 0 {
		return
	}
	for _, fl := range alive {
		r := reply{
			caller: fl.key.caller,
			token:  []byte(fl.key.token),
			id:     uint16(fl.sequence),
			typ:    message.NonConfirmable,
			code:   codes.Content,
		}
		r.setFlowState(fl)
		s.send(r)
	}
}
