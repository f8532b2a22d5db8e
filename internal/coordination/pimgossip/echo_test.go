package pimgossip

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// endpoint is one of two VMs that exchange heartbeats; its clock is ahead of the true time by ahead and runs faster by drift.
type endpoint struct {
	mesh  *Mesh
	ahead time.Duration
	drift float64
	// pausedUntil is the end of its present pause, in true time.
	pausedUntil time.Duration
}

func newEndpoint(rng *rand.Rand, address string) *endpoint {
	cfg := DefaultSettings(inForceWithin)
	cfg.Name, cfg.DataCentre, cfg.Address = address, "ikeja", netip.MustParseAddrPort(address)
	e := &endpoint{ahead: time.Duration(rng.Int64N(int64(time.Hour))), drift: (rng.Float64() - 0.5) / driftDivisor}
	e.mesh = New(cfg, rng)
	return e
}

// clock returns what the clock of the VM shows at a true time.
func (e *endpoint) clock(at time.Duration) pimclock.Instant {
	return pimclock.Instant(at + e.ahead + time.Duration(e.drift*float64(at)))
}

// heartbeat is one in transit.
type heartbeat struct {
	message       *pimmesh.Heartbeat
	sent, arrives time.Duration
}

// exchange lets two VMs send each other heartbeats whose view is as old as it is, in true time. delay returns the transit time of a
// heartbeat from VM from, and disturb may pause the VMs or start one again. check gets the result of each heartbeat that confirms the
// view, and how much younger than it is the receiver takes it for.
func exchange(
	rng *rand.Rand, length time.Duration, delay func(from int, at time.Duration) time.Duration,
	disturb func(at time.Duration, vms []*endpoint), check func(to int, at, tooYoung time.Duration),
) {
	const interval, viewAge = 250 * time.Millisecond, 300 * time.Millisecond
	view := View{Revision: 5, Age: viewAge}
	vms := []*endpoint{newEndpoint(rng, "10.1.0.1:7720"), newEndpoint(rng, "10.1.0.2:7720")}
	var transit [2][]heartbeat // by receiver
	for at := time.Second; at < length; at += step {
		disturb(at, vms)
		for i, v := range vms {
			if at < v.pausedUntil {
				continue
			}
			other, now := vms[1-i], v.clock(at)
			if at%interval == time.Duration(i)*step {
				msg := v.mesh.heartbeat(now, view, v.mesh.known(other.mesh.cfg.Address), nil)
				transit[1-i] = append(transit[1-i], heartbeat{msg.Heartbeat, at, at + delay(i, at)})
			}
			waiting := transit[i]
			transit[i] = nil
			for _, h := range waiting {
				if h.arrives > at {
					transit[i] = append(transit[i], h)
					continue
				}
				if r := v.mesh.Receive(now, h.message, view); r.Confirms {
					check(i, at, r.AsOf.Sub(v.clock(h.sent-viewAge)))
				}
			}
		}
	}
}

// noDisturbance leaves the VMs alone.
func noDisturbance(time.Duration, []*endpoint) {}

// Guards against a view that looks younger than it is because all heartbeats of a VM have come over a slow link since it started: if that
// VM reads the platform and fails, the others take over too late.
func TestSlowLinkDoesNotMakeAViewLookYounger(t *testing.T) {
	is := is.New(t)
	const slow = 700 * time.Millisecond
	delay := func(from int, _ time.Duration) time.Duration {
		if from == 0 {
			return slow
		}
		return time.Millisecond
	}
	confirmed := 0
	exchange(rand.New(rand.NewPCG(1, 1)), 10*time.Second, delay, noDisturbance, func(to int, _, tooYoung time.Duration) {
		is.True(tooYoung <= 0)
		if to == 1 {
			confirmed++
		}
	})
	is.True(confirmed > 0)
}

// Guards against a view that is confirmed by heartbeats that waited while this VM was paused twice, for as long each time: the delay
// beyond the fastest one does not show that.
func TestHeartbeatsThatWaitedEquallyLongDoNotMakeAViewLookYounger(t *testing.T) {
	is := is.New(t)
	confirmed := 0
	disturb := func(at time.Duration, vms []*endpoint) {
		// VM 2 stands still but for an instant every 2.25 s, in which it handles one heartbeat that was sent just after its pause began.
		const every = 2250 * time.Millisecond
		if at%every == 0 && at < 10*time.Second {
			vms[1].pausedUntil = at + every
		}
	}
	exchange(rand.New(rand.NewPCG(1, 1)), 20*time.Second, func(int, time.Duration) time.Duration { return time.Millisecond }, disturb,
		func(_ int, _, tooYoung time.Duration) {
			is.True(tooYoung <= 0)
			confirmed++
		})
	is.True(confirmed > 0)
}

// Guards against any pauses, restarts, delays and drifts of clocks that make a view look younger than it is, and against one that is no
// longer confirmed once heartbeats arrive at once.
func TestNoHeartbeatMakesAViewLookYounger(t *testing.T) {
	const seeds, disturbed, length = 300, 15 * time.Second, 20 * time.Second
	for seed := range uint64(seeds) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 7))
		delay := func(_ int, at time.Duration) time.Duration {
			if at > disturbed || rng.IntN(2) == 0 {
				return time.Duration(rng.Int64N(int64(2 * time.Millisecond)))
			}
			return time.Duration(rng.Int64N(int64(2 * time.Second)))
		}
		disturb := func(at time.Duration, vms []*endpoint) {
			if at > disturbed || rng.IntN(100) > 0 {
				return
			}
			v := vms[rng.IntN(2)]
			if rng.IntN(4) > 0 {
				v.pausedUntil = at + time.Duration(rng.Int64N(int64(3*time.Second)))
				return
			}
			v.mesh = New(v.mesh.cfg, rand.New(rand.NewPCG(rng.Uint64(), 1)))
		}
		var last [2]time.Duration
		exchange(rng, length, delay, disturb, func(to int, at, tooYoung time.Duration) {
			is.True(tooYoung <= 0)
			if at > disturbed+4*time.Second {
				is.True(tooYoung > -2*transitAllowance)
				last[to] = at
			}
		})
		is.True(last[0] > length-time.Second && last[1] > length-time.Second)
	}
}
