package pimregistry

import (
	"net/netip"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
)

// isLaterOwner reports whether a backend server took over the address of another one, which has ended then. Its entry must have
// appeared later, and it must have started later: an earlier run of the same machine may write its entry once more after the
// next run has published its own, and an entry with the same start or, if the other one has a start, without one is a copy.
// Across eras, only the start counts, since the entries of the copy appear anew.
func isLaterOwner(h, other *pimcatalog.Host) bool {
	isSameEra := h.Created.Era() == other.Created.Era()
	switch {
	case isSameEra && h.Created <= other.Created:
		return false
	case other.StartedAt == 0:
		return isSameEra
	default:
		return h.StartedAt > other.StartedAt
	}
}

// isPublished reports whether the configuration names the service of a backend server. An entry of another service may come
// from another writer; it decides about no other entry.
func (r *Registry) isPublished(h *pimcatalog.Host) bool {
	return r.routes != nil && r.routes.HasService(h.Service)
}

// endEarlierOwners replaces each backend server of a published service whose address has a later owner by one that has ended. This follows
// from the present entries alone, whatever their order was, so that VMs with the same entries agree. An entry of another service may
// come from another writer under the id of a backend server with open flows.
func (r *Registry) endEarlierOwners(hosts []*pimcatalog.Host) {
	superseded := map[pimcatalog.HostID]bool{}
	for _, sharing := range sharedAddresses(hosts) {
		for _, i := range sharing {
			h := hosts[i]
			successor := r.laterOwner(hosts, sharing, h)
			if successor == nil || !r.isPublished(h) {
				continue
			}
			gone := *h
			gone.Unlisted, gone.GoneAt = true, 0
			hosts[i] = &gone
			superseded[h.ID] = true
			if !r.superseded[h.ID] {
				r.notify(Change{ID: h.ID, Host: &gone, Revision: successor.Revision}, Superseded)
			}
		}
	}
	r.superseded = superseded
}

// laterOwner returns a later owner of the address of h among some backend servers, or nil.
func (r *Registry) laterOwner(hosts []*pimcatalog.Host, among []int, h *pimcatalog.Host) *pimcatalog.Host {
	for _, i := range among {
		if r.isPublished(hosts[i]) && isLaterOwner(hosts[i], h) {
			return hosts[i]
		}
	}
	return nil
}

// sharedAddresses returns the indexes of the backend servers of each address that has several.
func sharedAddresses(hosts []*pimcatalog.Host) map[netip.AddrPort][]int {
	first := make(map[netip.AddrPort]int, len(hosts))
	shared := map[netip.AddrPort][]int{}
	for i, h := range hosts {
		j, isShared := first[h.Address]
		if !isShared {
			first[h.Address] = i
			continue
		}
		if shared[h.Address] == nil {
			shared[h.Address] = []int{j}
		}
		shared[h.Address] = append(shared[h.Address], i)
	}
	return shared
}
