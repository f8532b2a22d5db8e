package pimentry_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/pimentry"
	"github.com/pimentoyard/pimentoyard/internal/pimsettings"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/platform"
	"github.com/pimentoyard/pimentoyard/platform/platformtest"
)

var (
	deskRoute  = netip.MustParseAddrPort("198.18.0.1:443")
	videoRoute = netip.MustParseAddrPort("198.18.0.1:8443")
	otherRoute = netip.MustParseAddrPort("198.18.0.2:443")
)

// patience bounds the wait for something that must happen; no verdict depends on how long it takes.
const patience = 30 * time.Second

// fleet is a world with VMs.
type fleet struct {
	*platformtest.Environment
	t      *testing.T
	caller *platformtest.Caller
	nodes  map[int]*pimentry.Node
	ends   map[int]func()
	logs   syncBuffer
}

// syncBuffer is a log that several VMs write.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// newFleet starts n VMs and two backend servers for each of two services.
func newFleet(t *testing.T, network byte, n int) *fleet {
	t.Helper()
	is := is.New(t)
	world, cleanup, err := platformtest.NewEnvironment(network)
	is.NoErr(err)
	t.Cleanup(cleanup)
	f := &fleet{Environment: world, t: t, nodes: map[int]*pimentry.Node{}, ends: map[int]func(){}}
	is.NoErr(world.Configure(
		platformtest.RouteConfig{Address: deskRoute, Service: "desk"},
		platformtest.RouteConfig{Address: videoRoute, Service: "video"},
	))
	for _, service := range []string{"desk", "desk", "video", "video"} {
		_, err = world.AddHost(service, "ikeja", time.Millisecond)
		is.NoErr(err)
	}
	for i := 1; i <= n; i++ {
		f.start(i)
	}
	f.caller, err = world.NewCaller(1)
	is.NoErr(err)
	t.Cleanup(func() {
		for i := range f.ends {
			f.stop(i)
		}
	})
	f.inRotation()
	return f
}

func (f *fleet) settings(i int) pimsettings.Entry {
	cfg := pimsettings.DefaultEntry()
	at := func(n int, port uint16) netip.AddrPort { return netip.AddrPortFrom(f.VMAddress(n), port) }
	cfg.Node = pimsettings.EntryNode{Name: fmt.Sprintf("vm-%d", i), DataCentre: "ikeja"}
	cfg.Edge = pimsettings.EntryEdge{PacketAddress: at(i, f.PacketPort), ReadinessAddress: at(i, f.ReadyPort)}
	cfg.Peer = pimsettings.EntryPeer{Address: at(i, f.PeerPort), Seeds: []netip.AddrPort{at(1, f.OpsPort), at(2, f.OpsPort)}}
	cfg.Cluster.Secret = strings.Repeat("0123456789abcdef", 4)
	cfg.Platform.Address = f.StoreAddress
	cfg.Platform.Timeout = pimcontract.Duration(300 * time.Millisecond)
	cfg.Operator.Address = at(i, f.OpsPort)
	return cfg
}

func (f *fleet) start(i int) {
	f.t.Helper()
	cfg := f.settings(i)
	store, closeStore := platform.NewStore(platform.StoreSettings{
		Address: cfg.Platform.Address.String(), Timeout: time.Duration(cfg.Platform.Timeout),
		SourceAddress: f.VMAddress(i),
	})
	node, cleanup, err := pimentry.New(f.t.Context(), cfg, pimentry.Platform{
		Codec: platform.Codec{}, Source: store, Readiness: platform.ReadinessHandler,
	}, pimclock.Boot{}, zerolog.New(&f.logs).With().Str("vm", cfg.Node.Name).Logger())
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes[i] = node
	f.ends[i] = func() {
		cleanup()
		closeStore()
	}
}

func (f *fleet) stop(i int) {
	f.ends[i]()
	delete(f.ends, i)
	delete(f.nodes, i)
}

