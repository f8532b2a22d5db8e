package pimsoak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/platform/platformtest"
)

// run is one soak run.
type run struct {
	cfg   Config
	env   *platformtest.Environment
	http  *http.Client
	vms   []*vm
	start time.Time

	mu sync.Mutex
	// lastFault is the time at which a fault last began or ended.
	lastFault time.Time
	// changedAt is when a backend server crashed or was stopped, drainedAt when its drain was published.
	changedAt, drainedAt map[*platformtest.Host]time.Time
	routes               map[netip.AddrPort]string
	// storeCopy is the last copy of the metadata store.
	storeCopy *platformtest.StoreCopy
	report    Report

	parts    *parts
	openings *openings
	overload overload
	// evacuated contains the data centres whose evacuation is requested.
	evacuationMu sync.Mutex
	evacuated    map[string]bool
}

// services are the two services; their names are the first word of each answer.
var services = []string{"desk", "video"}

// fixedRoutes are the addresses of the routes that no configuration change removes, by service.
var fixedRoutes = map[string]netip.AddrPort{
	"desk": netip.MustParseAddrPort("198.18.0.1:443"), "video": netip.MustParseAddrPort("198.18.0.1:8443"),
}

// Run runs one soak and returns its report, which contains the violations. An error means that the set-up failed.
func Run(ctx context.Context, cfg Config) (report Report, err error) {
	defer func() { err = oops.In("pimsoak").Wrapf(err, "seed %d", cfg.Seed) }()
	env, cleanup, err := platformtest.NewEnvironment(cfg.Network)
	if err != nil {
		return report, err
	}
	defer cleanup()
	env.Spray = cfg.Spray
	r := &run{
		cfg: cfg, env: env, start: time.Now(), http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		changedAt: map[*platformtest.Host]time.Time{}, drainedAt: map[*platformtest.Host]time.Time{},
		routes: map[netip.AddrPort]string{}, report: newReport(cfg.Seed),
		parts: newParts(), evacuated: map[string]bool{},
	}
	r.openings = newOpenings(r.parts, r.addViolation, r.countOK)
	env.OnOpening = r.openings.record
	env.Warmup = &platformtest.Warmup{Length: longWarmup, PerSecond: warmupPerSecond}
	defer r.endVMs()
	if err = r.setUp(ctx); err != nil {
		return report, err
	}
	r.copyStore()
	r.runFaultPhase(ctx)
	r.checkConvergence(ctx)
	r.checkHosts()
	r.checkBursts()
	return r.report, nil
}

func (r *run) setUp(ctx context.Context) error {
	for service, address := range fixedRoutes {
		r.routes[address] = service
	}
	if err := r.publishConfig(); err != nil {
		return err
	}
	for _, service := range services {
		for range r.cfg.HostsPerService {
			r.startHost(service, r.emptiestZone(service), 0)
		}
	}
	for range batchHosts {
		r.startHost(batchService, zones[0], 0)
	}
	for n := 1; n <= r.cfg.VMs; n++ {
		p, closeProxy, err := newProxy(ctx, r.env.VMAddress(n), r.env.StoreAddress)
		if err != nil {
			return err
		}
		defer func() { context.AfterFunc(ctx, closeProxy) }() // closes the proxy when the context of the run ends
		v, err := newVM(r, n, p)
		if err != nil {
			return err
		}
		r.vms = append(r.vms, v)
		if err = v.start(); err != nil {
			return err
		}
	}
	return r.await(ctx, "all vms ready", func() bool {
		for _, v := range r.vms {
			if !v.isReady(ctx) {
				return false
			}
		}
		return true
	})
}

// runFaultPhase runs the load, the fabric and the faults at the same time. The load goes on for twice calmAfter after
// the end of the last fault, with a burst in between.
func (r *run) runFaultPhase(ctx context.Context) {
	faultCtx, stopFaults := context.WithTimeout(ctx, r.cfg.Length)
	defer stopFaults()
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load, background sync.WaitGroup
	r.addAllToRotation(ctx)
	background.Go(func() { r.runFabric(loadCtx) })
	background.Go(func() { r.runStatusPolls(loadCtx) })
	background.Go(func() { r.runProgress(loadCtx) })
	for n := 1; n <= r.cfg.Callers; n++ {
		caller, err := r.env.NewCaller(n)
		if err != nil {
			r.cfg.Log.Error().Err(err).Msg("caller not started")
			continue
		}
		load.Go(func() { r.runLongFlow(loadCtx, caller, n) })
		load.Go(func() { r.runShortFlows(loadCtx, caller, n) })
	}
	if caller, err := r.env.NewCaller(r.cfg.Callers + 2); err == nil {
		load.Go(func() { r.runCalls(loadCtx, caller, urgentRoute, "urgent", func() float64 { return urgentRate }) })
		load.Go(func() { r.runCalls(loadCtx, caller, lowRoute, "lower", r.overload.lowRate) })
	} else {
		r.cfg.Log.Error().Err(err).Msg("caller not started")
	}
	r.runFaults(faultCtx)
	// VMs send to cold backend servers of their own data centre only, and seldom if the service has room
	// elsewhere: the burst leaves none.
	for _, service := range append([]string{batchService}, services...) {
		r.startHost(service, zones[0], longWarmup)
	}
	pimclock.Sleep(ctx, calmAfter)
	if end := r.startBurst(nil); end != nil {
		end()
	}
	pimclock.Sleep(ctx, calmAfter)
	stopLoad()
	load.Wait()
	background.Wait()
}

