package pimentry_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/pimentry"
	"github.com/pimentoyard/pimentoyard/internal/pimsettings"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/platform"
	"github.com/pimentoyard/pimentoyard/platform/platformtest"
)

var (
	deskAddress  = netip.MustParseAddrPort("198.18.0.1:443")
	videoAddress = netip.MustParseAddrPort("198.18.0.1:8443")
	otherAddress = netip.MustParseAddrPort("198.18.0.2:443")
)

// awaitTimeout bounds the wait for something that must happen; no check depends on how long it takes.
const awaitTimeout = 30 * time.Second

// fleet is a test environment with VMs.
type fleet struct {
	*platformtest.Environment
	t        *testing.T
	caller   *platformtest.Caller
	nodes    map[int]*pimentry.Node
	cleanups map[int]func()
	logs     syncBuffer
	// slowStart is the limit of the VMs that are started; nil means none.
	slowStart *pimsettings.EntrySlowStart
}

// syncBuffer is a log buffer that several VMs write to.
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
	env, cleanup, err := platformtest.NewEnvironment(network)
	is.NoErr(err)
	t.Cleanup(cleanup)
	f := &fleet{Environment: env, t: t, nodes: map[int]*pimentry.Node{}, cleanups: map[int]func(){}}
	is.NoErr(env.Configure(
		platformtest.RouteConfig{Address: deskAddress, Service: "desk"},
		platformtest.RouteConfig{Address: videoAddress, Service: "video"},
	))
	for _, service := range []string{"desk", "desk", "video", "video"} {
		_, err = env.AddHost(service, "ikeja", time.Millisecond)
		is.NoErr(err)
	}
	for i := 1; i <= n; i++ {
		f.start(i)
	}
	f.caller, err = env.NewCaller(1)
	is.NoErr(err)
	t.Cleanup(func() {
		for i := range f.cleanups {
			f.stop(i)
		}
	})
	f.putInRotation()
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
	cfg.SlowStart = f.slowStart
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
	f.cleanups[i] = func() {
		cleanup()
		closeStore()
	}
}

func (f *fleet) stop(i int) {
	f.cleanups[i]()
	delete(f.cleanups, i)
	delete(f.nodes, i)
}

// deskHost returns a running backend server of the service desk.
func (f *fleet) deskHost() *platformtest.Host {
	hosts := f.Hosts()
	return hosts[slices.IndexFunc(hosts, func(h *platformtest.Host) bool { return h.Service() == "desk" })]
}

// putInRotation waits until all VMs are ready and lets the fabric send packets to them.
func (f *fleet) putInRotation() {
	f.t.Helper()
	var vms []netip.Addr
	for i := range f.nodes {
		f.await(fmt.Sprintf("VM %d ready", i), func() bool { return f.ready(i) })
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

// await waits until a condition is true and fails the test after awaitTimeout.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %v: %s\n%s", awaitTimeout, what, f.logs.String())
		}
		<-tick.C
	}
}

// request sends a request and returns the answer, or the text of the error.
func (f *fleet) request(flow *platformtest.CallerFlow, text string) string {
	f.t.Helper()
	answer, err := flow.Request([]byte(text), awaitTimeout)
	if err != nil {
		return err.Error()
	}
	return string(answer)
}

func (f *fleet) open(destination netip.AddrPort) *platformtest.CallerFlow {
	f.t.Helper()
	flow, err := f.caller.Open(destination)
	if err != nil {
		f.t.Fatalf("open: %v\n%s", err, f.logs.String())
	}
	return flow
}

