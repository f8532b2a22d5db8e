package pimnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimquota"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimslot"
	"github.com/pimentoyard/pimentoyard/internal/pimsettings"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimledger"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimhttp"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimpeer"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimtrace"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimudp"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Node is one running VM.
type Node struct {
	cfg     pimsettings.Settings
	log     zerolog.Logger
	set     *metrics.Set
	clock   pimclock.Clock
	started pimclock.Instant
	unix    pimonce.UnixClock
	rng     *rand.Rand
	self    pimroute.Home

	store      *pimconfig.Store
	syncer     *pimconfig.Syncer
	budget     *pimconfig.Budget
	pullServer *pimconfig.Server
	members    *pimmember.Members
	router     *pimroute.Router
	home       *pimonce.Home
	executor   *pimonce.Executor
	slots      *pimslot.Owner
	hosts      *pimpick.Hosts
	owners     *pimpick.Owners
	quota      *pimquota.Pool
	ledger     *pimledger.Ledger
	backends   *pimhttp.Client
	peers      *pimpeer.Pool
	gossip     *pimpeer.Gossip
	// edge is set once the VM serves callers.
	edge  atomic.Pointer[pimudp.Server]
	trace *pimtrace.Tracer

	// topology is the assignment of backend servers to slot owners.
	topology atomic.Pointer[topology]
	// applied is the input of the last refresh; refreshMu guards it.
	applied appliedState
	// changed wakes the refresh loop after a change of the view and at the beginning of a planned stop.
	changed chan struct{}
	polls   pollTable
	// refreshMu serialises calls of refresh.
	refreshMu sync.Mutex
	// ownership ends waits for slots of services of which this VM owns no usable backend server any longer.
	ownership ownership
	// serving is the number of requests that this VM is running or relaying.
	serving atomic.Int64
	// flowRelays is the number of flow packets that wait for another VM.
	flowRelays atomic.Int64
	stop       stopState

	// runCtx is cancelled when the VM is closed.
	runCtx   context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	cleanups []func()
}

// New starts a VM and returns once it serves callers; cleanup ends the VM at once. It fails if the settings are
// invalid, a socket cannot be opened or ctx ends before a configuration has arrived (ErrNoConfiguration).
func New(ctx context.Context, cfg pimsettings.Settings, log zerolog.Logger) (n *Node, cleanup func(), err error) {
	defer func() { err = oops.In("pimnode").Wrapf(err, "start vm %d", cfg.Node.ID) }()
	n = newNode(cfg, log)
	if err = n.start(ctx, n.runCtx); err != nil {
		n.close()
		return nil, nil, err
	}
	return n, n.close, nil
}

func newNode(cfg pimsettings.Settings, log zerolog.Logger) *Node {
	n := &Node{
		cfg: cfg, log: log, set: metrics.NewSet(), clock: pimclock.Boot{}, rng: newRandom(),
		ledger: pimledger.New(), changed: make(chan struct{}, 1), polls: newPollTable(), ownership: newOwnership(), stop: newStopState(),
	}
	n.runCtx, n.cancel = context.WithCancel(context.Background())
	now := time.Now()
	n.started = n.clock.Now()
	n.unix = pimonce.NewUnixClock(n.clock.Now(), now)
	n.self = pimroute.Home{Node: cfg.Node.ID, Incarnation: pimid.NewIncarnation(now.UnixMilli(), n.rng.Uint64())}
	n.topology.Store(&topology{})
	return n
}

// start connects to the peers first, then gets the configuration and opens the sockets for callers last, so that no
// caller reaches a VM that does not know its peers and contracts.
func (n *Node) start(ctx, runCtx context.Context) (err error) {
	n.buildComponents()
	if err = n.startOps(runCtx); err != nil {
		return err
	}
	if err = n.startPeers(runCtx); err != nil {
		return err
	}
	if err = n.startPlatforms(runCtx); err != nil {
		return err
	}
	n.startLoops(runCtx)
	if err = n.awaitView(ctx); err != nil {
		return err
	}
	n.log.Info().Uint64("revision", uint64(n.store.Revision())).Dur("after_ms", n.uptime()).Msg("configuration received")
	n.awaitPeers(ctx)
	n.refresh()
	return n.startEdge()
}

