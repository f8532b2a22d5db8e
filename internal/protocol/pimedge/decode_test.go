package pimedge

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

var source = netip.MustParseAddrPort("127.0.0.1:4000")

func option(id message.OptionID, value string) message.Option {
	return message.Option{ID: id, Value: []byte(value)}
}

func datagram(t testing.TB, code codes.Code, body string, options ...message.Option) []byte {
	t.Helper()
	m := message.Message{Type: message.Confirmable, Code: code, MessageID: 0x1234, Token: []byte("tok"), Payload: []byte(body)}
	for _, o := range options {
		m.Options = m.Options.Add(o)
	}
	size, err := coder.DefaultCoder.Size(m)
	if err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, size)
	if _, err = coder.DefaultCoder.Encode(m, buf); err != nil {
		t.Fatal(err)
	}
	return buf
}

// Guards against packets of one kind that are decoded as another kind, and against lost request fields.
func TestDecodeReadsEveryField(t *testing.T) {
	is := is.New(t)
	d := NewDecoder()
	raw := datagram(t, codes.POST, "body", option(message.URIPath, "orders"), option(message.URIPath, "a/b"),
		option(message.URIQuery, "timeout_ms=1500"), option(message.URIQuery, "q=1&x"),
		option(message.Echo, "sealed"), option(message.RequestTag, "\x01\x02"))
	p, err := d.Decode(7, source, raw)
	is.NoErr(err)
	is.Equal(p.Kind, KindPost)
	is.Equal(int(p.Service), 7)
	is.Equal(p.Source, source)
	is.Equal(string(p.Token), "sealed")
	is.True(p.HasTag)
	is.Equal(int(p.Tag), 0x0102)
	is.Equal(p.Path, "/orders/a%2Fb?q=1%26x")
	is.Equal(p.Timeout, 1500*time.Millisecond)
	is.Equal(string(p.Body), "body")
	is.Equal(int(p.MessageID), 0x1234)
	is.Equal(string(p.CoAPToken), "tok")
	is.True(p.Confirmable)

	for name, c := range map[string]struct {
		raw  []byte
		kind Kind
	}{
		"observe": {datagram(t, codes.GET, "", option(message.Observe, "")), KindFlow},
		"data":    {datagram(t, codes.PUT, "x"), KindFlow},
		"get":     {datagram(t, codes.GET, ""), KindGet},
	} {
		p, err = d.Decode(7, source, c.raw)
		is.NoErr(err)
		if p.Kind != c.kind {
			t.Errorf("%s: kind %d, want %d", name, p.Kind, c.kind)
		}
	}
	is.True(!p.HasTag && len(p.Token) == 0) // no fields of an earlier packet are left
}

