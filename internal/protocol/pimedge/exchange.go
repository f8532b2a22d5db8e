package pimedge

import "bytes"

// MaxCoAPToken is the length limit of a CoAP token in bytes (RFC 7252, section 3).
const MaxCoAPToken = 8

// Exchange identifies the message that a reply answers. It shares no memory with the datagram, so that it may be kept.
type Exchange struct {
	MessageID   uint16
	Confirmable bool
	token       [MaxCoAPToken]byte
	tokenLen    uint8
}

// NewExchange returns the exchange of a message; a CoAP token of more than MaxCoAPToken bytes is truncated.
func NewExchange(messageID uint16, coapToken []byte, confirmable bool) (e Exchange) {
	e.MessageID = messageID
	e.Confirmable = confirmable
	e.tokenLen = uint8(copy(e.token[:], coapToken))
	return e
}

// CoAPToken returns the CoAP token.
func (e *Exchange) CoAPToken() []byte { return e.token[:e.tokenLen] }

// Exchange returns the fields of the packet that EncodeReply needs for a reply to it.
func (p *Packet) Exchange() Exchange {
	return NewExchange(p.MessageID, p.CoAPToken, p.Confirmable)
}

// Clone returns a copy that shares no memory with the read buffer.
func (p *Packet) Clone() *Packet {
	c := *p
	c.Token = bytes.Clone(p.Token)
	c.Body = bytes.Clone(p.Body)
	c.CoAPToken = bytes.Clone(p.CoAPToken)
	c.Raw = bytes.Clone(p.Raw)
	return &c
}

// Responder answers one packet; it is safe for concurrent use.
type Responder interface {
	// Reply sends the reply to the caller; it returns the error of the socket or of the encoder.
	Reply(r Reply) error
}
