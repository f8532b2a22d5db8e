package pimedge

import (
	"encoding/json"
	"math"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"github.com/samber/oops"
)

// MaxBody is the largest answer body in bytes; an answer travels in one UDP datagram of at most 65,507 bytes.
const MaxBody = 60_000

// ErrorBody is the JSON body of a reply that a VM generates itself instead of passing on that of a backend server.
type ErrorBody struct {
	Outcome      Outcome `json:"outcome"`
	Reason       Reason  `json:"reason"`
	RetryAfterMS int64   `json:"retry_after_ms"`
}

// EncodeReply appends the CoAP datagram of a reply to dst; it returns the error of the codec.
// An ErrorBody has the content format JSON, and the body of a backend server has octet-stream.
func EncodeReply(dst []byte, x Exchange, r Reply) (datagram []byte, err error) {
	defer func() {
		if err != nil {
			err = oops.Wrapf(err, "encode reply")
		}
	}()
	r = limitBody(r)
	m := message.Message{
		Type:      typeOf(x),
		Code:      codeOf(r),
		MessageID: int32(x.MessageID),
		Token:     x.CoAPToken(),
	}
	if m.Payload, err = payloadOf(r); err != nil {
		return nil, err
	}
	m.Options = optionsOf(r, len(m.Payload))
	size, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return nil, err
	}
	start := len(dst)
	dst = append(dst, make([]byte, size)...)
	if _, err = coder.DefaultCoder.Encode(m, dst[start:]); err != nil {
		return nil, err
	}
	return dst, nil
}

// BadInput returns the reply to a datagram that is not a valid request.
func BadInput() Reply { return Reply{Outcome: OutcomeNotRun, Reason: ReasonBadInput} }

// limitBody turns an answer that does not fit into one datagram into a failure.
func limitBody(r Reply) Reply {
	if len(r.Body) <= MaxBody {
		return r
	}
	return Reply{Outcome: OutcomeFailed, Reason: ReasonTooLarge, Status: r.Status, Token: r.Token}
}

// typeOf returns the type of a reply: a confirmable message is answered in its acknowledgement (RFC 7252, 5.2.1). A
// non-confirmable reply reuses the message id of the request: all VMs reply from one address, so message ids that each
// VM assigns itself could collide at a caller.
func typeOf(x Exchange) message.Type {
	if x.Confirmable {
		return message.Acknowledgement
	}
	return message.NonConfirmable
}

// isVMError reports whether the reply has an ErrorBody: it is neither an answer nor the error of a backend server.
func isVMError(r Reply) bool {
	return r.Outcome != OutcomeAnswered && (r.Outcome != OutcomeFailed || r.Reason != ReasonNone)
}

func payloadOf(r Reply) ([]byte, error) {
	if !isVMError(r) {
		return r.Body, nil
	}
	return json.Marshal(ErrorBody{Outcome: r.Outcome, Reason: r.Reason, RetryAfterMS: ceil(r.RetryAfter, time.Millisecond)})
}

func optionsOf(r Reply, payload int) message.Options {
	options := make(message.Options, 0, 3)
	value := make([]byte, 8)
	switch {
	case isVMError(r):
		options, _, _ = options.SetContentFormat(value[:4], message.AppJSON)
	case payload > 0:
		options, _, _ = options.SetContentFormat(value[:4], message.AppOctets)
	}
	if r.Outcome == OutcomeNotRun && codeOf(r) != codeTokenNeeded {
		seconds := min(ceil(r.RetryAfter, time.Second), math.MaxUint32)
		options, _, _ = options.SetUint32(value[4:], message.MaxAge, uint32(seconds))
	}
	if len(r.Token) > 0 {
		options = options.Set(message.Option{ID: message.Echo, Value: r.Token})
	}
	return options
}

// ceil returns d in units, rounded up so that a caller never retries early; it is zero if d is not positive.
func ceil(d, unit time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d-1)/unit) + 1
}

func codeOf(r Reply) codes.Code {
	switch r.Outcome {
	case OutcomeAnswered:
		return codeOfStatus(r.Status)
	case OutcomeFailed:
		return codeOfFailure(r.Status)
	case OutcomeNotRun:
		return codeOfRefusal(r)
	default:
		return codes.GatewayTimeout
	}
}