// Guards against a flow that breaks because its packets reach another VM, because its VM is replaced by one without state,
// or because its backend server is leaving, and against a request that reaches another service.
func TestFlowSurvivesReplacementOfAllVMs(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 71, 3)
	desk, video := f.open(deskAddress), f.open(videoAddress)
	is.Equal(f.request(desk, "a"), "desk a")
	is.Equal(f.request(video, "b"), "video b")
	for i := 1; i <= 3; i++ {
		f.SetVMs(f.VMAddress(i%3 + 1)) // another VM forwards the flows meanwhile
		f.stop(i)
		f.start(i)
		f.putInRotation()
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

// Guards against new flows that wait without a reset although no backend server can serve them, and against a refusal
// while one can.
func TestNewFlowsAreRefusedAtOnceOrServed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 72, 2)
	_, err := f.caller.Open(otherAddress)
	is.True(errors.Is(err, platformtest.ErrReset)) // no such route
	is.NoErr(f.Configure(platformtest.RouteConfig{Address: otherAddress, Service: "desk"}))
	f.await("new route in force", func() bool {
		flow, err := f.caller.Open(otherAddress)
		return err == nil && f.request(flow, "x") == "desk x"
	})
	f.await("old route gone", func() bool {
		_, err := f.caller.Open(deskAddress)
		return errors.Is(err, platformtest.ErrReset)
	})
	for _, h := range f.Hosts() {
		if h.Service() == "desk" {
			f.Crash(h)
		}
	}
	// The platform lists crashed backend servers until it notices; then the service has none left.
	for _, h := range []string{"i-00001001", "i-00001002"} {
		f.Store.Delete("servers/" + h)
	}
	f.await("refused at once", func() bool {
		_, err := f.caller.Open(otherAddress)
		return errors.Is(err, platformtest.ErrReset)
	})
}

// Guards against a VM that starts during an outage of the platform and serves no callers, although other VMs have the
// view.
func TestVMStartsFromPeersDuringPlatformOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 73, 2)
	desk := f.open(deskAddress)
	is.Equal(f.request(desk, "before"), "desk before")
	f.Store.SetFault(platformtest.Fault{Busy: true})
	f.start(3)
	f.await("VM 3 ready", func() bool { return f.ready(3) })
	f.SetVMs(f.VMAddress(3))
	is.Equal(f.request(desk, "during"), "desk during")
	fresh := f.open(videoAddress)
	is.Equal(f.request(fresh, "new"), "video new")
}

// publishMany publishes n backend servers of the service video, at addresses that nothing listens to.
func (f *fleet) publishMany(n int) {
	f.t.Helper()
	for i := range n {
		entry := f.Hosts()[0].Entry()
		entry["service"], entry["address"] = "video", fmt.Sprintf("10.9.%d.%d:8080", i>>8, i&0xff)
		_, err := f.Store.PutJSON(fmt.Sprintf("servers/i-%08x", 0x5000+i), entry)
		is.New(f.t).NoErr(err)
	}
}

// Guards against a large view that never arrives completely: the other VMs send it in several parts, since some datagrams
// would be lost if they were all sent at once.
func TestVMReceivesLargeViewFromPeers(t *testing.T) {
	is := is.New(t)
	const hosts = 900
	f := newFleet(t, 79, 2)
	f.publishMany(hosts)
	hasAllHosts := func(n int) bool { return len(f.nodes[n].Status().Hosts) == hosts+len(f.Hosts()) }
	f.await("VMs 1 and 2 have all backend servers", func() bool { return hasAllHosts(1) && hasAllHosts(2) })
	f.Store.SetFault(platformtest.Fault{Busy: true})
	f.start(3)
	f.await("VM 3 has all backend servers", func() bool { return hasAllHosts(3) })
	f.await("VM 3 is at the revision of VM 1", func() bool { return f.nodes[3].Status().Revision == f.nodes[1].Status().Revision })
	f.SetVMs(f.VMAddress(3))
	is.Equal(f.request(f.open(deskAddress), "new"), "desk new")
}

// Guards against a VM that keeps an old configuration because it alone cannot read the platform.
func TestVMThatCannotReadPlatformReceivesChanges(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 74, 3)
	for n, fault := range map[int]platformtest.Fault{1: {TooMany: true}, 2: {Silent: true}, 3: {Reset: true}} {
		f.Store.SetFault(platformtest.Fault{})
		f.Store.SetFault(fault, f.VMAddress(n).String())
		before := f.nodes[n].Status().Version
		is.NoErr(f.Configure(platformtest.RouteConfig{Address: deskAddress, Service: "desk"}))
		f.await(fmt.Sprintf("change in force on VM %d", n), func() bool { return f.nodes[n].Status().Version > before })
	}
	for n := range f.nodes {
		is.Equal(len(f.nodes[n].Status().Peers), 2)
	}
}

