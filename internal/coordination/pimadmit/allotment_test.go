package pimadmit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
)

// hostsWith returns backend servers with the given slots; their ids start at 1.
func hostsWith(slots ...int) (hosts []*pimcatalog.Host) {
	for i, n := range slots {
		hosts = append(hosts, &pimcatalog.Host{ID: pimcatalog.HostID(i + 1), Slots: n})
	}
	return hosts
}

func vmNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("vm-%02d", i))
	}
	return names
}

// filled returns the places that all VMs together may fill, by backend server, and the smallest and largest sum of a VM.
func filled(cfg Settings, hosts []*pimcatalog.Host, vms []string) (byHost map[pimcatalog.HostID]Places, least, most Places) {
	byHost, least = map[pimcatalog.HostID]Places{}, Places(math.Inf(1))
	for _, self := range vms {
		sum := Places(0)
		for _, s := range Allot(cfg, hosts, vms, self) {
			byHost[s.Host.ID] += s.Places
			sum += s.Places
		}
		least, most = min(least, sum), max(most, sum)
	}
	return byHost, least, most
}

const tolerance = 1e-6

// Guards against backend servers that several VMs fill together beyond their queue, and against places that no VM uses: the shares of
// all VMs must cover each backend server once, up to the shares that are too small to be used, and be even.
func TestSharesCoverAllPlacesOnce(t *testing.T) {
	cfg := DefaultSettings()
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		slots := make([]int, 1+rng.IntN(40))
		for i := range slots {
			slots[i] = rng.IntN(9) - 1 // includes unpublished and wrong numbers
		}
		hosts, vms := hostsWith(slots...), vmNames(1+rng.IntN(30))
		rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
		byHost, least, most := filled(cfg, hosts, vms)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			for _, h := range hosts {
				places := cfg.Places(h)
				is.True(byHost[h.ID] <= places+tolerance) // filled twice
				// Each of the VMs that meet at a backend server may drop a share below minShare.
				dropped := minShare * Places(math.Ceil(float64(places)*float64(len(vms))/float64(total(cfg, hosts))+2))
				is.True(byHost[h.ID] >= places-dropped) // places that no VM may fill
			}
			each := total(cfg, hosts) / Places(len(vms))
			if each < 2*minShare {
				return // some VMs have a share that is too small to be used
			}
			is.True(least >= each-2*minShare && most <= each+tolerance) // uneven shares
		})
	}
}

func total(cfg Settings, hosts []*pimcatalog.Host) (sum Places) {
	for _, h := range hosts {
		sum += cfg.Places(h)
	}
	return sum
}

// Guards against shares that remain with a VM that has left, and against a VM that joins and gets none.
func TestSharesFollowTheMembership(t *testing.T) {
	is := is.New(t)
	cfg, hosts := DefaultSettings(), hostsWith(2, 2, 2, 2, 2, 2)
	for vms := 1; vms <= 8; vms++ {
		byHost, least, most := filled(cfg, hosts, vmNames(vms))
		is.Equal(len(byHost), len(hosts))
		is.True(math.Abs(float64(least-total(cfg, hosts)/Places(vms))) < 2*float64(minShare))
		is.True(most <= total(cfg, hosts)/Places(vms)+tolerance)
	}
}

// Guards against a VM without a share because the list of VMs does not have its name, or has it or another one twice.
func TestShareOfAVMThatIsNotListed(t *testing.T) {
	is := is.New(t)
	cfg, hosts := DefaultSettings(), hostsWith(2, 2)
	sum := func(vms []string, self string) (sum Places) {
		for _, s := range Allot(cfg, hosts, vms, self) {
			sum += s.Places
		}
		return sum
	}
	is.Equal(sum(nil, "a"), Places(20))
	is.Equal(sum([]string{"b"}, "a"), Places(10))
	is.Equal(sum([]string{"b", "a", "b", "a"}, "a"), Places(10))
	is.Equal(len(Allot(cfg, nil, []string{"b"}, "a")), 0)
}
