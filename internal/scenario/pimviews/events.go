package pimviews

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// event is one thing that may happen; unplanned ones are no planned work.
type event struct {
	name      string
	weight    int
	unplanned bool
	run       func(s *sim)
}

var events = []event{
	{"release", 6, false, (*sim).releaseHost},
	{"start", 1, false, func(s *sim) { s.startHost(services[s.Rand.IntN(len(services))]) }},
	{"planned stop", 4, false, func(s *sim) { s.randomVM().stop() }},
	{"planned stop of the reader", 2, false, func(s *sim) { s.reader().stop() }},
	{"configuration", 2, false, (*sim).changeConfig},
	{"kill", 2, true, func(s *sim) { s.killVM(s.randomVM()) }},
	{"kill the reader", 2, true, func(s *sim) { s.killVM(s.reader()) }},
	{"pause", 1, true, (*sim).pauseVM},
	{"cut off", 1, true, (*sim).cutOffVM},
	{"crash", 2, true, (*sim).crashHost},
	{"store away", 1, true, (*sim).takeStoreAway},
	{"store turns VMs away", 1, true, (*sim).turnVMsAway},
	{"history dropped", 1, true, func(s *sim) { s.store.compacted = s.store.revision }},
	{"store restored", 1, true, (*sim).restoreStore},
	{"odd entry", 2, true, (*sim).writeOdd},
	{evacuation, 2, false, (*sim).evacuate},
}

// evacuation is the last event: schedules without it are those of earlier versions with the same seed.
const evacuation = "evacuation"

// isDrawn reports whether an event may be drawn.
func (c *Config) isDrawn(e *event) bool {
	return (!c.Planned || !e.unplanned) && (!c.NoEvacuations || e.name != evacuation)
}

// scheduleEvent draws event i and its instant. Each event has random numbers of its own, so that the others stay as they are if
// it is omitted.
func (s *sim) scheduleEvent(i int) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, uint64(i)+1))
	s.After(time.Duration(rng.ExpFloat64()*float64(eventInterval)), func() {
		s.report.Events++
		if e := draw(rng, &s.cfg); !slices.Contains(s.cfg.Omit, i) {
			s.runEvent(e, rng)
		}
		s.scheduleEvent(i + 1)
	})
}

// scheduleOrder lets the events of Config.Order happen.
func (s *sim) scheduleOrder() {
	for i, name := range s.cfg.Order {
		e := &events[slices.IndexFunc(events, func(e event) bool { return e.name == name })]
		s.After(time.Duration(i+1)*orderInterval, func() { s.runEvent(e, rand.New(rand.NewPCG(s.cfg.Seed, uint64(i)+1))) })
	}
}

func (s *sim) runEvent(e *event, rng *rand.Rand) {
	s.trace("event: %s", e.name)
	if e.unplanned {
		s.disturb(0)
	}
	defer func(before *rand.Rand) { s.Rand = before }(s.Rand)
	s.Rand = rng
	e.run(s)
}

// draw chooses an event by its weight.
func draw(rng *rand.Rand, cfg *Config) *event {
	total := 0
	for i := range events {
		if cfg.isDrawn(&events[i]) {
			total += events[i].weight
		}
	}
	n := rng.IntN(total)
	for i := range events {
		if !cfg.isDrawn(&events[i]) {
			continue
		}
		if n -= events[i].weight; n < 0 {
			return &events[i]
		}
	}
	panic("the weights do not add up")
}

func (s *sim) randomVM() *vm { return s.vms[s.Rand.IntN(len(s.vms))] }

// reader returns a VM that reads the store, or any VM.
func (s *sim) reader() *vm {
	for _, v := range s.vms {
		if v.running && v.inRotation && v.mesh.IsReader() {
			return v
		}
	}
	return s.randomVM()
}

func (s *sim) killVM(v *vm) {
	if !v.running {
		return
	}
	s.trace("%s is killed", v.name)
	v.kill()
	s.After(restartDelay+s.Exp(300*time.Millisecond), v.start)
}

// disturb makes an unplanned event last until an instant.
func (s *sim) disturb(d time.Duration) { s.unplannedAt = max(s.unplannedAt, s.Now().Add(d)) }