// Guards against a fleet of which every VM watches the platform as long as no configuration is published, and against VMs that
// then wait for the configuration although another VM has it.
func TestOneVMWaitsForTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	const vms, inARow = 5, 4
	env, cleanup, err := platformtest.NewEnvironment(84)
	is.NoErr(err)
	t.Cleanup(cleanup)
	f := &fleet{Environment: env, t: t, nodes: map[int]*pimentry.Node{}, cleanups: map[int]func(){}}
	var mu sync.Mutex
	var callers []string
	env.Store.SetOnCall(func(caller string) {
		mu.Lock()
		defer mu.Unlock()
		callers = append(callers, caller)
	})
	for i := range vms {
		f.start(i + 1)
		t.Cleanup(func() { f.stop(i + 1) })
		_, err = env.AddHost("desk", "ikeja", time.Millisecond) // the lists of the VMs have different revisions
		is.NoErr(err)
	}
	f.await("the last calls are from one VM", func() bool {
		mu.Lock()
		defer mu.Unlock()
		last := callers[max(0, len(callers)-inARow):]
		return len(last) == inARow && len(slices.Compact(slices.Clone(last))) == 1
	})
	is.NoErr(env.Configure(platformtest.RouteConfig{Address: deskAddress, Service: "desk"}))
	for i := range vms {
		f.await(fmt.Sprintf("VM %d ready", i+1), func() bool { return f.ready(i + 1) })
	}
}

// Guards against a backend server that leaves unnoticed, and is sent new flows, while a large configuration is arriving over a
// slow link.
func TestLeavingIsKnownWhileALargeConfigurationArrives(t *testing.T) {
	is := is.New(t)
	const routes = 2000
	f := newFleet(t, 85, 2)
	f.Store.SetFault(platformtest.Fault{SlowLink: true})
	var many []platformtest.RouteConfig
	for i := range routes {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(i >> 8)}), uint16(i))
		many = append(many, platformtest.RouteConfig{Address: address, Service: "desk"})
	}
	// The next watch is answered with the configuration; the change after it can only come with another call.
	answered := make(chan struct{}, 100)
	f.Store.SetOnCall(func(string) { answered <- struct{}{} })
	<-answered
	is.NoErr(f.Configure(many...))
	leaving := f.deskHost()
	leaving.Drain()
	is.NoErr(f.Publish(leaving))
	f.await("the VMs know that the backend server leaves", func() bool {
		isLeaving := func(h pimentry.HostStatus) bool { return h.Name == leaving.Name() && h.Leaving }
		return slices.ContainsFunc(f.nodes[1].Status().Hosts, isLeaving) && slices.ContainsFunc(f.nodes[2].Status().Hosts, isLeaving)
	})
}

// Guards against VMs that end, or no longer follow the platform, because of an entry of another writer among those of the backend
// servers, and against flows that are sent to it.
func TestOddEntriesOfAnotherWriterChangeNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 83, 2)
	for key, value := range platformtest.OddEntries(f.deskHost()) {
		f.Store.Put(key, value)
	}
	routes := []platformtest.RouteConfig{
		{Address: deskAddress, Service: "desk"}, {Address: otherAddress, Service: "desk"}, {Address: videoAddress, Service: "video"},
	}
	is.NoErr(f.Configure(routes...))
	f.start(3) // with a complete list, or the view of the others
	for i := range f.nodes {
		f.await(fmt.Sprintf("VM %d follows the platform", i), func() bool { return f.nodes[i].Status().Routes == len(routes) })
		is.Equal(len(f.nodes[i].Status().Hosts), len(f.Hosts()))
		is.Equal(len(f.nodes[i].Status().Unpublished), 1)
		is.Equal(f.nodes[i].Status().Unpublished[0].Name, "i-0000e00d")
		f.SetVMs(f.VMAddress(i))
		for range 8 {
			is.Equal(f.request(f.open(otherAddress), "x"), "desk x")
		}
	}
	isLeaving := func(h pimentry.HostStatus) bool { return h.Leaving }
	is.True(!slices.ContainsFunc(f.nodes[1].Status().Hosts, isLeaving))
}

