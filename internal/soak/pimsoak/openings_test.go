package pimsoak

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/platform/platformtest"
)

// checked runs the checks of opening packets and returns the kinds of the violations.
type checked struct {
	*openings
	parts *parts
	kinds []string
	ok    map[string]int
}

func newChecked() *checked {
	c := &checked{parts: newParts(), ok: map[string]int{}}
	c.openings = newOpenings(c.parts,
		func(kind, _ string, _ ...any) { c.kinds = append(c.kinds, kind) }, func(what string) { c.ok[what]++ })
	return c
}

var (
	vmAddress = netip.MustParseAddr("127.0.0.1")
	instant   = time.Unix(1_800_000_000, 0)
)

// Guards against an evacuation check that misses a late opening packet, or that blames a VM within the bound, after the end of the
// request, while it or the platform is disturbed, or for another data centre.
func TestLateOpeningPackets(t *testing.T) {
	const late = evacuatedWithin + time.Millisecond
	for name, test := range map[string]struct {
		prepare func(c *checked)
		zone    string
		after   time.Duration
		want    int
	}{
		"late":             {after: late, want: 1},
		"within the bound": {after: evacuatedWithin},
		"other zone":       {after: late, zone: "apapa"},
		"request removed":  {after: late, prepare: func(c *checked) { c.setAcked("ikeja", time.Time{}, false) }},
		"platform away":    {after: late, prepare: func(c *checked) { c.parts.set(platformPart, true, instant) }},
		"VM paused":        {after: late, prepare: func(c *checked) { c.parts.set(processPart+vmAddress.String(), true, instant) }},
		"link reset":       {after: late, prepare: func(c *checked) { c.parts.touch(linkPart+vmAddress.String(), instant.Add(time.Second)) }},
		"VM just resumed": {after: late, prepare: func(c *checked) {
			c.parts.set(processPart+vmAddress.String(), true, instant)
			c.parts.set(processPart+vmAddress.String(), false, instant.Add(time.Second))
		}},
		"VM resumed a bound before": {after: time.Second + late, want: 1, prepare: func(c *checked) {
			c.parts.set(processPart+vmAddress.String(), true, instant)
			c.parts.set(processPart+vmAddress.String(), false, instant.Add(time.Second))
		}},
		"other VM paused": {after: late, want: 1, prepare: func(c *checked) { c.parts.set(processPart+"127.0.0.2", true, instant) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newChecked()
			c.setAcked("ikeja", instant, true)
			if test.prepare != nil {
				test.prepare(c)
			}
			zone := test.zone
			if zone == "" {
				zone = "ikeja"
			}
			o := platformtest.Opening{Host: "i-1", Zone: zone, VM: vmAddress, At: instant.Add(test.after)}
			c.record(o)
			c.record(o) // each VM is reported once
			is.Equal(len(c.kinds), test.want)
		})
	}
}

// Guards against a check of the slow start that divides time into fixed seconds, adds up different backend servers, counts warm ones,
// or allows one packet too many.
func TestColdLimit(t *testing.T) {
	is := is.New(t)
	is.Equal(coldLimit, 8)
	c := newChecked()
	at := instant.Add(600 * time.Millisecond)
	record := func(host string, cold bool) {
		c.record(platformtest.Opening{Host: host, Zone: "ikeja", VM: vmAddress, At: at, IsCold: cold})
	}
	for range coldLimit {
		record("i-1", true)
		record("i-2", true)
		record("i-3", false)
		at = at.Add(100 * time.Millisecond)
	}
	record("i-3", false)
	is.Equal(len(c.kinds), 0)
	is.Equal(c.ok["opening packet in slow start"], 2*coldLimit)
	record("i-1", true) // 800 ms after the first one
	is.Equal(c.kinds, []string{"slow_start"})
	at = at.Add(200 * time.Millisecond) // the first one is one second ago
	record("i-2", true)
	is.Equal(len(c.kinds), 1)
}

// Guards against parts that a second fault makes undisturbed earlier, or whose end of a disturbance is not seen.
func TestUndisturbedSince(t *testing.T) {
	is := is.New(t)
	p := newParts()
	_, ok := p.undisturbedSince("a", "b")
	is.True(ok)
	p.set("a", true, instant)
	_, ok = p.undisturbedSince("a", "b")
	is.True(!ok)
	p.set("a", false, instant.Add(2))
	p.set("a", false, instant.Add(3))
	p.touch("b", instant.Add(1))
	since, ok := p.undisturbedSince("a", "b")
	is.True(ok)
	is.Equal(since, instant.Add(2))
}