// Guards against bad datagrams that are accepted, answered although they must not be, or reported without a DecodeError.
func TestDecodeRejectsBadDatagrams(t *testing.T) {
	long := strings.Repeat("p", 256)
	many := make([]message.Option, maxOptions+1)
	for i := range many {
		many[i] = option(message.URIPath, "s")
	}
	ack := datagram(t, codes.GET, "")
	ack[0] |= byte(message.Acknowledgement) << 4
	cases := map[string]struct {
		raw        []byte
		cause      error
		answerable bool
	}{
		"empty":                 {nil, ErrMalformed, false},
		"short header":          {[]byte{0x40, 1, 0}, ErrMalformed, false},
		"version":               {[]byte{0x80, 1, 0, 1}, ErrMalformed, false},
		"token length 9":        {append([]byte{0x49, 1, 0, 1}, make([]byte, 9)...), ErrMalformed, false},
		"truncated token":       {[]byte{0x48, 1, 0, 1, 0}, ErrMalformed, false},
		"truncated option":      {[]byte{0x40, 1, 0, 1, 0xb5, 'a'}, ErrMalformed, true},
		"reserved option":       {[]byte{0x40, 1, 0, 1, 0xf0}, ErrMalformed, true},
		"marker without body":   {[]byte{0x40, 1, 0, 1, 0xff}, ErrMalformed, true},
		"ping":                  {[]byte{0x40, 0, 0, 1}, ErrNotRequest, false},
		"response":              {datagram(t, codes.Content, ""), ErrNotRequest, false},
		"acknowledgement":       {ack, ErrNotRequest, false},
		"delete":                {datagram(t, codes.DELETE, ""), ErrMethod, true},
		"long path segment":     {datagram(t, codes.POST, "", option(message.URIPath, long)), ErrOption, true},
		"long echo":             {datagram(t, codes.POST, "", option(message.Echo, long[:41])), ErrOption, true},
		"unknown critical":      {datagram(t, codes.GET, "", option(message.OptionID(9), "x")), ErrOption, true},
		"proxy":                 {datagram(t, codes.GET, "", option(message.ProxyURI, "coap://x")), ErrOption, true},
		"block-wise":            {datagram(t, codes.POST, "", option(message.Block1, "\x08")), ErrOption, true},
		"dot segment":           {datagram(t, codes.GET, "", option(message.URIPath, "..")), ErrOption, true},
		"timeout not a number":  {datagram(t, codes.GET, "", option(message.URIQuery, "timeout_ms=x")), ErrTimeout, true},
		"timeout zero":          {datagram(t, codes.GET, "", option(message.URIQuery, "timeout_ms=0")), ErrTimeout, true},
		"timeout beyond 32 bit": {datagram(t, codes.GET, "", option(message.URIQuery, "timeout_ms=4294967296")), ErrTimeout, true},
		"timeout twice": {datagram(t, codes.GET, "", option(message.URIQuery, "timeout_ms=1"),
			option(message.URIQuery, "timeout_ms=1")), ErrTimeout, true},
		"too many options": {datagram(t, codes.GET, "", many...), ErrTooManyOptions, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := NewDecoder().Decode(1, source, c.raw)
			var bad *DecodeError
			is.True(errors.As(err, &bad))
			is.True(errors.Is(err, c.cause))
			is.Equal(bad.Answerable, c.answerable)
			if c.answerable {
				is.Equal(bad.Exchange.CoAPToken(), c.raw[headerSize:headerSize+int(c.raw[0]&0xf)])
			}
		})
	}
}

// Guards against allocations for each flow packet.
func TestDecodeFlowPacketDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	raw := datagram(t, codes.GET, "", option(message.Observe, ""), option(message.URIPath, "feed"),
		option(message.Echo, strings.Repeat("e", 40)))
	d := NewDecoder()
	allocs := testing.AllocsPerRun(1000, func() {
		if _, err := d.Decode(1, source, raw); err != nil {
			t.Fatal(err)
		}
	})
	is.Equal(allocs, 0.0)
}

// Guards against a retained packet that changes when the read buffer is reused.
func TestCloneSharesNoMemory(t *testing.T) {
	is := is.New(t)
	raw := datagram(t, codes.POST, "body", option(message.Echo, "sealed"))
	p, err := NewDecoder().Decode(1, source, raw)
	is.NoErr(err)
	c := p.Clone()
	clear(raw)
	is.Equal(string(c.Body)+string(c.Token)+string(c.CoAPToken), "bodysealedtok")
	is.Equal(len(c.Raw), len(raw))
	is.True(c.Raw[0] != 0)
}

func BenchmarkDecodeFlowPacket(b *testing.B) {
	raw := datagram(b, codes.GET, "", option(message.Observe, ""), option(message.Echo, strings.Repeat("e", 40)))
	d := NewDecoder()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.Decode(1, source, raw); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against flows that are not counted, or get no new token, because their refreshes are not recognised.
func TestObserveMarksOpensAndRefreshesOnly(t *testing.T) {
	for name, tc := range map[string]struct {
		code  codes.Code
		value string
		want  bool
	}{
		"refresh":        {codes.GET, "", true},
		"refresh, zero":  {codes.GET, "\x00", true},
		"deregistration": {codes.GET, "\x01", false},
		"flow data":      {codes.PUT, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, err := NewDecoder().Decode(1, netip.AddrPort{}, datagram(t, tc.code, "", option(message.Observe, tc.value)))
			is.NoErr(err)
			is.Equal(p.Kind, KindFlow)
			is.Equal(p.Observe, tc.want)
		})
	}
}
