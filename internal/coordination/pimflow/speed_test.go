package pimflow

import (
	"maps"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// speedTest sends requests to two backend servers of one service.
type speedTest struct {
	table     *Table
	now       pimclock.Instant
	hosts     map[pimcatalog.HostID]*pimcatalog.Host
	elsewhere map[pimcatalog.HostID]Elsewhere
	port      uint16
}

func newSpeedTest() *speedTest {
	s := &speedTest{
		table: New(DefaultSettings()), now: pimclock.Instant(time.Hour),
		hosts: map[pimcatalog.HostID]*pimcatalog.Host{}, elsewhere: map[pimcatalog.HostID]Elsewhere{},
	}
	for _, id := range []pimcatalog.HostID{hostA, hostB} {
		s.hosts[id] = &pimcatalog.Host{ID: id, Service: "desk", DataCentre: "ikeja", Slots: 2, StartedAt: 1}
	}
	s.request(hostA, time.Millisecond, 0)
	s.request(hostB, time.Millisecond, 0)
	s.refresh() // from now on the catalog has them
	return s
}

// refresh does what a VM does every 200 ms.
func (s *speedTest) refresh() {
	var hosts []*pimcatalog.Host
	for _, h := range s.hosts {
		hosts = append(hosts, h)
	}
	s.table.Prune(s.now, pimcatalog.NewCatalog(1, nil, hosts))
	s.table.SetElsewhere(s.now, maps.All(s.elsewhere))
	s.table.Expire(s.now)
}

// pass advances the time in steps, so that the VM does not count as paused.
func (s *speedTest) pass(d time.Duration) {
	const step = 50 * time.Millisecond
	for ; d > 0; d -= step {
		s.now = s.now.Add(min(d, step))
		s.table.Expire(s.now)
	}
}

// request opens a flow whose request is answered after d; the last packet has the given flags.
func (s *speedTest) request(id pimcatalog.HostID, d time.Duration, flags pimpacket.Flags) {
	s.port++
	c := newCaller(s.table, s.port)
	c.open(s.now, id, 0)
	c.send(s.now, id, 100, 0)
	c.seq += 100
	s.pass(d)
	c.acked += 500
	c.send(s.now, id, 0, flags)
	c.send(s.now, id, 0, pimpacket.Close)
}

func (s *speedTest) speed(id pimcatalog.HostID) float64 {
	s.refresh()
	return s.table.Load(s.now, id).Speed
}

// learn sends n requests to each backend server.
func (s *speedTest) learn(n int, a, b time.Duration, flags pimpacket.Flags) {
	for range n {
		s.request(hostA, a, flags)
		s.request(hostB, b, flags)
	}
}

func isNear(a, b, tolerance float64) bool { return math.Abs(a-b) <= tolerance }

// Guards against speeds that are not learned, also if the caller's close is the only sign of the answer.
func TestSpeedIsLearned(t *testing.T) {
	for name, flags := range map[string]pimpacket.Flags{"acknowledged": 0, "closed": pimpacket.Close} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSpeedTest()
			is.Equal(s.speed(hostA), 0.0) // unknown
			s.learn(60, 20*time.Millisecond, 40*time.Millisecond, flags)
			// The geometric mean of both is 1.
			is.True(isNear(s.speed(hostA), math.Sqrt2, 0.1))
			is.True(isNear(s.speed(hostB), 1/math.Sqrt2, 0.1))
		})
	}
}

// Guards against a few slow requests that make a backend server look slow.
func TestSlowRequestsDoNotChangeSpeed(t *testing.T) {
	is := is.New(t)
	s := newSpeedTest()
	s.learn(60, 20*time.Millisecond, 20*time.Millisecond, 0)
	for range 2 {
		s.request(hostB, 140*time.Millisecond, 0)
		s.request(hostB, 140*time.Millisecond, 0)
		is.True(s.speed(hostB) > 0.95)
		s.learn(20, 20*time.Millisecond, 20*time.Millisecond, 0)
	}
}

// Guards against queueing that looks like slowness, whether the requests before came from this VM or from others.
func TestQueueingIsNotSlowness(t *testing.T) {
	for name, elsewhere := range map[string]float64{"own requests": 0, "requests of other VMs": 1.8} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSpeedTest()
			s.learn(60, 20*time.Millisecond, 20*time.Millisecond, 0)
			s.elsewhere[hostB] = Elsewhere{Busy: elsewhere}
			s.refresh()
			before := s.speed(hostB)
			for range 20 {
				var callers []*caller
				for range 5 {
					s.port++
					c := newCaller(s.table, s.port)
					c.open(s.now, hostB, 0)
					c.send(s.now, hostB, 100, 0)
					callers = append(callers, c)
				}
				for i, c := range callers {
					if i%2 == 0 {
						s.pass(20 * time.Millisecond)
					}
					if elsewhere > 0 {
						s.pass(20 * time.Millisecond)
					}
					c.acked += 500
					c.send(s.now, hostB, 0, 0)
					c.send(s.now, hostB, 0, pimpacket.Close)
				}
			}
			is.True(isNear(s.speed(hostB), before, 0.05))
		})
	}
}