func (s *sim) pauseVM() {
	v, d := s.randomVM(), time.Duration(1+s.Rand.IntN(5))*time.Second
	v.pausedUntil = s.Now().Add(d)
	v.disturbedAt = max(v.disturbedAt, v.pausedUntil)
	s.disturb(d)
}

func (s *sim) cutOffVM() {
	v, d := s.randomVM(), time.Duration(1+s.Rand.IntN(5))*time.Second
	v.cutOff = true
	s.disturb(d)
	s.After(d, func() {
		v.cutOff = false
		v.disturb()
	})
}

// takeStoreAway makes the store unreachable for a while. If that lasts, entries lapse and are written again soon afterwards.
func (s *sim) takeStoreAway() {
	if s.store.away {
		return
	}
	d := time.Duration(1+s.Rand.IntN(6)) * time.Second
	s.store.away, s.store.hangs = true, s.Rand.IntN(2) == 0
	s.store.disturb(d + 2*time.Second)
	s.disturb(d + 2*time.Second)
	s.After(d, func() {
		s.store.away = false
		s.trace("the store is back")
		if d <= lapseAfter {
			return
		}
		for _, h := range s.hosts {
			if h.living && s.Rand.IntN(2) == 0 {
				s.store.remove(h.entry.Name)
				s.writeAgain(h)
			}
		}
	})
}

// writeAgain lets a backend server write its entry again after a while.
func (s *sim) writeAgain(h *host) {
	s.After(time.Duration(s.Rand.Int64N(int64(writeAgainWithin))), func() {
		if h.living {
			s.writeHost(h)
		}
	})
}

// restoreStore takes the store away for a moment; it comes back from a copy some seconds old. The operator and the backend servers
// write again what is lost, and entries of backend servers that have ended lapse.
func (s *sim) restoreStore() {
	if s.store.away || len(s.store.copies) == 0 {
		return
	}
	d, c := time.Duration(500+s.Rand.IntN(1500))*time.Millisecond, s.store.copies[s.Rand.IntN(len(s.store.copies))]
	s.store.away, s.store.hangs = true, false
	s.store.disturb(d + lapseAfter)
	s.disturb(d + lapseAfter)
	s.After(d, func() {
		s.trace("the store is restored from the copy of revision %d", c.revision)
		s.store.away = false
		s.store.restore(c)
		s.store.publish(s.routes, s.version)
		s.requestAgain()
		for _, h := range s.hosts {
			if h.living {
				s.writeAgain(h)
			}
		}
		s.After(lapseAfter, s.removeEnded)
	})
}

// removeEnded lets the entries of backend servers lapse that the store has, although they have ended.
func (s *sim) removeEnded() {
	for _, h := range s.hosts {
		e, ok := s.store.entries[h.entry.Name]
		if ok && !h.living && e.change.Host != nil && e.change.Host.StartedAt == h.entry.StartedAt {
			s.removeHost(h)
		}
	}
}

func (s *sim) turnVMsAway() {
	d := time.Duration(1+s.Rand.IntN(6)) * time.Second
	s.store.hangs = s.Rand.IntN(2) == 0
	for _, v := range s.vms {
		if s.Rand.IntN(2) == 0 || s.store.refused[v] {
			continue
		}
		s.store.refused[v] = true
		s.After(d, func() {
			delete(s.store.refused, v)
			v.disturb()
		})
	}
	s.disturb(d)
}

// changeConfig adds or drops a route; with NamedLater, it may publish the same version again.
func (s *sim) changeConfig() {
	if s.cfg.NamedLater && s.version > 0 && s.Rand.IntN(4) == 0 {
		s.trace("configuration %d is published again", s.version)
		s.store.publish(s.routes, s.version)
		return
	}
	port := uint16(1 + s.Rand.IntN(8))
	if _, ok := s.routes[port]; ok && len(s.routes) > 2 {
		delete(s.routes, port)
		delete(s.addedAt, port)
		s.droppedAt[port] = s.Now()
	} else if !ok {
		s.routes[port] = services[s.Rand.IntN(len(services))]
		delete(s.droppedAt, port)
		s.addedAt[port] = s.Now()
	}
	s.publish()
	s.trace("configuration %d, route of port %d: %s", s.version, port, s.routes[port])
}

// isBefore reports whether an instant was more than d ago; the zero instant is long ago.
func (s *sim) isBefore(at pimclock.Instant, d time.Duration) bool { return s.Now().Sub(at) > d }
