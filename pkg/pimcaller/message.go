package pimcaller

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

const (
	// maxOptions is the largest number of options that a received message may have.
	maxOptions = 40
	// maxBody is the largest request body in bytes; a request travels in one datagram.
	maxBody = 60_000
	// maxOptionValue is the length limit of a path segment or query parameter in bytes.
	maxOptionValue = 255
)

// The errors of a request that cannot be encoded.
var (
	// ErrBodyTooLarge means that the body is longer than maxBody, so the request may not fit into one datagram.
	ErrBodyTooLarge = errors.New("request body exceeds 60000 bytes")
	// ErrPath means that a path segment or query parameter has invalid escapes or is longer than maxOptionValue.
	ErrPath = errors.New("path segment or query parameter has invalid escapes or exceeds 255 bytes")
)

// coapToken is the token of the CoAP header, which identifies one exchange or flow; it is not the sealed token in the
// Echo option.
type coapToken [8]byte

// request is the content of a message to a VM.
type request struct {
	code    codes.Code
	path    string
	body    []byte
	timeout time.Duration
	// echo is the token that a VM issued; empty means none.
	echo []byte
	// tag is the value of the Request-Tag option, which is sent if hasTag is set.
	tag    uint64
	hasTag bool
	// observe is the value of the Observe option; negative means none.
	observe int
}

func (r *request) encode(token coapToken, id uint16) (datagram []byte, err error) {
	if len(r.body) > maxBody {
		return nil, ErrBodyTooLarge
	}
	options, err := r.options()
	if err != nil {
		return nil, err
	}
	m := message.Message{
		Type:      message.Confirmable,
		Code:      r.code,
		MessageID: int32(id),
		Token:     token[:],
		Options:   options,
		Payload:   r.body,
	}
	size, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return nil, err
	}
	datagram = make([]byte, size)
	_, err = coder.DefaultCoder.Encode(m, datagram)
	return datagram, err
}

func (r *request) options() (options message.Options, err error) {
	options, err = r.pathOptions(make(message.Options, 0, maxOptions))
	if err != nil {
		return nil, err
	}
	if r.observe >= 0 {
		options, _, _ = options.SetObserve(make([]byte, 4), uint32(r.observe))
	}
	if r.timeout > 0 {
		ms := max(r.timeout.Milliseconds(), 1)
		options = options.Add(message.Option{
			ID:    message.URIQuery,
			Value: []byte("timeout_ms=" + strconv.FormatInt(ms, 10)),
		})
	}
	if len(r.echo) > 0 {
		options = options.Set(message.Option{ID: message.Echo, Value: r.echo})
	}
	if r.hasTag {
		tag := binary.BigEndian.AppendUint64(nil, r.tag)
		options = options.Set(message.Option{ID: message.RequestTag, Value: tag})
	}
	return options, nil
}

func (r *request) pathOptions(options message.Options) (message.Options, error) {
	path, query, _ := strings.Cut(r.path, "?")
	for segment := range strings.SplitSeq(strings.TrimPrefix(path, "/"), "/") {
		value, err := url.PathUnescape(segment)
		if err != nil || len(value) > maxOptionValue {
			return nil, ErrPath
		}
		options = options.Add(message.Option{ID: message.URIPath, Value: []byte(value)})
	}
	if query == "" {
		return options, nil
	}
	for parameter := range strings.SplitSeq(query, "&") {
		value, err := url.QueryUnescape(parameter)
		if err != nil || len(value) > maxOptionValue {
			return nil, ErrPath
		}
		options = options.Add(message.Option{ID: message.URIQuery, Value: []byte(value)})
	}
	return options, nil
}

// errorBody is the JSON body of an error reply that a VM generates itself instead of passing on an answer of the
// backend server.
type errorBody struct {
	Outcome      Outcome `json:"outcome"`
	Reason       string  `json:"reason"`
	RetryAfterMS int64   `json:"retry_after_ms"`
}

func parseErrorBody(body []byte) (e errorBody, err error) {
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	err = d.Decode(&e)
	return e, err
}
