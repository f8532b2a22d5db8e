package standbackend

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimhttp"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimudp"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// setup starts a server and a client with a short StallTimeout.
func setup(t *testing.T, cfg Config) (*Server, func(method, path, body string) pimhttp.Result) {
	t.Helper()
	cfg.HTTPAddress, cfg.FlowAddress, cfg.Generation = loopback, loopback, 3
	s, cleanup, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	client, closeClient := pimhttp.NewClient(pimhttp.Config{StallTimeout: 20 * time.Millisecond})
	t.Cleanup(closeClient)
	b := pimview.Backend{HTTPAddress: s.HTTPAddress()}
	return s, func(method, path, body string) pimhttp.Result {
		deadline := pimclock.Boot{}.Now().Add(time.Minute)
		return client.Do(context.Background(), b, method, path, []byte(body), deadline)
	}
}

// Guards against a stand-in that does not record what it runs, since tests of at-most-once execution rely on the
// records.
func TestWorkIsRecordedAndAnswered(t *testing.T) {
	is := is.New(t)
	s, do := setup(t, Config{ID: 5})
	res := do(http.MethodPost, "/orders?id=a&bytes=300", "12345")
	is.Equal(res.Status, http.StatusOK)
	var a Answer
	is.NoErr(json.Unmarshal(res.Body, &a))
	is.Equal(a.ID+a.Method+a.Path, "aPOST/orders")
	is.Equal(a.BodyBytes, 5)
	is.True(len(res.Body) >= 300)
	do(http.MethodPost, "/orders?id=a", "")
	do(http.MethodGet, "/orders?id=b", "")
	is.Equal(string(do(http.MethodGet, "/executed", "").Body), "{\"a\":2}\n")
	st := s.Stats()
	is.Equal(st.Posts, 2)
	is.Equal(st.Repeated, 1)
	is.Equal(st.Gets, int64(1))
}

// Guards against a full server that runs or records what it sheds.
func TestFullServerSheds(t *testing.T) {
	is := is.New(t)
	s, do := setup(t, Config{Slots: 1, RetryAfter: 1500 * time.Millisecond})
	s.slots <- struct{}{}
	res := do(http.MethodPost, "/?id=a", "")
	is.True(res.Shed)
	is.Equal(res.RetryAfter, 2*time.Second)
	is.Equal(len(s.Executed()), 0)
	<-s.slots
	is.Equal(do(http.MethodPost, "/?id=a", "").Outcome, pimedge.OutcomeAnswered)
}

// Guards against requests that run beyond their deadline.
func TestDeadlineEndsWork(t *testing.T) {
	is := is.New(t)
	s, _ := setup(t, Config{ServiceTime: time.Hour})
	url := "http://" + s.HTTPAddress().String() + "/?id=a"
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, nil)
	is.NoErr(err)
	req.Header.Set("Request-Timeout-Ms", "1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.Equal(s.Stats().Cancelled, int64(1))
}

// Guards against a stall that also affects new connections, and against a stalled connection that the client cannot
// tell from a slow response.
func TestStallSparesNewConnections(t *testing.T) {
	is := is.New(t)
	s, do := setup(t, Config{})
	// The first answer repeats the number of its request, so the connection of the second one is kept.
	is.Equal(do(http.MethodPost, "/?id=first", "").Outcome, pimedge.OutcomeAnswered)
	is.Equal(do(http.MethodPost, "/?id=a", "").Outcome, pimedge.OutcomeAnswered)
	s.StallConnections()
	res := do(http.MethodPost, "/?id=b", "x")
	is.Equal(res.Outcome, pimedge.OutcomeUnknown)
	is.True(res.NoProgress)
	is.Equal(s.Executed()["b"], 1) // it was executed, although no response came
	is.Equal(do(http.MethodPost, "/?id=c", "").Outcome, pimedge.OutcomeAnswered)
}

// Guards against a drain that the load endpoint does not report, and against new work after the start of a drain that
// the statistics do not count.
func TestDrainIsReported(t *testing.T) {
	is := is.New(t)
	s, do := setup(t, Config{})
	is.Equal(do(http.MethodPost, "/drain", "").Status, http.StatusNoContent)
	is.True(strings.Contains(string(do(http.MethodGet, "/load", "").Body), `"draining":true,"generation":3`))
	do(http.MethodPost, "/?id=a", "")
	is.Equal(s.Stats().AfterDrain, int64(1))
}

