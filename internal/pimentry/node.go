package pimentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimadmit"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimplace"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimregistry"
	"github.com/pimentoyard/pimentoyard/internal/pimsettings"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimfollow"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimops"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Platform holds what depends on the platform that a VM runs on.
type Platform struct {
	Codec pimpacket.Codec
	// Source reads the published configuration. If it is a pimfollow.UrgentSource, backend servers do not wait for large responses.
	Source pimfollow.Source[pimregistry.Batch, pimregistry.Snapshot]
	// Readiness returns the handler of the fabric's readiness check.
	Readiness func(ready func() bool) http.Handler
	// Metrics are those of the calls to the platform; nil means none.
	Metrics *metrics.Set
}

// The limits of the backoff after failed reads of the platform, for a VM that retries at the full rate. Even with the longest
// wait, a change is in force within the required 3 s.
const (
	readBackoffMin = 100 * time.Millisecond
	readBackoffMax = 800 * time.Millisecond
)

// readerCheckInterval is how often a VM that does not read the platform checks whether it should.
const readerCheckInterval = 100 * time.Millisecond

// batchesInForceTime is the number of batches of changes that the reader takes from the platform within the time in which a
// change has to be in force: changes in quick succession, such as the start of many backend servers, share a call.
const batchesInForceTime = 10

// urgentInForceTime is the inverse of the part of that time for which a response may arrive before backend servers are read alone. A VM
// that takes over last begins when four fifths of the time have passed, and the others have to hear of what it reads.
const urgentInForceTime = 20

// httpTimeout bounds the wait for the header of a readiness check, and the time in which the operator server stops.
const httpTimeout = 2 * time.Second

// Node is one running VM.
type Node struct {
	cfg      pimsettings.Entry
	platform Platform
	log      zerolog.Logger
	clock    pimclock.Clock
	started  pimclock.Instant
	set      *metrics.Set
	registry *pimregistry.Registry
	edge     *edge
	mesh     *mesh
	stopping atomic.Bool
	// linger is the time in nanoseconds for which a stopping VM goes on forwarding packets.
	linger   atomic.Int64
	wg       sync.WaitGroup
	cleanups []func()
}

// New starts a VM; cleanup stops it at once, without the linger time of Shutdown.
func New(
	ctx context.Context, cfg pimsettings.Entry, p Platform, clock pimclock.Clock, log zerolog.Logger,
) (n *Node, cleanup func(), err error) {
	defer func() { err = oops.In("pimentry").Wrapf(err, "start VM") }()
	n = &Node{cfg: cfg, platform: p, log: log, clock: clock, started: clock.Now(), set: metrics.NewSet()}
	n.linger.Store(int64(cfg.Drain.Linger))
	n.registry = pimregistry.New(pimregistry.DefaultSettings(cfg.Platform.ConfirmWithin()), clock, n.logDecision)
	if err = n.start(ctx); err != nil {
		n.close()
		return nil, nil, err
	}
	return n, n.close, nil
}

func (n *Node) start(ctx context.Context) error {
	// The packet socket is opened before the first read of the platform, so that packets wait instead of being lost.
	if err := n.listen(); err != nil {
		return err
	}
	var err error
	var closeMesh func()
	if n.mesh, closeMesh, err = newMesh(n, newRand()); err != nil {
		return err
	}
	n.addCleanup(closeMesh)
	n.mesh.start()
	_, stop := pimfollow.New(ctx, pimfollow.Config[pimregistry.Batch, pimregistry.Snapshot]{
		Source: n.platform.Source, Sink: sink{n.registry}, Changed: n.viewChanged, Unchanged: n.registry.ConfirmRead, Observe: n.recordRead,
		Enabled: n.shouldRead, Hold: n.watchTimeout, IdleCheck: readerCheckInterval,
		BatchDelay: n.cfg.Platform.ConfirmWithin() / batchesInForceTime,
		Backoff:    pimfollow.NewBackoff(readBackoffMin, readBackoffMax, newRand()), RetryScale: n.retryScale,
		Urgent: n.urgent(), Log: n.log,
	})
	n.addCleanup(stop)
	if err := n.serveReadiness(ctx); err != nil {
		return err
	}
	return n.serveOperators(ctx)
}

func (n *Node) listen() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.cfg.Edge.PacketAddress))
	if err != nil {
		return err
	}
	cfg := pimflow.DefaultSettings()
	answers := n.set.NewHistogram("pimentoyard_answer_seconds")
	cfg.OnAnswer = func(d time.Duration) { answers.Update(d.Seconds()) }
	if queue := n.cfg.Admission.QueuePerSlot; queue > 0 {
		cfg.MaxPerSlot = 1 + queue
	}
	table := pimflow.New(cfg)
	obs := &observer{table: table}
	placer := pimplace.New(n.cfg.Node.DataCentre, obs, pimpick.LeastLoaded{}, newRand())
	if a := n.cfg.Admission; a.QueuePerSlot > 0 {
		placer.EnableAdmission(pimadmit.Settings{QueuePerSlot: a.QueuePerSlot, Reserve: a.Reserve}, n.cfg.Node.Name)
	}
	n.edge = newEdge(n, conn, obs, placer)
	if cfg := n.cfg.SlowStart; cfg != nil {
		n.edge.slowStart = newSlowStart(n, cfg)
		placer.LimitSlowStart(n.edge.slowStart)
	}
	n.addCleanup(n.edge.close)
	return nil
}

