package pimquota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Guards against control traffic that grows with the number of contracts: at the design scale a VM may use 5 KB a
// second, while 20 contracts have more demand at two VMs each than the shares of these VMs.
func TestTrafficAtDesignScale(t *testing.T) {
	for _, n := range []int{8, 64, 380} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(n, scaleContracts)
			mean, most := f.run(func(vm, contract int) float64 {
				if vm == contract*5%n || vm == (contract*5+3)%n {
					return 2.5 * shareRate
				}
				return lowDemand
			})
			asked, admitted := 0, 0
			for id := range scaleBusy {
				asked, admitted = asked+f.asked[id], admitted+int(f.admitted[id].Load())
			}
			t.Logf("%d VMs: %.0f bytes/s sent per VM, at most %.0f; admitted %d of %d of the busy contracts", n, mean, most, admitted, asked)
			is.True(most <= scaleBudget)
			is.Equal(admitted, asked) // the shares of the other VMs cover the demand
		})
	}
}

// Guards against messages about contracts whose demand fits the shares of the VMs.
func TestDemandWithinSharesSendsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, scaleContracts)
	f.run(func(int, int) float64 { return lowDemand })
	is.Equal(f.messages, 0)
}

// Guards against a cold contract whose burst at one VM waits for permits: the first request of a VM without any contact
// to the owner, and the solicitation of the other VMs, must not take longer than coldBound.
func TestColdBurst(t *testing.T) {
	for _, n := range []int{8, 64, 380} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(n, 5*scaleBusy)
			start := pimclock.Instant(time.Hour + scaleWarmUp)
			for vm := range n {
				f.pools[vm].Tick(start)
			}
			const burst = 7 * shareDepth
			f.offer(start, 1, 0, burst)
			now := start
			for f.admitted[0].Load() < burst && now.Sub(start) < time.Second {
				now = now.Add(scaleStep)
				f.each(func(i int) { f.pools[i].Tick(now) })
				f.exchange(now)
			}
			t.Logf("%d VMs: %d of %d permits after %v", n, f.admitted[0].Load(), burst, now.Sub(start))
			is.True(now.Sub(start) <= coldBound)
		})
	}
}

// Guards against a flood of some contracts at all VMs that makes every VM borrow from one owner, whose traffic then grows
// with the fleet, though no VM has a share to lend.
func TestTrafficInAFlood(t *testing.T) {
	for _, n := range []int{64, 380} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(n, 5*scaleBusy)
			mean, most := f.run(func(int, int) float64 { return 1.5 * shareRate })
			admitted := 0
			for id := range scaleBusy {
				admitted += int(f.admitted[id].Load())
			}
			used := float64(admitted) / (scaleBusy * shareRate * float64(n) * (scaleWarmUp + scaleRun).Seconds())
			t.Logf("%d VMs: %.0f bytes/s sent per VM, at most %.0f; %.3f of the limits used", n, mean, most, used)
			is.True(most <= scaleBudget)
		})
	}
}
