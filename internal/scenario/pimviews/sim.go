package pimviews

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/scenario/pimsim"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// The two services of each schedule.
const (
	desk  pimcatalog.Service = "desk"
	video pimcatalog.Service = "video"
)

var services = []pimcatalog.Service{desk, video}

// sim is the state of one schedule.
type sim struct {
	*pimsim.Loop
	cfg    Config
	store  *store
	vms    []*vm
	hosts  []*host
	nextID uint64
	// routes are those of the newest configuration; addedAt and droppedAt say since when a port has one or none.
	routes             map[uint16]pimcatalog.Service
	addedAt, droppedAt map[uint16]pimclock.Instant
	version            pimcatalog.Version
	// allowed holds all services to which a port ever led.
	allowed map[uint16]map[pimcatalog.Service]bool
	odd     []string
	// evacuations holds the present state of the requests in the store, wanted the data centres whose evacuation the operator requests.
	evacuations map[pimid.DataCentre]evacuationState
	wanted      map[pimid.DataCentre]bool
	// unplannedAt is when the last event ended that is no planned work.
	unplannedAt pimclock.Instant
	report      *Report
}

// Run plays one schedule.
func Run(cfg Config) (r Report) {
	s := &sim{
		Loop: pimsim.NewLoop(cfg.Seed), cfg: cfg, report: &r, routes: map[uint16]pimcatalog.Service{},
		addedAt: map[uint16]pimclock.Instant{}, droppedAt: map[uint16]pimclock.Instant{},
		allowed: map[uint16]map[pimcatalog.Service]bool{}, nextID: 0x1001,
		evacuations: map[pimid.DataCentre]evacuationState{}, wanted: map[pimid.DataCentre]bool{},
	}
	s.Clock.Advance(time.Hour)
	s.unplannedAt = -pimclock.Instant(time.Hour)
	s.store = &store{sim: s, entries: map[string]entry{}, refused: map[*vm]bool{}, disturbedAt: s.unplannedAt}
	if cfg.NamedLater {
		s.scheduleConfigs()
	} else {
		for port := range uint16(4) {
			s.routes[port+1] = services[port%2]
		}
		s.publish()
	}
	for i := range 6 {
		s.startHost(services[i%2])
		if cfg.NamedLater {
			s.writeOdd()
		}
	}
	for i := range cfg.VMs {
		v := &vm{
			sim: s, name: fmt.Sprintf("vm-%d", i+1), dataCentre: pimid.DataCentre(fmt.Sprintf("dc-%d", i%cfg.DataCentres+1)),
			address:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 7720),
			isEarlier: i < cfg.Earlier,
		}
		s.vms = append(s.vms, v)
	}
	for _, v := range s.vms {
		v.start()
	}
	s.Run(s.Now().Add(stableWindow))
	s.Every(flowInterval, s.openFlow)
	s.Every(copyInterval, s.store.copy)
	if len(cfg.Order) > 0 {
		s.scheduleOrder()
	} else {
		s.scheduleEvent(0)
	}
	s.Run(s.Now().Add(cfg.Length))
	return r
}

func (s *sim) newRand() *rand.Rand { return rand.New(rand.NewPCG(s.Rand.Uint64(), s.Rand.Uint64())) }

// check ends the schedule if a message cannot be encoded.
func (s *sim) check(err error) {
	if err != nil {
		panic(err) // a message between VMs of the simulation
	}
}

func (s *sim) vmAt(a netip.AddrPort) *vm {
	for _, v := range s.vms {
		if v.address == a {
			return v
		}
	}
	return nil
}

// trace records what happens, until a rule is broken.
func (s *sim) trace(format string, args ...any) {
	if len(s.report.Violations) == 0 {
		s.report.Trace = append(s.report.Trace, fmt.Sprintf("%8.3f  ", time.Duration(s.Now()).Seconds()-3600)+fmt.Sprintf(format, args...))
	}
}

func (s *sim) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.trace("BROKEN: %s", text)
	s.report.Violations = append(s.report.Violations, text)
}

// publish writes the next version of the configuration.
func (s *sim) publish() {
	s.version += pimcatalog.Version(1 + s.Rand.IntN(3))
	for port, service := range s.routes {
		if s.allowed[port] == nil {
			s.allowed[port] = map[pimcatalog.Service]bool{}
		}
		s.allowed[port][service] = true
	}
	s.store.publish(s.routes, s.version)
}

func routeAddress(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), port)
}