// buildComponents creates the components that need no socket.
func (n *Node) buildComponents() {
	now := n.clock.Now()
	n.store = pimconfig.NewStore(pimconfig.Settings{OnBadValue: n.reportBadValue})
	n.syncer = pimconfig.NewSyncer(n.store, n.rng)
	limits := n.cfg.Limits
	n.budget = pimconfig.NewBudget(now, float64(limits.ControlBytesPerSecond), float64(limits.ControlBurstBytes))
	n.pullServer = pimconfig.NewServer(n.store, n.budget)
	n.members = pimmember.New(pimmember.Settings{
		Self: n.self.Node, Incarnation: n.self.Incarnation, DataCentre: n.cfg.Node.DataCentre,
		Address: n.cfg.Node.PeerAddress, Seeds: n.seeds(),
	}, now, n.rng)
	n.buildRouting()
	n.buildExecution()
}

func (n *Node) buildRouting() {
	n.hosts = pimpick.NewHosts(pimpick.DefaultConfig(1), pimpick.PowerOfTwo{})
	n.quota = pimquota.New(pimquota.Config{
		Self: n.self.Node, Incarnation: n.self.Incarnation, OwnerOf: n.poolOwner, Send: n.sendQuota,
	})
	n.router = pimroute.New(pimroute.Config{
		Self: n.self, Keys: n.staticKeys(), Rand: n.rng,
		Placer: placer{n}, Admitter: admitter{n}, Members: memberView{n}, Hosts: hostView{n},
	})
}

func (n *Node) buildExecution() {
	homeCfg := pimonce.DefaultConfig()
	homeCfg.MaxRecords = n.cfg.Limits.RequestRecords
	n.home = pimonce.NewHome(homeCfg, pimonce.HomeID(n.self), n.clock, n.unix)
	slots, closeSlots := pimslot.NewOwner(pimslot.DefaultConfig(), n.clock)
	n.slots = slots
	n.addCleanup(closeSlots)
	n.owners = pimpick.NewOwners(pimpick.PowerOfTwo{})
	client, closeClient := pimhttp.NewClient(pimhttp.Config{Clock: n.clock, HostHeader: n.serviceName})
	n.backends = client
	n.addCleanup(closeClient)
	steps := pimonce.Steps{Admit: n.admit, Acquire: n.acquire}
	n.executor = pimonce.NewExecutor(n.clock, steps, pimonce.NewRetryBudget())
}

// addCleanup registers a clean-up step; close runs them in reverse order.
func (n *Node) addCleanup(f func()) { n.cleanups = append(n.cleanups, f) }

// close ends the running requests first, since the clean-up of the sockets waits for them.
func (n *Node) close() {
	n.cancel()
	for i := len(n.cleanups) - 1; i >= 0; i-- {
		n.cleanups[i]()
	}
	n.cleanups = nil
	n.wg.Wait()
}

// serviceName returns the name of a service, which backend servers may check; it is empty if the view does not contain
// the service.
func (n *Node) serviceName(id pimid.ServiceID) string { return n.store.View().Services[id].Name }

// unixNow returns the time in unix seconds. It does not follow steps of the system clock after the start of the
// process.
func (n *Node) unixNow() int64 { return int64(n.unix.Unix(n.clock.Now())) }

func (n *Node) notifyChange() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

func (n *Node) reportBadValue(v *pimconfig.ValueError) {
	n.log.Error().Str("key", v.Key).Uint64("revision", uint64(v.Revision)).Err(v.Err).Msg("configuration value refused")
}
