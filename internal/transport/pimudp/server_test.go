package pimudp

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func start(t *testing.T, cfg Config, ids ...pimid.ServiceID) *Server {
	t.Helper()
	for _, id := range ids {
		cfg.Services = append(cfg.Services, Service{ID: id, Listen: loopback, Address: serviceAddr})
	}
	s, cleanup, err := Listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return s
}

func dial(t *testing.T, s *Server, id pimid.ServiceID) *net.UDPConn {
	t.Helper()
	addr, ok := s.Address(id)
	if !ok {
		t.Fatalf("no service %d", id)
	}
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func request(t *testing.T, id int32, code codes.Code, options ...message.Option) []byte {
	t.Helper()
	m := message.Message{Type: message.Confirmable, Code: code, MessageID: id, Token: []byte{1}}
	for _, o := range options {
		m.Options = m.Options.Add(o)
	}
	buf := make([]byte, 1500)
	n, err := coder.DefaultCoder.Encode(m, buf)
	if err != nil {
		t.Fatal(err)
	}
	return buf[:n]
}

func send(t *testing.T, conn *net.UDPConn, datagram []byte) {
	t.Helper()
	if _, err := conn.Write(datagram); err != nil {
		t.Fatal(err)
	}
}

func receive(t *testing.T, conn *net.UDPConn) message.Message {
	t.Helper()
	buf := make([]byte, maxDatagram)
	n, err := conn.Read(buf)
	if err != nil {
		t.Fatal(err)
	}
	m := message.Message{Options: make(message.Options, 0, 8)}
	if _, err = coder.DefaultCoder.Decode(buf[:n], &m); err != nil {
		t.Fatal(err)
	}
	return m
}

// Guards against a packet that is attributed to another service and against a reply from another socket: the client
// sockets are connected, so they accept only packets from the address that they sent to.
func TestServerAnswersFromTheServiceSocket(t *testing.T) {
	is := is.New(t)
	s := start(t, Config{Handler: func(_ context.Context, p *pimedge.Packet, r Responder) {
		_ = r.Reply(pimedge.Reply{Outcome: pimedge.OutcomeAnswered, Status: 200, Body: []byte(p.Service.String() + p.Path)})
	}}, 1, 2)
	for _, id := range []pimid.ServiceID{1, 2} {
		conn := dial(t, s, id)
		send(t, conn, request(t, 77, codes.POST, message.Option{ID: message.URIPath, Value: []byte("x")}))
		m := receive(t, conn)
		is.Equal(string(m.Payload), id.String()+"/x")
		is.Equal(m.MessageID, int32(77))
	}
}

// Guards against flow packets that are changed in transit or that lose the address of the caller.
func TestServerForwardsFlowPackets(t *testing.T) {
	is := is.New(t)
	backend, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	is.NoErr(err)
	defer func() { _ = backend.Close() }()
	flowAddress := backend.LocalAddr().(*net.UDPAddr).AddrPort()
	s := start(t, Config{Handler: func(_ context.Context, p *pimedge.Packet, r Responder) {
		if err := r.Forward(p, flowAddress); err != nil {
			t.Error(err)
		}
	}}, 1)
	conn := dial(t, s, 1)
	raw := request(t, 5, codes.GET, message.Option{ID: message.Observe})
	send(t, conn, raw)
	buf := make([]byte, maxDatagram)
	n, err := backend.Read(buf)
	is.NoErr(err)
	var d Decapsulator
	inner, err := d.Decapsulate(buf[:n])
	is.NoErr(err)
	is.Equal(inner.Source, conn.LocalAddr().(*net.UDPAddr).AddrPort())
	is.Equal(inner.Destination, serviceAddr)
	is.Equal(inner.Payload, raw)
}

// Guards against malformed datagrams that stop a read loop or that are not answered with 4.00.
func TestServerSurvivesBadDatagrams(t *testing.T) {
	is := is.New(t)
	s := start(t, Config{ReadLoops: 1, Handler: func(context.Context, *pimedge.Packet, Responder) {}}, 1)
	conn := dial(t, s, 1)
	for _, bad := range [][]byte{{}, {0xff}, {0x40, 0, 0, 1}, request(t, 9, codes.DELETE)} {
		send(t, conn, bad)
	}
	m := receive(t, conn)
	is.Equal(m.MessageID, int32(9)) // the datagrams before it were not answered
	is.Equal(m.Code, codes.BadRequest)
	is.Equal(s.Counters().Malformed, uint64(4))
}

// Guards against an overload that blocks the read loop, and against a reply that a POST with a token was not run, which
// could be false since an earlier transmission of it may be running.
func TestServerRefusesOverload(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	s := start(t, Config{ReadLoops: 1, MaxRequests: 1, Handler: func(_ context.Context, _ *pimedge.Packet, r Responder) {
		close(entered)
		<-release
		_ = r.Reply(pimedge.Reply{Outcome: pimedge.OutcomeAnswered})
	}}, 1)
	conn := dial(t, s, 1)
	send(t, conn, request(t, 1, codes.POST))
	<-entered
	send(t, conn, request(t, 2, codes.POST, message.Option{ID: message.Echo, Value: []byte("t")}))
	send(t, conn, request(t, 3, codes.POST))
	m := receive(t, conn)
	is.Equal(m.MessageID, int32(3))
	is.Equal(m.Code, codes.ServiceUnavailable)
	close(release)
	is.Equal(receive(t, conn).MessageID, int32(1))
	is.Equal(s.Counters().Overloaded, uint64(2))
}

// Guards against allocations on the whole path of a flow packet from the read buffer to the socket.
func TestForwardingDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	backend, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	is.NoErr(err)
	defer func() { _ = backend.Close() }()
	flowAddress := backend.LocalAddr().(*net.UDPAddr).AddrPort()
	s := start(t, Config{Handler: func(_ context.Context, p *pimedge.Packet, r Responder) {
		if err := r.Forward(p, flowAddress); err != nil {
			t.Error(err)
		}
	}}, 1)
	l, err := newReadLoop(s, s.sockets[1])
	is.NoErr(err)
	sc := &scratch{decoder: pimedge.NewDecoder()}
	raw := request(t, 5, codes.GET, message.Option{ID: message.Observe})
	allocs := testing.AllocsPerRun(500, func() { l.handle(t.Context(), sc, callerAddr, raw) })
	is.Equal(allocs, 0.0)
}