// inRotation waits until all VMs are ready and hands packets to them.
func (f *fleet) inRotation() {
	f.t.Helper()
	var vms []netip.Addr
	for i := range f.nodes {
		f.await(fmt.Sprintf("vm %d ready", i), func() bool { return f.ready(i) })
		vms = append(vms, f.VMAddress(i))
	}
	f.SetVMs(vms...)
}

func (f *fleet) ready(i int) bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/pimentoyard/readyz", f.VMAddress(i), f.ReadyPort))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// await waits for a condition.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(patience)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %v: %s\n%s", patience, what, f.logs.String())
		}
		<-tick.C
	}
}

// request sends a request and reports the answer, or the error.
func (f *fleet) request(flow *platformtest.CallerFlow, text string) string {
	f.t.Helper()
	answer, err := flow.Request([]byte(text), patience)
	if err != nil {
		return err.Error()
	}
	return string(answer)
}

func (f *fleet) open(route netip.AddrPort) *platformtest.CallerFlow {
	f.t.Helper()
	flow, err := f.caller.Open(route)
	if err != nil {
		f.t.Fatalf("open: %v\n%s", err, f.logs.String())
	}
	return flow
}

// Guards against a flow that breaks because its packets reach another VM, VMs are replaced by ones that know nothing, or
// its backend server leaves; and against a request at another service.
func TestFlowSurvivesReplacementOfAllVMs(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 71, 3)
	desk, video := f.open(deskRoute), f.open(videoRoute)
	is.Equal(f.request(desk, "a"), "desk a")
	is.Equal(f.request(video, "b"), "video b")
	for i := 1; i <= 3; i++ {
		f.SetVMs(f.VMAddress(i%3 + 1)) // the others carry the flows meanwhile
		f.stop(i)
		f.start(i)
		f.inRotation()
		is.Equal(f.request(desk, fmt.Sprint("desk ", i)), fmt.Sprint("desk desk ", i))
		is.Equal(f.request(video, fmt.Sprint("video ", i)), fmt.Sprint("video video ", i))
	}
	for _, h := range f.Hosts() {
		h.Drain()
		is.NoErr(f.Publish(h))
	}
	is.Equal(f.request(desk, "leaving"), "desk leaving")
	for _, h := range f.Hosts() {
		is.Equal(h.Counts().Misrouted, 0)
		is.Equal(h.Counts().Corrupted, 0)
	}
}

// Guards against new flows that wait in silence although nothing can serve them, and against a refusal while another
// backend server is there.
func TestNewFlowsAreRefusedAtOnceOrServed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 72, 2)
	_, err := f.caller.Open(otherRoute)
	is.True(errors.Is(err, platformtest.ErrReset)) // no such route
	is.NoErr(f.Configure(platformtest.RouteConfig{Address: otherRoute, Service: "desk"}))
	f.await("new route in force", func() bool {
		flow, err := f.caller.Open(otherRoute)
		return err == nil && f.request(flow, "x") == "desk x"
	})
	f.await("old route gone", func() bool {
		_, err := f.caller.Open(deskRoute)
		return errors.Is(err, platformtest.ErrReset)
	})
	for _, h := range f.Hosts() {
		if h.Service() == "desk" {
			f.Crash(h)
		}
	}
	// Crashed backend servers are listed until the platform notices. Then there is none.
	for _, h := range []string{"i-00001001", "i-00001002"} {
		f.Store.Delete("servers/" + h)
	}
	f.await("refused at once", func() bool {
		_, err := f.caller.Open(otherRoute)
		return errors.Is(err, platformtest.ErrReset)
	})
}

// Guards against a VM that starts while the platform is away and serves nobody although its neighbours know everything.
func TestVMStartsFromItsNeighboursWhileThePlatformIsAway(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 73, 2)
	desk := f.open(deskRoute)
	is.Equal(f.request(desk, "before"), "desk before")
	f.Store.SetFault(platformtest.Fault{Busy: true})
	f.start(3)
	f.await("vm 3 ready", func() bool { return f.ready(3) })
	f.SetVMs(f.VMAddress(3))
	is.Equal(f.request(desk, "during"), "desk during")
	fresh := f.open(videoRoute)
	is.Equal(f.request(fresh, "new"), "video new")
}

