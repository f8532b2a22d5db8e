package pimgossip

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Guards against silent and leaving VMs that are left out, so that another one takes over their work while they still run.
func TestMembershipIncludesSilentVMs(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, 3*time.Second, 1)
	f.run(20 * time.Second)
	first := func() Membership { return f.vms[0].mesh.Membership(f.now) }
	is.Equal(len(first().Members), 3)
	is.True(!first().Incomplete)
	is.True(first().RunningFor > 19*time.Second)
	is.Equal(first().Members[0].Name, "vm-1")
	is.True(first().Members[0].KnownFor > 15*time.Second)

	f.deliver(f.vms[1], f.vms[1].mesh.Announce(f.now, f.view(f.vms[1]), true))
	f.vms[1].down, f.vms[2].down = true, true
	removal := f.vms[0].mesh.removalTimeout()
	f.run(removal - 2*time.Second)
	is.Equal(len(first().Members), 3)
	f.run(4 * time.Second)
	is.Equal(len(first().Members), 1)
}

// Guards against a VM that takes its membership for complete before it knows all others, silent ones included, or before they know it.
// While a VM is silent, one that starts does not learn its name, only that there is one more.
func TestMembershipOfAVMThatStarts(t *testing.T) {
	for _, n := range []int{3, 30, 100} {
		is := is.New(t)
		f := newFleet(t, n, 3*time.Second, 1)
		f.loss = 0.001
		f.run(20 * time.Second)
		started := f.vms[n-1]
		started.down = true
		f.run(time.Second)
		f.startAgain(started)
		is.True(started.mesh.Membership(f.now).Incomplete)
		wait := time.Duration(0)
		for ; started.mesh.Membership(f.now).Incomplete; wait += step {
			f.run(step)
		}
		t.Logf("%d VMs: complete after %v", n, wait)
		is.Equal(len(started.mesh.Membership(f.now).Members), n-1)
		for _, v := range f.vms[:n-1] {
			is.True(v.mesh.peers[started.address] != nil)
		}

		silent := f.vms[n/2]
		silent.down = true
		f.run(f.vms[0].mesh.peerTimeout() + time.Second)
		f.startAgain(started)
		f.run(f.vms[0].mesh.cfg.HelloInterval)
		is.True(started.mesh.Membership(f.now).Incomplete)
		silent.down = false
		f.run(20 * time.Second)
		is.True(!started.mesh.Membership(f.now).Incomplete)
	}
}

// Guards against a VM that was paused and goes on with a membership from which it may have been removed.
func TestMembershipAfterAPause(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 3*time.Second, 1)
	f.run(20 * time.Second)
	f.vms[0].down = true
	f.run(10 * time.Second)
	s := f.vms[0].mesh.Membership(f.now) // before the first tick
	is.True(s.RunningFor == 0 && s.Incomplete)
	f.vms[0].down = false
	f.run(step)
	is.True(f.vms[0].mesh.Membership(f.now).RunningFor <= step)
	f.run(2 * time.Second)
	is.True(!f.vms[0].mesh.Membership(f.now).Incomplete)
}

// Guards against a VM without others that waits for ever, and against one that cannot reach its seeds and does not wait.
func TestMembershipOfAVMThatIsAlone(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 3*time.Second, 1)
	f.run(step)
	is.True(!f.vms[0].mesh.Membership(f.now).Incomplete) // it has no seeds but itself

	f = newFleet(t, 2, 3*time.Second, 1)
	f.vms[1].down = true
	f.run(step)
	f.run(f.vms[0].mesh.removalTimeout() - time.Second)
	is.True(f.vms[0].mesh.Membership(f.now).Incomplete)
	f.run(2 * time.Second)
	is.True(!f.vms[0].mesh.Membership(f.now).Incomplete)
}

// BenchmarkMembership measures the list of the VMs in a data centre of 380.
func BenchmarkMembership(b *testing.B) {
	cfg := DefaultSettings(3 * time.Second)
	m := New(cfg, rand.New(rand.NewPCG(1, 1)))
	for i := range 379 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7720)
		m.peers[address] = &peer{name: fmt.Sprintf("frontend-ikeja-%d", i), address: address, heardSince: 1}
	}
	b.ReportAllocs()
	for b.Loop() {
		m.Membership(pimclock.Instant(time.Hour))
	}
}