// Guards against VMs that refuse every request, since they have read the entries of another writer with the ids of the backend servers
// before the first configuration.
func TestVMsThatReadOddEntriesBeforeTheConfigurationServe(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 84, 0)
	f.Store.Delete("op/config")
	for _, h := range f.Hosts() {
		for key, value := range platformtest.OddEntries(h) {
			f.Store.Put(key, value)
		}
	}
	for i := 1; i <= 2; i++ {
		f.start(i)
		f.await(fmt.Sprintf("VM %d has listed the platform", i), func() bool { return f.nodes[i].Status().Revision > 0 })
		is.Equal(f.nodes[i].Status().Version, pimcatalog.Version(0))
	}
	routes := []platformtest.RouteConfig{{Address: deskAddress, Service: "desk"}, {Address: videoAddress, Service: "video"}}
	is.NoErr(f.Configure(routes...))
	for i := 1; i <= 2; i++ {
		f.await(fmt.Sprintf("VM %d has the configuration", i), func() bool { return f.nodes[i].Status().Routes == len(routes) })
		is.Equal(len(f.nodes[i].Status().Hosts), len(f.Hosts()))
		f.SetVMs(f.VMAddress(i))
		is.Equal(f.request(f.open(deskAddress), "x"), "desk x")
		is.Equal(f.request(f.open(videoAddress), "x"), "video x")
	}
}

// Guards against a change that never arrives, and against a VM that goes back, after the platform was restored from a copy and
// has given out its latest revisions again.
func TestChangesArriveAfterThePlatformIsRestored(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 82, 3)
	copied := f.Store.Copy()
	both := []platformtest.RouteConfig{{Address: deskAddress, Service: "desk"}, {Address: otherAddress, Service: "desk"}}
	is.NoErr(f.Configure(both...))
	leaving := f.deskHost()
	leaving.Drain()
	is.NoErr(f.Publish(leaving))
	isKnown := func(n int) bool {
		s := f.nodes[n].Status()
		isLeaving := slices.ContainsFunc(s.Hosts, func(h pimentry.HostStatus) bool { return h.Name == leaving.Name() && h.Leaving })
		return s.Routes == len(both) && isLeaving
	}
	f.await("changes known everywhere", func() bool { return isKnown(1) && isKnown(2) && isKnown(3) })

	f.Store.Restore(copied)
	isInNewEra := func(n int) bool { return f.nodes[n].Status().Era == 2 }
	f.await("new era known everywhere", func() bool { return isInNewEra(1) && isInNewEra(2) && isInNewEra(3) })
	is.True(isKnown(1) && isKnown(2) && isKnown(3)) // although the copy has neither

	is.NoErr(f.Configure(append(both, platformtest.RouteConfig{Address: videoAddress, Service: "video"})...))
	_, err := f.WriteAgain()
	is.NoErr(err)
	for n := range f.nodes {
		f.await(fmt.Sprintf("new route on VM %d", n), func() bool { return f.nodes[n].Status().Routes == len(both)+1 })
	}
	flow := f.open(otherAddress)
	is.Equal(f.request(flow, "after"), "desk after")
	is.Equal(leaving.Counts().Opened, 0)
}

// Guards against a missing status, missing metrics or a missing log line of a refused flow.
func TestStatusMetricsAndFlowLog(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 75, 2)
	_, err := f.caller.Open(otherAddress)
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

// Guards against a VM that crashes on a malformed datagram at its packet or peer socket.
func TestVMSurvivesMalformedDatagrams(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 76, 1)
	platformtest.SendGarbage(t.Context(), netip.AddrPortFrom(f.VMAddress(1), f.PacketPort), netip.AddrPortFrom(f.VMAddress(1), f.PeerPort))
	flow := f.open(deskAddress)
	is.Equal(f.request(flow, "after"), "desk after")
}

// Guards against a planned stop that breaks flows because it ends before the fabric has noticed.
func TestShutdownLingers(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 77, 2)
	flow := f.open(deskAddress)
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
