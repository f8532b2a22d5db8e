package pimfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// cost runs a fleet for 10 s with a configuration change, a drain and a VM failure. It returns the largest number of
// bytes per second that a VM sent, and the mean number of messages per second and VM.
func cost(o Options) (perSecond, messages float64, err error) {
	const seconds = 10
	f, err := started(o)
	if err != nil {
		return 0, 0, err
	}
	before := make([]uint64, len(f.vms))
	for i, vm := range f.vms {
		before[i] = vm.Bytes
		messages -= float64(vm.Messages)
	}
	f.Put("services/1", service(1, "second"))
	f.VM(2).Members.ReportBackend(9, pimmember.BackendStatus{Draining: true})
	f.VM(3).Kill()
	f.Run(seconds * time.Second)
	for i, vm := range f.vms {
		perSecond = max(perSecond, float64(vm.Bytes-before[i])/seconds)
		messages += float64(vm.Messages)
	}
	return perSecond, messages / seconds / float64(len(f.vms)), nil
}

// Guards against control traffic above 5 KB/s on any VM at three sizes of a data centre.
func TestControlTrafficStaysInBudget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, n := range []int{64, 256, 1024} {
		got, messages, err := cost(lossy(1, 1, n))
		is.NoErr(err)
		t.Logf("%d VMs: at most %.0f B/s per VM, %.1f messages/s", n, got, messages)
		is.True(got < byteBound)
	}
	// The faulty variant sends indirect probes through 60 VMs instead of 3, and does so after every probe, since an
	// answer takes longer than the probe timeout.
	greedy := lossy(1, 1, 64)
	greedy.Member.ProbeTimeout, greedy.Member.IndirectProbes = time.Nanosecond, 60
	greedy.LocalDelay = 60 * time.Millisecond
	got, _, err := cost(greedy)
	is.NoErr(err)
	is.True(got > byteBound) // the check must detect the faulty variant
}

// disseminationTime returns the mean time until all VMs of one data centre know of a drain.
func disseminationTime(n, runs int, drop func(from *VM, to pimid.NodeID, g *pimpb.Gossip) bool) (time.Duration, error) {
	var sum time.Duration
	for seed := range runs {
		o := lossy(uint64(seed), 1, n)
		o.Drop = drop
		f := New(o)
		f.Run(2 * time.Second)
		f.VM(2).Members.ReportBackend(9, pimmember.BackendStatus{Draining: true})
		took, ok := f.RunUntil(time.Minute, func() bool {
			return f.All(func(vm *VM) bool { s, _ := vm.Members.BackendStatus(9); return s.Draining })
		})
		if !ok {
			return 0, fmt.Errorf("drain not known by all %d VMs within %v", n, took)
		}
		sum += took
	}
	return sum / time.Duration(runs), nil
}

// Guards against dissemination that grows faster than the logarithm of the size: from 32 to 512 VMs the logarithm
// grows by 9/5 and the size by 16. The bound of 2.5 leaves room for the variance of two runs.
func TestDisseminationTimeIsLogarithmic(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const bound = 2.5
	var small time.Duration
	for _, n := range []int{32, 128, 512} {
		got, err := disseminationTime(n, 2, nil)
		is.NoErr(err)
		t.Logf("%d VMs: %v", n, got)
		if n == 32 {
			small = got
		}
		is.True(float64(got) < bound*float64(small))
	}
	// In the faulty variant, a VM reaches only VMs whose id differs by at most 4, so that the time grows with the size.
	near := func(from *VM, to pimid.NodeID, _ *pimpb.Gossip) bool {
		return max(from.ID, to)-min(from.ID, to) > 4
	}
	few, err := disseminationTime(24, 1, near)
	is.NoErr(err)
	many, err := disseminationTime(96, 1, near)
	t.Logf("faulty variant: 24 VMs %v, 96 VMs %v, %v", few, many, err)
	is.True(err != nil || float64(many) >= bound*float64(few)) // the check must detect slow dissemination
}