// publishMany publishes backend servers of a service that no route leads to.
func (f *fleet) publishMany(n int) {
	f.t.Helper()
	for i := range n {
		entry := f.Hosts()[0].Entry()
		entry["service"], entry["address"] = "spare", fmt.Sprintf("10.9.%d.%d:8080", i>>8, i&0xff)
		_, err := f.Store.PutJSON(fmt.Sprintf("servers/i-%08x", 0x5000+i), entry)
		is.New(f.t).NoErr(err)
	}
}

// Guards against a large view that never arrives whole: what the neighbours tell comes in several parts, and some of its
// datagrams would be lost if it came at once.
func TestVMLearnsALargeViewFromItsNeighbours(t *testing.T) {
	is := is.New(t)
	const hosts = 900
	f := newFleet(t, 79, 2)
	f.publishMany(hosts)
	knowsAll := func(n int) bool { return len(f.nodes[n].Status().Hosts) == hosts+len(f.Hosts()) }
	f.await("vms 1 and 2 know all", func() bool { return knowsAll(1) && knowsAll(2) })
	f.Store.SetFault(platformtest.Fault{Busy: true})
	f.start(3)
	f.await("vm 3 knows all", func() bool { return knowsAll(3) })
	f.await("vm 3 is current", func() bool { return f.nodes[3].Status().Revision == f.nodes[1].Status().Revision })
	f.SetVMs(f.VMAddress(3))
	is.Equal(f.request(f.open(deskRoute), "new"), "desk new")
}

// Guards against a VM that the platform turns away, alone, and that goes on with an old configuration.
func TestVMThatThePlatformTurnsAwayHearsOfChanges(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 74, 3)
	for n, fault := range map[int]platformtest.Fault{1: {TooMany: true}, 2: {Silent: true}, 3: {Reset: true}} {
		f.Store.SetFault(platformtest.Fault{})
		f.Store.SetFault(fault, f.VMAddress(n).String())
		before := f.nodes[n].Status().Version
		is.NoErr(f.Configure(platformtest.RouteConfig{Address: deskRoute, Service: "desk"}))
		f.await(fmt.Sprintf("change in force on vm %d", n), func() bool { return f.nodes[n].Status().Version > before })
	}
	for n := range f.nodes {
		is.Equal(len(f.nodes[n].Status().Peers), 2)
	}
}

// Guards against an operator who sees nothing: status, metrics and the line of a refused flow.
func TestOperatorSees(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 75, 2)
	_, err := f.caller.Open(otherRoute)
	is.True(errors.Is(err, platformtest.ErrReset))
	get := func(path string) string {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", f.VMAddress(1), f.OpsPort, path))
		is.NoErr(err)
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		return string(text)
	}
	var status pimentry.Status
	is.NoErr(json.Unmarshal([]byte(get("/status")), &status))
	is.Equal(status.Name, "vm-1")
	is.Equal(len(status.Hosts), 4)
	is.True(status.Ready)
	is.True(strings.Contains(get("/metrics"), `pimentoyard_packets_total{reason="no_route"}`))
	f.await("log line", func() bool {
		return strings.Contains(f.logs.String(), `"route":"198.18.0.2:443","action":"reset","reason":"no_route"`)
	})
}

// Guards against a VM that crashes on datagrams that are no packets, at any of its sockets.
func TestMalformedDatagramsAreCounted(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 76, 1)
	platformtest.SendGarbage(t.Context(), netip.AddrPortFrom(f.VMAddress(1), f.PacketPort), netip.AddrPortFrom(f.VMAddress(1), f.PeerPort))
	flow := f.open(deskRoute)
	is.Equal(f.request(flow, "after"), "desk after")
}

// Guards against a planned stop that ends before the fabric has noticed.
func TestShutdownLingers(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 77, 2)
	flow := f.open(deskRoute)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.nodes[1].Shutdown(t.Context())
	}()
	f.await("not ready", func() bool { return !f.ready(1) })
	f.SetVMs(f.VMAddress(1)) // the fabric has not noticed
	is.Equal(f.request(flow, "stopping"), "desk stopping")
	<-done
}
