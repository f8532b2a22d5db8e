package pimramp

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
)

// maxOwned bounds the cached assignments, which would otherwise keep backend servers that have ended.
const maxOwned = 4096

// vm is a VM among which backend servers are assigned; hash is that of its name.
type vm struct {
	name string
	hash uint64
}

func newVMs(names []string) (vms []vm) {
	for _, name := range names {
		vms = append(vms, vm{name: name, hash: xxhash.Sum64String(name)})
	}
	return vms
}

// isFirst reports whether this VM has the highest score of all VMs for a backend server (rendezvous hashing, as in
// pimmember.OwnerAmong, but by name, since the VMs have no numbers). With an equal score, or another VM of the same name, it has not:
// nobody sends then.
func (l *Limiter) isFirst(id pimcatalog.HostID) bool {
	own := score(xxhash.Sum64String(l.cfg.Name), id)
	isSelf := false
	for _, v := range l.vms {
		switch {
		case v.name == l.cfg.Name && !isSelf:
			isSelf = true
		case score(v.hash, id) >= own:
			return false
		}
	}
	return true
}

func score(hash uint64, id pimcatalog.HostID) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], hash)
	binary.BigEndian.PutUint64(b[8:], uint64(id))
	return xxhash.Sum64(b[:])
}

// Owner returns the VM that sends to a backend server while it is in slow start, by the membership that this VM knows. It is empty in
// other data centres, before the first update, and if two VMs have the same score.
func (l *Limiter) Owner(h *pimcatalog.Host) (name string) {
	if h.DataCentre != l.cfg.DataCentre {
		return ""
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	best := uint64(0)
	for _, v := range l.vms {
		switch s := score(v.hash, h.ID); {
		case name == "" && s >= best || s > best:
			name, best = v.name, s
		case s == best:
			name = ""
		}
	}
	return name
}