// newRand returns a randomly seeded generator for one goroutine, since it is not safe for concurrent use.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (n *Node) serveReadiness(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", n.cfg.Edge.ReadinessAddress.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: n.platform.Readiness(n.isReady), ReadHeaderTimeout: httpTimeout}
	n.wg.Go(func() { n.runReadiness(server, listener) })
	n.addCleanup(func() {
		if err := server.Close(); err != nil {
			n.log.Debug().Err(err).Msg("close readiness server")
		}
		n.wg.Wait()
	})
	return nil
}

func (n *Node) runReadiness(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		n.log.Error().Err(err).Msg("readiness server stopped")
	}
}

func (n *Node) serveOperators(ctx context.Context) error {
	n.registerMetrics()
	_, stop, err := pimops.New(ctx, pimops.Config{
		Address: n.cfg.Operator.Address.String(), WriteMetrics: n.writeMetrics,
		Status: func(context.Context) (any, error) { return n.Status(), nil }, Explain: n.serveExplain, Log: n.log,
	})
	if err != nil {
		return err
	}
	n.addCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), httpTimeout)
		defer cancel()
		if err := stop(ctx); err != nil {
			n.log.Debug().Err(err).Msg("close operator server")
		}
	})
	return nil
}

// sink is the registry, with the revision from which the platform has to be watched.
type sink struct{ *pimregistry.Registry }

func (s sink) Revision() pimid.Revision { return s.ReadFrom() }

// isReady reports whether the fabric may send new flows here.
func (n *Node) isReady() bool { return !n.stopping.Load() && n.registry.Catalog().Ready() }

// Reload applies changed settings to a running VM: the seeds and the linger time of a planned stop. Addresses take effect
// at the next start.
func (n *Node) Reload(cfg pimsettings.Entry) {
	n.mesh.gossip.SetSeeds(cfg.Peer.SeedAddresses())
	n.linger.Store(int64(cfg.Drain.Linger))
	n.log.Info().Int("seeds", len(cfg.Peer.Seeds)).Msg("settings reloaded")
}

// Shutdown prepares a planned stop: the readiness check fails from now on, and the stop is announced to other VMs.
// Packets are forwarded for the linger time, in which the fabric notices the stop, or until the context ends.
func (n *Node) Shutdown(ctx context.Context) {
	n.stopping.Store(true)
	n.mesh.announce(true)
	timer := time.NewTimer(time.Duration(n.linger.Load()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordRead records the result of a read of the platform, and the instant as of which it is complete, in the mesh and the registry.
func (n *Node) recordRead(asOf pimclock.Instant, err error) {
	n.mesh.gossip.SetCanRead(err == nil)
	if err != nil {
		n.registry.ReadFailed()
		return
	}
	n.registry.ReadSucceeded(asOf)
}

// viewChanged starts the edge with the first view and announces the changed view to other VMs.
func (n *Node) viewChanged() {
	n.edge.start()
	n.mesh.announce(false)
}

// shouldRead reports whether this VM reads the platform now. A VM without a view always does.
func (n *Node) shouldRead() bool {
	now := n.clock.Now()
	return n.registry.Revision() == 0 || n.mesh.gossip.ShouldRead(now, n.registry.Age(now))
}

// watchTimeout returns how long the platform may hold the next watch.
func (n *Node) watchTimeout() time.Duration {
	return n.mesh.gossip.WatchTimeout(n.registry.Age(n.clock.Now()))
}

// urgent returns how the changes of backend servers are read while a large response with all changes is arriving, or nil if the
// platform offers no way.
func (n *Node) urgent() *pimfollow.Urgent[pimregistry.Batch] {
	source, ok := n.platform.Source.(pimfollow.UrgentSource[pimregistry.Batch])
	if !ok {
		return nil
	}
	within := n.cfg.Platform.ConfirmWithin()
	return &pimfollow.Urgent[pimregistry.Batch]{
		Source: source, After: within / urgentInForceTime, BatchDelay: within / batchesInForceTime,
		Apply: n.applyUrgent, Failed: n.urgentFailed,
	}
}

// applyUrgent applies changes of backend servers and announces them to other VMs.
func (n *Node) applyUrgent(b pimregistry.Batch) {
	if n.registry.ApplyUrgent(b) {
		n.mesh.announce(false)
	}
}

// urgentFailed records that changes of backend servers could not be read. Entries that disappear may then have lapsed in an outage,
// even if the response that is arriving was sent before it.
func (n *Node) urgentFailed(err error) {
	n.log.Warn().Err(err).Msg("backend servers not read")
	n.registry.ReadFailed()
}

// retryScale returns how much longer than alone this VM waits after a failed read.
func (n *Node) retryScale() float64 { return n.mesh.gossip.RetryScale(n.clock.Now()) }

func (n *Node) addCleanup(f func()) { n.cleanups = append(n.cleanups, f) }

func (n *Node) close() {
	for i := len(n.cleanups) - 1; i >= 0; i-- {
		n.cleanups[i]()
	}
	n.cleanups = nil
}