// checkConvergence checks that, after the faults, all VMs report the same revision and configuration version, and that
// both services answer.
func (r *run) checkConvergence(ctx context.Context) {
	r.addAllToRotation(ctx)
	err := r.await(ctx, "all vms report the same revision and configuration version", func() bool {
		var first status
		for i, v := range r.vms {
			s, err := v.status(ctx)
			if err != nil || i > 0 && s != first {
				return false
			}
			first = s
		}
		return true
	})
	if err != nil {
		r.addViolation("no_agreement", "%v", err)
	}
	caller, err := r.env.NewCaller(r.cfg.Callers + 1)
	if err != nil {
		r.cfg.Log.Error().Err(err).Msg("caller not started")
		return
	}
	for service, address := range fixedRoutes {
		if err = r.await(ctx, service+" answers", func() bool { return r.tryShortFlow(caller, address, service) }); err != nil {
			r.addViolation("not_served", "%v", err)
		}
	}
}

// runFabric keeps those VMs in rotation that answer the readiness check; after two failed checks in a row a VM is taken
// out. If fewer than half of the VMs would stay, all of them do.
func (r *run) runFabric(ctx context.Context) {
	misses := make([]int, len(r.vms))
	for ctx.Err() == nil {
		var inRotation []netip.Addr
		for i, v := range r.vms {
			if v.isReady(ctx) {
				misses[i] = 0
			} else {
				misses[i]++
			}
			if misses[i] < 2 {
				inRotation = append(inRotation, v.address)
			}
		}
		if 2*len(inRotation) < len(r.vms) {
			inRotation = r.addresses()
		}
		r.env.SetVMs(inRotation...)
		pimclock.Sleep(ctx, 500*time.Millisecond)
	}
}

func (r *run) addAllToRotation(context.Context) { r.env.SetVMs(r.addresses()...) }

func (r *run) addresses() (all []netip.Addr) {
	for _, v := range r.vms {
		all = append(all, v.address)
	}
	return all
}

// runStatusPolls polls the status of the VMs, which records a violation if a configuration version goes back.
func (r *run) runStatusPolls(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range r.vms {
			// The error is ignored: a VM that is down, paused or starting does not answer.
			_, _ = v.status(ctx)
		}
		pimclock.Sleep(ctx, 200*time.Millisecond)
	}
}

func (r *run) endVMs() {
	for _, v := range r.vms {
		v.end()
	}
}

// restart starts a VM that a fault has stopped. If its process is still stopping, restart waits for its end first; if
// another fault has restarted the VM already, it does nothing.
func (r *run) restart(v *vm) {
	v.mu.Lock()
	done, ending := v.done, v.cmd != nil && v.endExpected
	v.mu.Unlock()
	if ending {
		v.signal(syscall.SIGCONT) // a paused process does not exit
		<-done
	}
	if err := v.start(); err != nil {
		r.cfg.Log.Error().Err(err).Int("vm", v.n).Msg("VM not started")
	}
}

func (r *run) randomVM(rng *rand.Rand) *vm { return r.vms[rng.IntN(len(r.vms))] }

// reader returns a VM that reads the platform, or a random one.
func (r *run) reader(rng *rand.Rand) *vm {
	for _, n := range rng.Perm(len(r.vms)) {
		if r.vms[n].isReader(context.Background()) {
			return r.vms[n]
		}
	}
	return r.randomVM(rng)
}

// randomHost returns a backend server of services that is not leaving and whose service has another running one, or nil.
func (r *run) randomHost(rng *rand.Rand) *platformtest.Host {
	hosts := r.env.Hosts()
	for _, i := range rng.Perm(len(hosts)) {
		r.mu.Lock()
		_, leaving := r.drainedAt[hosts[i]]
		r.mu.Unlock()
		sameService := 0
		for _, h := range hosts {
			if h.Service() == hosts[i].Service() {
				sameService++
			}
		}
		if !leaving && sameService > 1 && hosts[i].Service() != batchService {
			return hosts[i]
		}
	}
	return nil
}

