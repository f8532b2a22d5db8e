package pimadmission

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimadmit"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimplace"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/scenario/pimsim"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// demandStream selects the random stream of the requests.
const demandStream = 100

const (
	service = pimcatalog.Service("desk")
	home    = "ikeja"
)

// backend is one simulated backend server.
type backend struct {
	running, open int
	queue         []func()
}

// vm is one simulated VM; it is its own observer.
type vm struct {
	table  *pimflow.Table
	placer *pimplace.Placer
	// reports holds the last reports of the other VMs.
	reports [vms]map[pimcatalog.HostID]pimflow.Report
	// heard is the part of the other VMs whose reports are known.
	heard float64
}

// Load implements pimplace.Observer.
func (v *vm) Load(now pimclock.Instant, id pimcatalog.HostID) pimplace.Load {
	l := pimplace.Load{Load: v.table.Load(now, id)}
	for i := range v.reports {
		r := v.reports[i][id]
		l.BusyElsewhere += r.Busy
		l.OpenElsewhere += float64(r.Open)
	}
	if v.heard > 0 {
		// As pimgossip.Mesh.Loads does.
		l.BusyElsewhere /= v.heard
		l.OpenElsewhere /= v.heard
	}
	return l
}

// Tried implements pimplace.Observer.
func (v *vm) Tried(f pimpacket.Flow) (last, before pimcatalog.HostID) { return v.table.Tried(f) }

// request is a request of a caller with all of its tries.
type request struct {
	kind                    int
	begunAt                 pimclock.Instant
	work                    time.Duration
	tries, refused, delayed int
}

// try is one try of a request: a flow from a port of its own, through one VM.
type try struct {
	*request
	flow   pimpacket.Flow
	vm     *vm
	openAt pimclock.Instant
	host   pimcatalog.HostID
}

// sim is the state of one run.
type sim struct {
	*pimsim.Loop
	cfg      Config
	catalog  *pimcatalog.Catalog
	routes   []*pimcatalog.Route
	backends map[pimcatalog.HostID]*backend
	vms      [vms]*vm
	callers  uint32
	// demand is the randomness of the requests, so that they are the same whatever happens to them.
	demand *rand.Rand
	report Report
}

// Run simulates one burst and returns the report.
func Run(cfg Config) Report {
	s := &sim{Loop: pimsim.NewLoop(cfg.Seed), cfg: cfg, backends: map[pimcatalog.HostID]*backend{}}
	s.demand = rand.New(rand.NewPCG(cfg.Seed, demandStream))
	s.report = Report{Seed: cfg.Seed, Mix: cfg.Mix, Load: cfg.Load, Admission: cfg.Admission, UrgentLoad: cfg.UrgentLoad()}
	s.publish()
	for i := range s.vms {
		s.vms[i] = s.newVM(i)
	}
	s.Every(reportEvery, s.exchangeReports)
	for i := range kinds {
		s.report.Routes = append(s.report.Routes, RouteReport{Priority: kinds[i].priority})
		s.arrivals(i)
	}
	s.Run(s.end().Add(kinds[len(kinds)-1].timeout))
	return s.report
}

// end is when the last request begins.
func (s *sim) end() pimclock.Instant { return pimclock.Instant(2*s.cfg.Calm + s.cfg.Burst) }

// publish builds the catalog.
func (s *sim) publish() {
	published := &pimcatalog.Config{Version: 1, Services: []pimcatalog.Service{service}}
	for i, k := range kinds {
		published.Routes = append(published.Routes, pimcatalog.Route{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i)}), 443), Priority: k.priority,
			Shares: []pimcatalog.Share{{Service: service}}, Target: k.target, Timeout: k.timeout,
		})
	}
	for i := range published.Routes {
		s.routes = append(s.routes, &published.Routes[i])
	}
	var entries []*pimcatalog.Host
	for i := range hosts {
		h := &pimcatalog.Host{ID: pimcatalog.HostID(i + 1), Service: service, DataCentre: home, Slots: slots}
		entries = append(entries, h)
		s.backends[h.ID] = &backend{}
	}
	s.catalog = pimcatalog.NewCatalog(1, pimcatalog.NewRouteTable(published), entries)
}

