package pimedge

import (
	"encoding/binary"
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// maxOptions bounds the options of one message; a path of 16 segments and 16 query parameters fit.
const maxOptions = 40

// maxOptionValue is the length limit in bytes of the options that address a resource (RFC 7252, 5.10).
const maxOptionValue = 255

// headerSize is the length of the fixed CoAP header in bytes.
const headerSize = 4

// Decoder decodes datagrams into one reused packet; it is not safe for concurrent use.
type Decoder struct {
	msg message.Message
	pkt Packet
}

// NewDecoder returns a decoder.
func NewDecoder() *Decoder {
	return &Decoder{msg: message.Message{Options: make(message.Options, 0, maxOptions)}}
}

// Decode decodes one datagram; the packet refers to the datagram and is valid until the next call.
// The error is a *DecodeError.
func (d *Decoder) Decode(service pimid.ServiceID, source netip.AddrPort, datagram []byte) (*Packet, error) {
	if err := d.parse(datagram); err != nil {
		return nil, d.failure(err, datagram)
	}
	d.pkt = Packet{
		Service:     service,
		Source:      source,
		Body:        d.msg.Payload,
		MessageID:   uint16(d.msg.MessageID),
		CoAPToken:   d.msg.Token,
		Confirmable: d.msg.Type == message.Confirmable,
		Raw:         datagram,
	}
	if err := d.fill(); err != nil {
		return nil, d.failure(err, datagram)
	}
	return &d.pkt, nil
}

// parse runs the codec. The codec silently drops elective options of invalid length; without Echo, a message would count
// as one without a token. Such messages are detected by comparing the size of the decoded message with the received one,
// and rejected with ErrOption.
func (d *Decoder) parse(datagram []byte) error {
	if _, err := coder.DefaultCoder.Decode(datagram, &d.msg); err != nil {
		return err
	}
	size, err := coder.DefaultCoder.Size(d.msg)
	if err != nil {
		return err
	}
	if size != len(datagram) {
		return ErrOption
	}
	return nil
}

// fill sets the request fields of the packet; the error is a sentinel error of this package.
func (d *Decoder) fill() error {
	if d.msg.Type != message.Confirmable && d.msg.Type != message.NonConfirmable {
		return ErrNotRequest
	}
	observe, err := d.options()
	if err != nil {
		return err
	}
	kind, err := kindOf(d.msg.Code, observe)
	if err != nil {
		return err
	}
	d.pkt.Kind = kind
	if kind == KindFlow {
		return nil
	}
	d.pkt.Path, d.pkt.Timeout, err = pathOf(d.msg.Options)
	return err
}

func kindOf(code codes.Code, observe bool) (Kind, error) {
	switch {
	case code == codes.PUT, code == codes.GET && observe:
		return KindFlow, nil
	case code == codes.GET:
		return KindGet, nil
	case code == codes.POST:
		return KindPost, nil
	case code >= codes.GET && code < minResponseCode:
		return 0, ErrMethod
	default:
		return 0, ErrNotRequest
	}
}

// minResponseCode is the first code that is not a method (RFC 7252, section 12.1).
const minResponseCode = codes.Code(32)

// options reads the token, the request tag and Observe, and rejects unknown critical options.
func (d *Decoder) options() (observe bool, err error) {
	for i := range d.msg.Options {
		o := &d.msg.Options[i]
		switch o.ID {
		case message.Observe:
			observe = true
			d.pkt.Observe = d.msg.Code == codes.GET && !isDeregistration(o.Value)
		case message.Echo:
			d.pkt.Token = o.Value
		case message.RequestTag:
			d.pkt.Tag, d.pkt.HasTag = tagOf(o.Value), true
		case message.URIHost, message.URIPort, message.URIPath, message.URIQuery, message.Accept:
			// The codec keeps critical options that are longer than the RFC allows. A path segment must not be dropped, since
			// the message would address another resource.
			if len(o.Value) > maxOptionValue {
				return false, ErrOption
			}
		default:
			if isCritical(o.ID) {
				return false, ErrOption
			}
		}
	}
	return observe, nil
}

// isDeregistration reports whether an Observe value is 1, which ends a flow (RFC 7641, section 2).
func isDeregistration(value []byte) bool { return len(value) == 1 && value[0] == 1 }

// isCritical reports whether an unknown option must be rejected: odd option numbers are critical (RFC 7252, 5.4.6).
func isCritical(id message.OptionID) bool { return id&1 == 1 }

// tagOf reads the value of a Request-Tag option as a big-endian number; parse rejects values of more than 8 bytes.
func tagOf(value []byte) pimid.RequestTag {
	var wide [8]byte
	copy(wide[len(wide)-len(value):], value)
	return pimid.RequestTag(binary.BigEndian.Uint64(wide[:]))
}
