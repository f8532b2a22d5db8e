package pimsoak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pimentoyard/pimentoyard/platform/platformtest"
)

// The data centres of the backend servers. All VMs are in the first one.
var zones = []string{"ikeja", "apapa", "lekki"}

// The settings and the configuration that the checks of opening packets refer to.
const (
	evacuatedWithin = 5 * time.Second
	// warmupLength is the slow start of a backend server that replaces another one, longWarmup of one that starts after the faults: VMs
	// that were all killed send nothing to backend servers in slow start for more than 15 s.
	warmupLength    = 4 * time.Second
	longWarmup      = 2*calmAfter + burstLength + normalAfter + normalLength
	warmupPerSecond = 2
	warmupOverage   = 1.5
	warmupSlack     = 5
	// coldLimit is the number of opening packets that a backend server in slow start may get in any second.
	coldLimit = int(warmupPerSecond*warmupOverage + warmupSlack)
)

// Names of parts that faults disturb; those of the VMs and of their links to the platform contain their address.
const (
	platformPart = "platform"
	processPart  = "process "
	linkPart     = "link "
)

// openings checks the opening packets that backend servers receive; it is safe for concurrent use.
type openings struct {
	parts *parts
	// violated is called for each violation, and counted for each packet that was checked and is in order.
	violated func(kind, format string, args ...any)
	counted  func(what string)

	mu sync.Mutex
	// acked holds when the platform acknowledged the request to evacuate a data centre that is in force.
	acked map[string]time.Time
	// reported holds the VMs that have violated an evacuation, so that each is reported once.
	reported map[string]bool
	// cold holds the arrivals of the last second at each backend server in slow start.
	cold map[string][]time.Time
}

func newOpenings(p *parts, violated func(kind, format string, args ...any), counted func(what string)) *openings {
	return &openings{
		parts: p, violated: violated, counted: counted,
		acked: map[string]time.Time{}, reported: map[string]bool{}, cold: map[string][]time.Time{},
	}
}

// setAcked records that the platform has acknowledged the request to evacuate a data centre; ok is false if none is in force.
func (c *openings) setAcked(zone string, at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		c.acked[zone] = at
		return
	}
	delete(c.acked, zone)
}

// record checks one opening packet.
func (c *openings) record(o platformtest.Opening) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkEvacuations(o)
	if o.IsCold {
		c.checkColdLimit(o)
	}
}

// checkEvacuations records a violation if the VM sends to an evacuated data centre although the bound has passed since the
// acknowledgement, and since the VM, its link and the platform were last disturbed.
func (c *openings) checkEvacuations(o platformtest.Opening) {
	since, ok := c.parts.undisturbedSince(platformPart, processPart+o.VM.String(), linkPart+o.VM.String())
	if !ok {
		return
	}
	for zone, acked := range c.acked {
		late := o.At.Sub(acked)
		key := fmt.Sprint(zone, acked, o.VM)
		switch {
		case late <= evacuatedWithin || o.At.Sub(since) <= evacuatedWithin:
		case zone != o.Zone:
			c.counted("opening packet after an evacuation")
		case !c.reported[key]:
			c.reported[key] = true
			c.violated("evacuated", "VM %v sent an opening packet to %s in %s %v after the platform acknowledged the evacuation, undisturbed for %v",
				o.VM, o.Host, zone, late.Round(time.Millisecond), o.At.Sub(since).Round(time.Millisecond))
		}
	}
}

// checkColdLimit records a violation if a backend server in slow start has got more opening packets than allowed in the last second.
func (c *openings) checkColdLimit(o platformtest.Opening) {
	var within []time.Time
	for _, at := range append(c.cold[o.Host], o.At) {
		if o.At.Sub(at) < time.Second {
			within = append(within, at)
		}
	}
	c.cold[o.Host] = within
	if len(within) > coldLimit {
		c.violated("slow_start", "%s got %d opening packets within a second during its slow start, the limit is %d; the last one from VM %v, arrivals before it: %v",
			o.Host, len(within), coldLimit, o.VM, agesAt(o.At, within))
		return
	}
	c.counted("opening packet in slow start")
}

// agesAt returns how long before an instant each of the times was.
func agesAt(now time.Time, times []time.Time) (ages []time.Duration) {
	for _, t := range times {
		ages = append(ages, now.Sub(t).Round(time.Millisecond))
	}
	return ages
}

// evacuate requests the evacuation of one or two data centres that are not evacuated. The requests last for longer than the bound, also
// if the fault phase ends before.
func (r *run) evacuate(rng *rand.Rand) (heal func()) {
	const longestRest = 4 * time.Second
	hold := evacuatedWithin + time.Duration(rng.Int64N(int64(longestRest)))
	var begun []string
	for _, i := range rng.Perm(len(zones))[:1+rng.IntN(2)] {
		if r.setEvacuated(zones[i], true) {
			begun = append(begun, zones[i])
		}
	}
	r.addNote("evacuation", fmt.Sprintf("%v for at least %v", begun, hold))
	return func() {
		time.Sleep(hold)
		for _, zone := range begun {
			r.setEvacuated(zone, false)
		}
	}
}

// setEvacuated publishes or removes the request to evacuate a data centre; it returns false if that is so already.
func (r *run) setEvacuated(zone string, evacuated bool) bool {
	r.evacuationMu.Lock()
	defer r.evacuationMu.Unlock()
	if r.evacuated[zone] == evacuated {
		return false
	}
	r.evacuated[zone] = evacuated
	if !evacuated { // packets may arrive again as soon as the removal is published
		r.openings.setAcked(zone, time.Time{}, false)
	}
	r.env.SetEvacuated(zone, evacuated)
	if evacuated {
		r.openings.setAcked(zone, time.Now(), true)
	}
	r.parts.set(zone, evacuated, time.Now())
	return true
}
