package pimadmit

import (
	"cmp"
	"slices"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
)

// Places is a number of requests, running and queued, that a backend server can hold.
type Places float64

// Share is the part of a backend server that one VM may fill.
type Share struct {
	Host   *pimcatalog.Host
	Places Places
}

// minShare is the smallest number of places that is worth a share: a VM with less cannot have a request under way there.
const minShare = Places(0.3)

// Allot divides the places of the backend servers of one service and data centre evenly among the VMs of the data centre, to which the
// fabric spreads new flows evenly. A VM gets contiguous places, so that it is the only user of most backend servers of its
// share and knows their load exactly. All VMs with the same view get shares that do not overlap; VMs that know different VMs may
// overfill some backend servers, which then refuse requests as they do without shares.
func Allot(cfg Settings, hosts []*pimcatalog.Host, vms []string, self string) (shares []Share) {
	vms = slices.Compact(slices.Sorted(slices.Values(append(slices.Clone(vms), self))))
	hosts = slices.SortedFunc(slices.Values(hosts), func(a, b *pimcatalog.Host) int { return cmp.Compare(a.ID, b.ID) })
	total := Places(0)
	for _, h := range hosts {
		total += cfg.Places(h)
	}
	rank, each := slices.Index(vms, self), total/Places(len(vms))
	from, to := each*Places(rank), each*Places(rank+1)
	start := Places(0)
	for _, h := range hosts {
		end := start + cfg.Places(h)
		if own := min(end, to) - max(start, from); own >= minShare {
			shares = append(shares, Share{Host: h, Places: own})
		}
		start = end
	}
	return shares
}

// Places returns the places of a whole backend server.
func (s Settings) Places(h *pimcatalog.Host) Places {
	return Places(float64(max(1, h.Slots)) * (1 + s.QueuePerSlot))
}