// Guards against a read buffer for each read loop of an idle socket: 8,900 services with two read loops each would hold
// 1.2 GB.
func TestIdleSocketsHoldNoBuffer(t *testing.T) {
	is := is.New(t)
	const services = 200
	var ids []pimid.ServiceID
	for id := range pimid.ServiceID(services) {
		ids = append(ids, id+1)
	}
	before := heap()
	s := start(t, Config{Handler: func(context.Context, *pimedge.Packet, Responder) {}}, ids...)
	perSocket := (int64(heap()) - int64(before)) / services
	t.Logf("%d bytes per idle socket", perSocket)
	is.True(perSocket < maxDatagram)
	runtime.KeepAlive(s)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkForwardFlowPacket(b *testing.B) {
	backend, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = backend.Close() }()
	flowAddress := backend.LocalAddr().(*net.UDPAddr).AddrPort()
	s, cleanup, err := Listen(Config{
		Services: []Service{{ID: 1, Listen: loopback, Address: serviceAddr}},
		Handler: func(_ context.Context, p *pimedge.Packet, r Responder) {
			if err := r.Forward(p, flowAddress); err != nil {
				b.Error(err)
			}
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer cleanup()
	l, err := newReadLoop(s, s.sockets[1])
	if err != nil {
		b.Fatal(err)
	}
	sc := &scratch{decoder: pimedge.NewDecoder()}
	raw := []byte{0x40, 1, 0, 1, 0x60}
	b.ReportAllocs()
	for b.Loop() {
		l.handle(b.Context(), sc, callerAddr, raw)
	}
}