// Guards against a cold start that does not end, and against a misleading load report that shows the real load.
func TestColdStartAndMisleadingLoad(t *testing.T) {
	is := is.New(t)
	cfg := Config{ServiceTime: time.Second, ColdFactor: 5, ColdFor: 10 * time.Second}
	is.Equal(cfg.serviceTime(0), 5*time.Second)
	is.Equal(cfg.serviceTime(5*time.Second), 3*time.Second)
	is.Equal(cfg.serviceTime(10*time.Second), time.Second)
	s, do := setup(t, Config{})
	s.slots <- struct{}{}
	do(http.MethodPost, "/drain", "")
	do(http.MethodPost, "/mislead", "")
	want := `{"in_flight":0,"connections":0,"draining":false,"generation":3}` + "\n"
	is.Equal(string(do(http.MethodGet, "/load", "").Body), want)
}

// flowClient sends encapsulated packets as a VM does, and receives the direct answers as the caller does.
type flowClient struct {
	t    *testing.T
	conn *net.UDPConn
	to   netip.AddrPort
}

func (c *flowClient) send(destination netip.AddrPort, code codes.Code, token string, options ...message.Option) {
	m := message.Message{Type: message.Confirmable, Code: code, MessageID: 1, Token: []byte(token)}
	for _, o := range options {
		m.Options = m.Options.Add(o)
	}
	buf := make([]byte, 1500)
	n, err := coder.DefaultCoder.Encode(m, buf)
	if err != nil {
		c.t.Fatal(err)
	}
	source := c.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	packet, err := pimudp.NewEncapsulator().Encapsulate(source, destination, buf[:n])
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err = c.conn.WriteToUDPAddrPort(packet, c.to); err != nil {
		c.t.Fatal(err)
	}
}

func (c *flowClient) receive() (m message.Message, identity string) {
	buf := make([]byte, 1500)
	n, err := c.conn.Read(buf)
	if err != nil {
		c.t.Fatal(err)
	}
	m.Options = make(message.Options, 0, 8)
	if _, err = coder.DefaultCoder.Decode(buf[:n], &m); err != nil {
		c.t.Fatal(err)
	}
	tag, _ := m.Options.GetBytes(message.ETag)
	return m, string(tag)
}

// Guards against flows whose identity changes although their state is kept, or stays the same after the state was lost,
// and against answers to packets for another service.
func TestFlowIdentity(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("127.0.0.1:5683")
	s, _ := setup(t, Config{ServiceAddress: address})
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	c := &flowClient{t: t, conn: conn, to: s.FlowAddress()}
	observe := message.Option{ID: message.Observe}
	end := message.Option{ID: message.Observe, Value: []byte{observeClose}}
	data := message.Option{ID: message.URIQuery, Value: []byte("flow=" + "6161")}

	c.send(netip.MustParseAddrPort("127.0.0.1:9"), codes.GET, "zz", observe)
	c.send(address, codes.GET, "aa", observe)
	m, first := c.receive()
	is.Equal(string(m.Token), "aa") // the packet for another service was not answered
	is.Equal(len(first), 8)
	c.send(address, codes.GET, "aa", observe)
	_, again := c.receive()
	is.Equal(again, first)
	c.send(address, codes.GET, "bb", observe)
	_, other := c.receive()
	is.True(other != first)
	c.send(address, codes.PUT, "pp", data)
	m, put := c.receive()
	is.Equal(m.Code, codes.Changed)
	is.Equal(put, first)
	is.Equal(s.Stats().Flows, 2)

	c.send(address, codes.GET, "aa", end)
	c.receive()
	c.send(address, codes.PUT, "pp", data)
	m, _ = c.receive()
	is.Equal(m.Code, codes.NotFound)
	c.send(address, codes.GET, "aa", observe)
	_, reopened := c.receive()
	is.True(reopened != first)
	is.Equal(s.Stats().Misrouted, int64(1))
}

// Guards against flows that are still counted as connections after their caller stopped refreshing them.
func TestFlowsExpire(t *testing.T) {
	is := is.New(t)
	f := newFlows(time.Minute)
	start := time.Unix(0, 0)
	f.refresh(flowKey{token: "a"}, start)
	f.refresh(flowKey{token: "b"}, start.Add(time.Second))
	is.Equal(len(f.tick(start.Add(time.Minute))), 1)
	is.Equal(f.count(), 1)
}
