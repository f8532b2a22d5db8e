package pimgossip

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Load is the load of a backend server as reported by the other VMs of the data centre.
type Load struct {
	// Busy is the mean number of running requests, Open the number of open flows.
	Busy, Open float64
	// AliveAt is the time of the last sign of life, which is evidence that the backend server answers.
	AliveAt pimclock.Instant
	// Slowness is the mean logarithm of answer times against the mean of the service, and Weight the number of answers from
	// which it was learned; zero means unknown.
	Slowness, Weight float64
	// Misses is the number of flows without an answer, of each VM since its last sign of life, and MissedAt the time of the
	// last one.
	Misses   int
	MissedAt pimclock.Instant
}

// busyUnit is the unit of HostLoad.Busy in a heartbeat: hundredths of a request; slownessUnit is that of HostLoad.Slowness.
const (
	busyUnit     = 0.01
	slownessUnit = 0.01
)

// The limits of what a VM may report of a speed, so that a damaged report does not outweigh the others.
const (
	maxSlowness = 2
	maxWeight   = 24
)

// maxMisses bounds the misses that a VM reports.
const maxMisses = 10

// speedTTL is how long a reported speed counts. Only some loads of a heartbeat have one, so it outlasts the loads.
const speedTTL = 8 * time.Second

// speedReport is the last speed of a backend server that a VM has reported.
type speedReport struct {
	slowness, weight float64
	at               pimclock.Instant
}

// recordLoads replaces the loads of a VM, which it sent at the given instant, and adds the speeds that they contain. Damaged loads are
// ignored: a negative one would attract all flows, or make the backend server look alive later than it was.
func (p *peer) recordLoads(sentAt pimclock.Instant, loads []pimmesh.HostLoad) {
	p.reportedAt = sentAt
	p.loads = make(map[pimcatalog.HostID]pimmesh.HostLoad, len(loads))
	for id, s := range p.speeds {
		if sentAt.Sub(s.at) > speedTTL {
			delete(p.speeds, id)
		}
	}
	for _, l := range loads {
		if l.Busy < 0 || l.Open < 0 || l.SilentFor < 0 {
			continue
		}
		p.loads[l.ID] = l
		if l.Weight <= 0 {
			continue
		}
		if p.speeds == nil {
			p.speeds = map[pimcatalog.HostID]speedReport{}
		}
		p.speeds[l.ID] = speedReport{
			slowness: min(max(float64(l.Slowness)*slownessUnit, -maxSlowness), maxSlowness),
			weight:   float64(min(l.Weight, maxWeight)), at: sentAt,
		}
	}
}

// addSpeeds adds the speeds that a VM has reported within speedTTL.
func (p *peer) addSpeeds(now pimclock.Instant, loads map[pimcatalog.HostID]Load) {
	for id, s := range p.speeds {
		if now.Sub(s.at) > speedTTL {
			continue
		}
		l := loads[id]
		l.Slowness = (l.Slowness*l.Weight + s.slowness*s.weight) / (l.Weight + s.weight)
		l.Weight += s.weight
		loads[id] = l
	}
}

// Loads sums the loads that running VMs reported within Settings.LoadTTL. In a large data centre only some of the VMs
// have reported that recently, so their sum is scaled up to all running VMs.
func (m *Mesh) Loads(now pimclock.Instant) map[pimcatalog.HostID]Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	loads := map[pimcatalog.HostID]Load{}
	running, recent := 0, 0
	for _, p := range m.peers {
		if !m.isRunning(now, p) {
			continue
		}
		running++
		p.addSpeeds(now, loads)
		if now.Sub(p.reportedAt) > m.cfg.LoadTTL {
			continue
		}
		recent++
		for id, reported := range p.loads {
			l := loads[id]
			l.Busy += float64(reported.Busy) * busyUnit
			l.Open += float64(reported.Open)
			l.AliveAt = max(l.AliveAt, p.reportedAt.Add(-reported.SilentFor-transitAllowance))
			if reported.Misses > 0 && reported.MissedFor >= 0 {
				l.Misses += min(reported.Misses, maxMisses)
				l.MissedAt = max(l.MissedAt, p.reportedAt.Add(-reported.MissedFor))
			}
			loads[id] = l
		}
	}
	if recent == 0 || recent == running {
		return loads
	}
	scale := float64(running) / float64(recent)
	for id, l := range loads {
		l.Busy *= scale
		l.Open *= scale
		loads[id] = l
	}
	return loads
}

// HasAllLoads reports whether all running VMs have reported their loads within Settings.LoadTTL.
func (m *Mesh) HasAllLoads(now pimclock.Instant) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if m.isRunning(now, p) && now.Sub(p.reportedAt) > m.cfg.LoadTTL {
			return false
		}
	}
	return true
}
