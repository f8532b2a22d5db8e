package standbackend

import (
	"encoding/hex"
	"fmt"
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// reply is one CoAP message to a caller; identity is sent as ETag.
type reply struct {
	caller   netip.AddrPort
	token    []byte
	id       uint16
	typ      message.Type
	code     codes.Code
	identity []byte
	sequence uint32
	observe  bool
	body     []byte
}

// setFlowState makes the reply a notification with the identity and the sequence number of a flow.
func (r *reply) setFlowState(fl flow) {
	r.identity = fl.identity[:]
	r.sequence, r.observe = fl.sequence, true
	r.body = fmt.Appendf(nil, `{"flow":%q,"sequence":%d}`, hex.EncodeToString(r.identity), fl.sequence)
}

func (r *reply) encode() ([]byte, error) {
	options := make(message.Options, 0, 2)
	if len(r.identity) > 0 {
		options = options.Set(message.Option{ID: message.ETag, Value: r.identity})
	}
	if r.observe {
		options, _, _ = options.SetObserve(make([]byte, 4), r.sequence)
	}
	m := message.Message{
		Type:      r.typ,
		Code:      r.code,
		MessageID: int32(r.id),
		Token:     r.token,
		Options:   options,
		Payload:   r.body,
	}
	size, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return nil, err
	}
	datagram := make([]byte, size)
	_, err = coder.DefaultCoder.Encode(m, datagram)
	return datagram, err
}

func (s *Server) send(r reply) {
	datagram, err := r.encode()
	if err == nil {
		_, err = s.udp.WriteToUDPAddrPort(datagram, r.caller)
	}
	if err != nil {
		s.cfg.Log.Debug().Err(err).Msg("flow message not sent")
	}
}