// Guards against the pause of a caller between two requests, or a caller that gives up, that count as answer times: an answer that
// fits one packet is seen only at the next packet.
func TestUnseenAnswersSayNothingAboutSpeed(t *testing.T) {
	for name, end := range map[string]struct {
		flags    pimpacket.Flags
		data     int
		requests int
		answered pimpacket.Sequence
	}{
		"next request":               {data: 100, answered: 500},
		"close of a kept flow":       {flags: pimpacket.Close, requests: 1, answered: 500},
		"close without an answer":    {flags: pimpacket.Close},
		"reset":                      {flags: pimpacket.Reset, answered: 500},
		"request that is sent again": {answered: 500},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSpeedTest()
			s.learn(60, 20*time.Millisecond, 20*time.Millisecond, 0)
			for range 20 {
				s.port++
				c := newCaller(s.table, s.port)
				c.open(s.now, hostB, 0)
				for range end.requests {
					c.send(s.now, hostB, 100, 0)
					c.seq += 100
					s.pass(20 * time.Millisecond)
					c.acked += 500
					c.send(s.now, hostB, 0, 0)
				}
				c.send(s.now, hostB, 100, 0)
				if name == "request that is sent again" {
					c.send(s.now.Add(200*time.Millisecond), hostB, 100, 0)
				}
				c.seq += 100
				s.pass(400 * time.Millisecond)
				c.acked += end.answered
				c.send(s.now, hostB, end.data, end.flags)
				s.pass(time.Second)
				s.refresh()
				c.send(s.now, hostB, 0, pimpacket.Reset)
			}
			is.True(s.speed(hostB) > 0.95)
		})
	}
}

// Guards against a restarted backend server that keeps the speed of the process before, also through late reports of other VMs.
func TestRestartedBackendServerBeginsAtTheMean(t *testing.T) {
	is := is.New(t)
	s := newSpeedTest()
	s.learn(60, 20*time.Millisecond, 60*time.Millisecond, 0)
	s.elsewhere[hostB] = Elsewhere{Slowness: math.Ln2, Weight: 20}
	is.True(s.speed(hostB) < 0.7)
	restarted := *s.hosts[hostB]
	restarted.StartedAt++
	s.hosts[hostB] = &restarted
	is.Equal(s.speed(hostB), 0.0)
	s.pass(resetIgnoresPeersFor + 1)
	is.True(s.speed(hostB) < 0.8) // what the others have learned since
}

// Guards against a slow start that is taken for the speed of the backend server.
func TestSlowStartIsNotSlowness(t *testing.T) {
	is := is.New(t)
	s := newSpeedTest()
	cold := *s.hosts[hostB]
	cold.ColdUntil = s.now.Add(time.Minute)
	s.hosts[hostB] = &cold
	s.refresh()
	s.learn(20, 20*time.Millisecond, 60*time.Millisecond, 0)
	is.Equal(s.speed(hostB), 0.0)
}

// Guards against a slow backend server that gets no requests and so stays slow for ever, and against speeds without a bound.
func TestSpeedIsBoundedAndForgotten(t *testing.T) {
	is := is.New(t)
	s := newSpeedTest()
	s.learn(60, time.Millisecond, 100*time.Millisecond, 0)
	is.Equal(s.speed(hostA), MaxSpeed*1.0)
	is.Equal(s.speed(hostB), minSpeed)
	s.pass(6 * slownessHalfLife)
	is.Equal(s.speed(hostA), 0.0)
	is.Equal(s.speed(hostB), 0.0)
}

// Guards against speeds that this VM learns but does not report, and reports that it does not use.
func TestSpeedIsExchanged(t *testing.T) {
	is := is.New(t)
	s, other := newSpeedTest(), newSpeedTest()
	s.learn(60, 20*time.Millisecond, 40*time.Millisecond, 0)
	for _, r := range s.table.Report(s.now) {
		is.True(r.Weight > minReportedWeight)
		other.elsewhere[r.ID] = Elsewhere{Slowness: r.Slowness, Weight: r.Weight}
	}
	is.True(isNear(other.speed(hostA), math.Sqrt2, 0.1))
	is.True(isNear(other.speed(hostB), 1/math.Sqrt2, 0.1))
}

// Guards against a work time that depends on the speed of the backend servers that a VM happens to use, and against one that is
// given before it is known.
func TestWorkOfARoute(t *testing.T) {
	is := is.New(t)
	s := newSpeedTest()
	route := flow(1).Destination
	s.learn(1, 20*time.Millisecond, 20*time.Millisecond, 0)
	_, ok := s.table.Work(route)
	is.True(!ok)
	s.learn(100, 20*time.Millisecond, 45*time.Millisecond, 0)
	d, ok := s.table.Work(route)
	is.True(ok)
	is.True(d > 25*time.Millisecond && d < 35*time.Millisecond) // the geometric mean is 30 ms
	s.pass(routeIdleFor + time.Second)
	s.refresh()
	_, ok = s.table.Work(route)
	is.True(!ok)
}
