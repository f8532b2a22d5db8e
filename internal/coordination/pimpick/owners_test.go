package pimpick

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

var someOwners = []Owner{{Node: 1, Slots: 4}, {Node: 2, Slots: 4}, {Node: 3, Slots: 0}, {Node: 4, Slots: 4, Remote: true}}

func pickOwner(o *Owners, now pimclock.Instant, exclude ...pimid.NodeID) (pimid.NodeID, error) {
	return o.Pick(now, 1, someOwners, exclude, rand.New(rand.NewPCG(1, 1)))
}

// Guards against the choice of owners that are excluded, own no slots or have the longer wait, and of remote owners
// without need.
func TestPickOwner(t *testing.T) {
	cases := []struct {
		name    string
		waits   map[pimid.NodeID]time.Duration
		after   time.Duration
		exclude []pimid.NodeID
		want    pimid.NodeID
		err     error
	}{
		{"shorter wait", map[pimid.NodeID]time.Duration{1: time.Second, 2: time.Millisecond}, 0, nil, 2, nil},
		{"one excluded", nil, 0, []pimid.NodeID{1}, 2, nil},
		{"remote owner as the last resort", nil, 0, []pimid.NodeID{1, 2}, 4, nil},
		{"none left", nil, 0, []pimid.NodeID{1, 2, 4}, 0, ErrNoOwner},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := NewOwners(PowerOfTwo{})
			for node, wait := range c.waits {
				o.Observe(0, node, 1, wait)
			}
			id, err := pickOwner(o, pimclock.Instant(c.after), c.exclude...)
			is.Equal(id, c.want)
			is.True(errors.Is(err, c.err))
		})
	}
}

// Guards against a burst of requests that all go to one owner until its first reply arrives.
func TestPendingRequestsSpreadABurst(t *testing.T) {
	is := is.New(t)
	o, counts := NewOwners(PowerOfTwo{}), map[pimid.NodeID]int{}
	for range 100 {
		id, err := pickOwner(o, 0)
		is.NoErr(err)
		counts[id]++
	}
	is.Equal(counts[1], counts[2])
	for range counts[1] {
		o.Done(1, 1)
	}
	id, err := pickOwner(o, 0)
	is.NoErr(err)
	is.Equal(id, pimid.NodeID(1)) // ended requests no longer count
}

// Guards against tables that keep every owner and contract ever used.
func TestSweep(t *testing.T) {
	is := is.New(t)
	o := NewOwners(PowerOfTwo{})
	o.Observe(0, 1, 1, time.Second)
	o.Sweep(pimclock.Instant(2 * time.Minute))
	is.Equal(len(o.states)+len(o.latest), 0)
}

// Guards against requests to owners that would be refused again, and against a backoff that does not end.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	b := NewBackoff()
	b.Refused(0, 1, 1200*time.Millisecond, time.Second)
	ok, retry := b.Allows(0, 1)
	is.True(!ok)
	is.Equal(retry, 200*time.Millisecond) // until the wait fits the timeout
	ok, _ = b.Allows(0, 2)
	is.True(ok) // another contract
	ok, _ = b.Allows(pimclock.Instant(retry), 1)
	is.True(ok)
	b.Refused(0, 3, time.Hour, time.Second)
	_, retry = b.Allows(0, 3)
	is.Equal(retry, maxBackoff) // freed slots are found soon
}

// BenchmarkPickOwner measures one choice among 8 owners and the end of its request.
func BenchmarkPickOwner(b *testing.B) {
	o, rnd := NewOwners(PowerOfTwo{}), rand.New(rand.NewPCG(1, 1))
	var owners []Owner
	for i := range 8 {
		owners = append(owners, Owner{Node: pimid.NodeID(i + 1), Slots: 4})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id, err := o.Pick(pimclock.Instant(i), 1, owners, nil, rnd)
		if err != nil {
			b.Fatal(err)
		}
		o.Done(id, 1)
	}
}
