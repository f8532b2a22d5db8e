package pimcaller

import (
	"bytes"
	"errors"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// errMalformed means that a datagram has a longer CoAP token than any message of this package.
var errMalformed = errors.New("malformed response: CoAP token longer than 8 bytes")

// codeTokenNeeded is 4.01, with which a VM rejects a message without a valid token and issues a new token.
const codeTokenNeeded = codes.Code(4<<5 | 1)

// response is one received message; its slices do not refer to the read buffer.
type response struct {
	typ        message.Type
	code       codes.Code
	id         uint16
	token      coapToken
	observe    uint32
	hasObserve bool
	// json is set if the content format is JSON, which only VMs use for error replies.
	json bool
	// echo is a new token; empty means none.
	echo []byte
	// identity is the flow identity of the backend server, from the ETag option.
	identity []byte
	body     []byte
}

// decode parses one datagram; it copies the datagram first, since the read buffer is reused.
func decode(datagram []byte) (r *response, err error) {
	m := message.Message{Options: make(message.Options, 0, maxOptions)}
	if _, err = coder.DefaultCoder.Decode(bytes.Clone(datagram), &m); err != nil {
		return nil, err
	}
	if len(m.Token) > len(coapToken{}) {
		return nil, errMalformed
	}
	r = &response{typ: m.Type, code: m.Code, id: uint16(m.MessageID), body: m.Payload}
	copy(r.token[:], m.Token)
	r.readOptions(m.Options)
	return r, nil
}

func (r *response) readOptions(options message.Options) {
	if format, err := options.ContentFormat(); err == nil {
		r.json = format == message.AppJSON
	}
	if observe, err := options.Observe(); err == nil {
		r.observe, r.hasObserve = observe, true
	}
	if echo, err := options.GetBytes(message.Echo); err == nil {
		r.echo = echo
	}
	if identity, err := options.GetBytes(message.ETag); err == nil {
		r.identity = identity
	}
}

// offersToken reports whether a VM asks the caller to send the message again with the new token in echo.
func (r *response) offersToken() bool { return r.code == codeTokenNeeded && len(r.echo) > 0 }

func (r *response) class() uint8 { return uint8(r.code >> 5) }

// result derives the result of the request from the response. A 5.xx answer of the backend server means Failed, and any
// other complete answer means Answered, also 4.xx; a VM's own error reply states the outcome itself.
func (r *response) result() Result {
	res := Result{Code: uint8(r.code), Body: r.body}
	switch class := r.class(); {
	case class < 2 || class > 5:
		res.Outcome, res.Reason = Unknown, ReasonMalformed
	case class >= 4 && r.json:
		return r.vmErrorResult()
	case class == 5:
		res.Outcome, res.Reason = Failed, "backend_error"
	default:
		res.Outcome = Answered
	}
	return res
}

// vmErrorResult returns the outcome that a VM states in its own error reply. If the body cannot be read, it is not
// known whether the request ran.
func (r *response) vmErrorResult() Result {
	res := Result{Outcome: Unknown, Reason: ReasonMalformed, Code: uint8(r.code)}
	e, err := parseErrorBody(r.body)
	if err != nil {
		return res
	}
	switch e.Outcome {
	case NotRun, Unknown, Failed:
		res.Outcome, res.Reason = e.Outcome, e.Reason
		res.RetryAfter = time.Duration(e.RetryAfterMS) * time.Millisecond
	}
	return res
}
