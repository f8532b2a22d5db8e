package pimcaller

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// scriptServer simulates the VMs and backend servers behind one service address with scripted answers.
type scriptServer struct {
	conn *net.UDPConn
	// handle answers one message; n counts the messages with a token from 1 and is 0 without one.
	handle func(n int, m message.Message) []message.Message
	wg     sync.WaitGroup

	mu       sync.Mutex
	received [][]byte
}

// serve starts a scriptServer on a loopback port and returns it with a caller that sends to it. Unless cfg sets them,
// the retransmission times are short, so that tests with lost datagrams end soon.
func serve(t *testing.T, cfg Config, handle func(n int, m message.Message) []message.Message) (*Caller, *scriptServer) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptServer{conn: conn, handle: handle}
	s.wg.Go(s.run)
	cfg.Service = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	if cfg.AckTimeout == 0 {
		cfg.AckTimeout, cfg.MaxAckTimeout = 5*time.Millisecond, 20*time.Millisecond
	}
	c, cleanup, err := Dial(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cleanup()
		_ = conn.Close()
		s.wg.Wait()
	})
	return c, s
}

func (s *scriptServer) run() {
	buf := make([]byte, maxDatagram)
	n := 0
	for {
		size, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		m := message.Message{Options: make(message.Options, 0, maxOptions)}
		if _, err = coder.DefaultCoder.Decode(buf[:size], &m); err != nil || m.Code == codes.Empty {
			continue
		}
		number := 0
		if m.Options.HasOption(message.Echo) {
			n++
			number = n
			s.mu.Lock()
			s.received = append(s.received, append([]byte(nil), buf[:size]...))
			s.mu.Unlock()
		}
		for _, reply := range s.answers(number, m) {
			out := make([]byte, maxDatagram)
			if size, err = coder.DefaultCoder.Encode(reply, out); err == nil {
				_, _ = s.conn.WriteToUDPAddrPort(out[:size], from)
			}
		}
	}
}

// answers offers a token for messages without one, as every VM does, and passes all others to handle.
func (s *scriptServer) answers(n int, m message.Message) []message.Message {
	if n == 0 {
		return []message.Message{offer(m, "token-1")}
	}
	return s.handle(n, m)
}

// withToken returns the datagrams that carried a token.
func (s *scriptServer) withToken() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// reply answers m in its acknowledgement.
func reply(m message.Message, code codes.Code, body string) message.Message {
	return message.Message{
		Type: message.Acknowledgement, Code: code, MessageID: m.MessageID, Token: m.Token, Payload: []byte(body),
	}
}

// with returns m with the option id set to value.
func with(m message.Message, id message.OptionID, value string) message.Message {
	m.Options = append(message.Options(nil), m.Options...).Set(message.Option{ID: id, Value: []byte(value)})
	return m
}

// jsonReply answers m with content format JSON (50), as a VM does in its own error replies.
func jsonReply(m message.Message, code codes.Code, body string) message.Message {
	return with(reply(m, code, body), message.ContentFormat, "\x32")
}

// offer answers m with 4.01 and a token, as a VM does if the token of m is missing or not accepted.
func offer(m message.Message, echo string) message.Message {
	body := `{"outcome":"not_run","reason":"no_token","retry_after_ms":0}`
	return with(jsonReply(m, codeTokenNeeded, body), message.Echo, echo)
}

// notification answers m with a notification of a flow that has the given flow identity.
func notification(m message.Message, identity string, sequence byte) message.Message {
	r := with(reply(m, codes.Content, "n"), message.ETag, identity)
	return with(r, message.Observe, string([]byte{sequence}))
}