func (s *sim) newVM(i int) *vm {
	v := &vm{table: pimflow.New(pimflow.DefaultSettings())}
	v.placer = pimplace.New(home, v, pimpick.LeastLoaded{}, rand.New(rand.NewPCG(s.cfg.Seed, uint64(i))))
	if s.cfg.Admission {
		names := []string{"vm-0", "vm-1", "vm-2"}
		v.placer.EnableAdmission(pimadmit.DefaultSettings(), names[i])
		v.placer.SetVMs(append(names[:i:i], names[i+1:]...))
	}
	return v
}

// Work implements pimplace.Observer.
func (v *vm) Work(route netip.AddrPort) (d time.Duration, ok bool) { return v.table.Work(route) }

// Remote implements pimplace.Observer; there is one data centre.
func (v *vm) Remote(pimid.DataCentre, pimcatalog.Service) (perSlot float64, ok bool) { return 0, false }

// exchangeReports sends the loads that each VM has observed to the others, each after its own delay.
func (s *sim) exchangeReports() {
	for from, v := range s.vms {
		v.table.Prune(s.Now(), s.catalog)
		reports := map[pimcatalog.HostID]pimflow.Report{}
		for _, r := range v.table.Report(s.Now()) {
			reports[r.ID] = r
		}
		for to, other := range s.vms {
			if to != from {
				heard := reports
				if s.cfg.Unheard > 0 && s.Rand.Float64() < s.cfg.Unheard {
					heard = nil
				}
				s.After(time.Duration(s.Rand.Float64()*float64(reportDelayMax)), func() {
					if other.reports[from] = heard; s.cfg.Unheard > 0 {
						other.countHeard()
					}
				})
			}
		}
	}
}

// countHeard counts the other VMs whose reports are known.
func (v *vm) countHeard() {
	n := 0
	for _, r := range v.reports {
		if r != nil {
			n++
		}
	}
	v.heard = float64(n) / (vms - 1)
	v.placer.SetReported(n == vms-1)
}

// load returns the load that a route offers now, in parts of the capacity.
func (s *sim) load(k int) float64 {
	total, urgent := normalLoad, normalLoad*urgentShare
	if now := time.Duration(s.Now()); now >= s.cfg.Calm && now < s.cfg.Calm+s.cfg.Burst {
		total, urgent = s.cfg.Load, s.cfg.UrgentLoad()
	}
	if k == 0 {
		return urgent
	}
	return total - urgent
}

// maxGap bounds the time between two arrivals, so that a change of the load takes effect.
const maxGap = 10 * time.Millisecond

// arrivals begins the requests of a route.
func (s *sim) arrivals(k int) {
	gap := time.Duration(s.demand.ExpFloat64() * float64(kinds[k].work) / (s.load(k) * hosts * slots))
	if gap > maxGap {
		// The time to the next arrival does not depend on the time that has passed.
		s.After(maxGap, func() { s.continueArrivals(k) })
		return
	}
	s.After(gap, func() {
		if s.Now().Before(s.end()) {
			work := time.Duration((0.5 + s.demand.Float64()) * float64(kinds[k].work))
			s.try(&request{kind: k, begunAt: s.Now(), work: work})
		}
		s.continueArrivals(k)
	})
}

func (s *sim) continueArrivals(k int) {
	if s.Now().Before(s.end()) {
		s.arrivals(k)
	}
}

// try opens a new flow for a request.
func (s *sim) try(r *request) {
	r.tries++
	s.callers++
	caller := netip.AddrFrom4([4]byte{100, 64 + byte(s.callers>>24), byte(s.callers >> 16), byte(s.callers >> 8)})
	t := &try{request: r, vm: s.vms[s.Rand.IntN(vms)], openAt: s.Now()}
	t.flow = pimpacket.Flow{Caller: netip.AddrPortFrom(caller, uint16(1024+s.callers%256)), Destination: s.routes[r.kind].Address}
	s.open(t, 0)
}