// addHost starts a backend server that is in slow start.
func (r *run) addHost(service string) { r.startHost(service, r.emptiestZone(service), warmupLength) }

// emptiestZone returns the data centre that has the fewest backend servers of a service.
func (r *run) emptiestZone(service string) string {
	perZone := map[string]int{}
	for _, h := range r.env.Hosts() {
		if h.Service() == service {
			perZone[h.Zone()]++
		}
	}
	return slices.MinFunc(zones, func(a, b string) int { return cmp.Compare(perZone[a], perZone[b]) })
}

func (r *run) startHost(service, zone string, cold time.Duration) {
	cfg := platformtest.HostConfig{Service: service, Zone: zone, ServiceTime: 2 * time.Millisecond, Slots: 2, Cold: cold}
	if service == batchService {
		cfg.ServiceTime, cfg.Slots, cfg.Queue = batchServiceTime, batchSlots, batchQueue
	}
	if _, err := r.env.StartHost(cfg); err != nil {
		r.cfg.Log.Error().Err(err).Msg("backend server not started")
	}
}

func (r *run) drain(h *platformtest.Host) {
	h.Drain()
	if err := r.env.Publish(h); err != nil {
		r.cfg.Log.Error().Err(err).Msg("drain not published")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainedAt[h] = time.Now()
}

func (r *run) hostChanged(h *platformtest.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changedAt[h] = time.Now()
}

// copyStore copies the metadata store and returns the copy before.
func (r *run) copyStore() (older *platformtest.StoreCopy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	older, r.storeCopy = r.storeCopy, r.env.Store.Copy()
	return older
}

// restoreStore restores the metadata store from a copy. Operator and backend servers write again what is lost; entries of
// backend servers that have ended expire.
func (r *run) restoreStore(c *platformtest.StoreCopy) {
	r.env.Store.Restore(c)
	r.setPlatformFault(platformtest.Fault{})
	// What is written again is acknowledged only then.
	defer func() { r.parts.touch(platformPart, time.Now()) }()
	ended, err := r.env.WriteAgain()
	if err != nil {
		r.cfg.Log.Error().Err(err).Msg("entries not written again")
	}
	for _, key := range ended {
		r.env.Store.Delete(key)
	}
}

// changeConfig adds or removes one route that is not in fixedRoutes.
func (r *run) changeConfig(rng *rand.Rand) {
	r.mu.Lock()
	address := netip.AddrPortFrom(netip.MustParseAddr("198.18.0.2"), uint16(1+rng.IntN(20)))
	if _, ok := r.routes[address]; ok {
		delete(r.routes, address)
	} else {
		r.routes[address] = services[rng.IntN(len(services))]
	}
	r.mu.Unlock()
	if err := r.publishConfig(); err != nil {
		r.cfg.Log.Error().Err(err).Msg("configuration not published")
	}
}

func (r *run) publishConfig() error {
	r.mu.Lock()
	routes := []platformtest.RouteConfig{
		{Address: urgentRoute, Service: batchService, Urgent: true}, {Address: lowRoute, Service: batchService},
	}
	for address, service := range r.routes {
		routes = append(routes, platformtest.RouteConfig{Address: address, Service: service})
	}
	r.mu.Unlock()
	return r.env.Configure(routes...)
}

func (r *run) sendGarbage() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, v := range r.vms {
		platformtest.SendGarbage(ctx, netip.AddrPortFrom(v.address, r.env.PacketPort), netip.AddrPortFrom(v.address, r.env.PeerPort))
	}
}

// checkHosts records a violation for each backend server that received corrupted or misrouted packets.
func (r *run) checkHosts() {
	for _, h := range r.env.Hosts() {
		if c := h.Counts(); c.Corrupted > 0 || c.Misrouted > 0 {
			r.addViolation("packet", "%s received %d corrupted packets and %d packets for other backend servers", h.Name(), c.Corrupted, c.Misrouted)
		}
	}
}

// errNotReached means that an expected state was not reached within stateTimeout or before the context ended.
var errNotReached = errors.New("state not reached in time")

func (r *run) await(ctx context.Context, what string, ok func() bool) error {
	deadline := time.Now().Add(stateTimeout)
	for !ok() {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return fmt.Errorf("%w: %s", errNotReached, what)
		}
		pimclock.Sleep(ctx, 50*time.Millisecond)
	}
	return nil
}
