package standfabric

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const service = pimid.ServiceID(1)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func socket(t *testing.T, addr string) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(addr)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func addressOf(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func start(t *testing.T, cfg Config) (*Fabric, netip.AddrPort) {
	t.Helper()
	cfg.Routes = []Route{{Service: service, Listen: loopback}}
	f, cleanup, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	addr, _ := f.Address(service)
	return f, addr
}

func send(t *testing.T, conn *net.UDPConn, to netip.AddrPort, text string) {
	t.Helper()
	if _, err := conn.WriteToUDPAddrPort([]byte(text), to); err != nil {
		t.Fatal(err)
	}
}

func receive(t *testing.T, conn *net.UDPConn) (string, netip.AddrPort) {
	t.Helper()
	buf := make([]byte, 100)
	n, from, err := conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		t.Fatal(err)
	}
	return string(buf[:n]), from
}

// Guards against a caller address that changes or is shared, since flows and contracts depend on it, and against
// answers of backend servers that do not come back from the service address.
func TestCallerAddressIsStable(t *testing.T) {
	is := is.New(t)
	vm := socket(t, "127.0.0.1:0")
	_, addr := start(t, Config{Targets: map[pimid.ServiceID][]netip.AddrPort{service: {addressOf(vm)}}})
	a, b := socket(t, "127.0.0.5:0"), socket(t, "127.0.0.6:0")
	seen := make(map[string]netip.AddrPort)
	for _, c := range []struct {
		conn *net.UDPConn
		name string
	}{{a, "a"}, {a, "a"}, {b, "b"}, {a, "a"}} {
		send(t, c.conn, addr, c.name)
		text, from := receive(t, vm)
		is.Equal(text, c.name)
		is.Equal(from.Addr(), addressOf(c.conn).Addr())
		if earlier, ok := seen[text]; ok {
			is.Equal(from, earlier)
		}
		seen[text] = from
	}
	backend := socket(t, "127.0.0.7:0")
	send(t, backend, seen["b"], "notification")
	text, from := receive(t, b)
	is.Equal(text, "notification")
	is.Equal(from, addr)
}

// Guards against runs that cannot be reproduced: the same seed must lead to the same choices.
func TestChoicesFollowTheSeed(t *testing.T) {
	is := is.New(t)
	choices := func(seed uint64) (got []int64) {
		c := newChooser(seed, Impairment{Loss: 0.2, Duplication: 0.2, MaxDelay: time.Second})
		for range 200 {
			got = append(got, int64(c.pick(5)), int64(c.copies()), int64(c.delay()))
		}
		return got
	}
	is.Equal(choices(3), choices(3))
	same := true
	for i, v := range choices(4) {
		same = same && v == choices(3)[i]
	}
	is.True(!same)
	counts := make(map[int]int)
	c := newChooser(1, Impairment{Loss: 0.2, Duplication: 0.25})
	for range 10_000 {
		counts[c.copies()]++
	}
	is.True(counts[0] > 1800 && counts[0] < 2200) // 20%
	is.True(counts[2] > 1800 && counts[2] < 2200) // 25% of the rest
}

// Guards against datagrams to VMs that are leaving, and against a list that is emptied while the platform is down.
func TestPollerFollowsTheList(t *testing.T) {
	is := is.New(t)
	body, status := `{"vms":[{"id":1,"state":"live","peer_address":"127.0.0.2:1"},{"id":2,"state":"leaving","peer_address":"127.0.0.3:1"}]}`, 200
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	p := &poller{fabric: &Fabric{cfg: Config{ListURL: server.URL}}}
	vms, err := p.fetch(context.Background())
	is.NoErr(err)
	is.Equal(vms, []netip.Addr{netip.MustParseAddr("127.0.0.2")})
	status = 500
	_, err = p.fetch(context.Background())
	is.True(err != nil)
	vms, err = liveVMs([]byte(`[{"id":1,"state":"live","peer_address":"127.0.0.4:1","other":1}]`))
	is.NoErr(err)
	is.Equal(len(vms), 1)
}

// Guards against a fabric that blocks or fails without a live VM, and against sockets that stay open.
func TestNoLiveVM(t *testing.T) {
	is := is.New(t)
	vm := socket(t, "127.0.0.8:0")
	cfg := Config{Routes: []Route{{Service: service, Listen: loopback, EdgePort: addressOf(vm).Port()}}}
	f, cleanup, err := Start(cfg)
	is.NoErr(err)
	addr, _ := f.Address(service)
	caller := socket(t, "127.0.0.1:0")
	send(t, caller, addr, "early") // dropped, or delivered if the list comes first
	_, ok := f.target(f.routes[service])
	is.True(!ok)
	f.SetVMs([]netip.Addr{addressOf(vm).Addr()})
	send(t, caller, addr, "routable")
	text := ""
	for text != "routable" {
		text, _ = receive(t, vm)
	}
	cleanup()
	socket(t, addr.String()) // the published address is free again
}

// Guards against panics and invalid addresses, whatever the platform answers.
func FuzzLiveVMs(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte) {
		vms, err := liveVMs(body)
		if err != nil && vms != nil {
			t.Fatalf("vms %v with error %v", vms, err)
		}
		for _, vm := range vms {
			if !vm.IsValid() {
				t.Fatal("invalid address")
			}
		}
	})
}