// failed begins the next try of a request, or ends it.
func (s *sim) failed(t *try) {
	pause := s.Jitter(retryPause, 0.5)
	if t.tries > maxRetries || s.Now().Add(pause).Sub(t.begunAt) >= kinds[t.kind].timeout {
		s.record(t.request, false)
		return
	}
	s.After(pause, func() { s.try(t.request) })
}

// open sends a copy of the opening packet of a try.
func (s *sim) open(t *try, attempt int) {
	t.vm.table.Expire(s.Now())
	p := pimpacket.Packet{Flow: t.flow, Flags: pimpacket.Open, Seq: 10, Attempt: attempt}
	placement := t.vm.placer.Place(s.Now(), s.catalog, s.routes[t.kind], &p)
	switch {
	case placement.Host != nil:
		t.host = placement.Host.ID
		t.vm.table.RecordOpening(s.Now(), &p, t.host)
		s.After(2*oneWayDelay, func() { s.connect(t) })
	case placement.Later:
		t.delayed++
		s.leave(t, attempt)
	default:
		t.refused++
		s.After(2*oneWayDelay, func() { s.failed(t) })
	}
}

// leave lets the next copy of an opening packet decide.
func (s *sim) leave(t *try, attempt int) {
	switch attempt {
	case 0:
		s.After(firstCopyAfter, func() { s.open(t, 1) })
	case 1:
		s.After(secondCopyAfter-firstCopyAfter, func() { s.open(t, 2) })
	default:
		s.After(tryTimeout-secondCopyAfter, func() { s.failed(t) })
	}
}

// connect opens a connection at a backend server and sends the request.
func (s *sim) connect(t *try) {
	b := s.backends[t.host]
	if b.open >= maxOpen {
		// The reset goes directly to the caller, so that the VM does not see that the flow has ended.
		s.report.OverCap++
		s.After(oneWayDelay, func() { s.failed(t) })
		return
	}
	b.open++
	s.After(2*oneWayDelay, func() {
		t.vm.table.RecordForwarded(s.Now(), &pimpacket.Packet{Flow: t.flow, Flags: pimpacket.Ack, Seq: 11, Acked: 1, Data: 100}, t.host)
		s.After(oneWayDelay, func() { s.arrive(t) })
	})
}

// arrive runs or queues a request at a backend server, which answers 503 if the queue is full.
func (s *sim) arrive(t *try) {
	b := s.backends[t.host]
	serve := func() {
		b.running++
		s.After(t.work, func() {
			b.running--
			if len(b.queue) > 0 {
				next := b.queue[0]
				b.queue = b.queue[1:]
				next()
			}
			s.answer(t, true)
		})
	}
	switch {
	case b.running < slots:
		serve()
	case len(b.queue) < queueLength:
		b.queue = append(b.queue, serve)
	default:
		s.report.QueueFull++
		delay := refusalMin + time.Duration(s.Rand.Float64()*float64(refusalMax-refusalMin))
		s.After(delay-s.Now().Sub(t.openAt), func() { s.answer(t, false) })
	}
}

// answer sends an answer of one packet to the caller, who does not confirm it before the end of the flow.
func (s *sim) answer(t *try, ok bool) {
	s.After(oneWayDelay, func() {
		s.After(s.cfg.KeepOpen, func() { s.close(t) })
		if ok {
			s.record(t.request, true)
		} else {
			s.failed(t)
		}
	})
}

// close ends the flow of a try.
func (s *sim) close(t *try) {
	closing := pimpacket.Packet{Flow: t.flow, Flags: pimpacket.Ack | pimpacket.Close, Seq: 111, Acked: 500}
	t.vm.table.RecordForwarded(s.Now(), &closing, t.host)
	s.After(oneWayDelay, func() { s.backends[t.host].open-- })
}
