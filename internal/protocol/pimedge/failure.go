package pimedge

import (
	"encoding/binary"
	"errors"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// failure returns the typed error of a datagram. It parses the header itself, because the codec may have failed before
// it returned the header.
func (d *Decoder) failure(cause error, datagram []byte) *DecodeError {
	e := &DecodeError{Cause: cause}
	if !isSentinel(cause) {
		e.Cause, e.Detail = ErrMalformed, cause
	}
	if errors.Is(cause, message.ErrOptionsTooSmall) {
		e.Cause = ErrTooManyOptions
	}
	e.Exchange, e.Answerable = requestHeader(datagram)
	return e
}

func isSentinel(err error) bool {
	for _, sentinel := range []error{ErrNotRequest, ErrMethod, ErrOption, ErrTimeout} {
		if errors.Is(err, sentinel) {
			return true
		}
	}
	return false
}

// requestHeader returns the exchange of a request; ok is false for a datagram that must not be answered.
func requestHeader(datagram []byte) (e Exchange, ok bool) {
	if len(datagram) < headerSize || datagram[0]>>6 != 1 {
		return Exchange{}, false
	}
	typ := message.Type(datagram[0] >> 4 & 3)
	code := codes.Code(datagram[1])
	tokenLen := int(datagram[0] & 0xf)
	if code == codes.Empty || code >= minResponseCode || tokenLen > MaxCoAPToken {
		return Exchange{}, false
	}
	if typ != message.Confirmable && typ != message.NonConfirmable || len(datagram) < headerSize+tokenLen {
		return Exchange{}, false
	}
	id := binary.BigEndian.Uint16(datagram[2:headerSize])
	token := datagram[headerSize : headerSize+tokenLen]
	return NewExchange(id, token, typ == message.Confirmable), true
}
