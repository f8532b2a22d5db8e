package pimcatalog

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// HostID is the number by which a backend server recognises the datagrams that are meant for it.
type HostID uint64

// Tag is the value that both ends of a flow carry in each packet; it identifies the backend server of the flow.
type Tag uint32

// NoTag marks a packet whose sender has not received a packet from a backend server yet.
const NoTag Tag = 0

// Tag returns the tag of the backend server; it is never NoTag.
func (id HostID) Tag() Tag {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(id))
	if t := Tag(xxhash.Sum64(b[:])); t != NoTag {
		return t
	}
	return NoTag + 1
}

// Service is the name of a published service.
type Service string

// Host is one published backend server. A host in a catalog is immutable; a new state is a new value. It is encoded under
// its field names in messages between VMs.
type Host struct {
	ID   HostID
	Name string
	// Service is the service whose requests the backend server runs.
	Service    Service
	Address    netip.AddrPort
	DataCentre pimid.DataCentre
	// Slots is the number of requests that the backend server runs at once.
	Slots int
	// Leaving excludes the backend server from new flows; its open flows go on.
	Leaving bool
	// Warmup is the rest of the slow start at the time of publication, and ColdUntil is when the slow start ends.
	Warmup    time.Duration
	ColdUntil pimclock.Instant
	// StartedAt is when the process of the backend server started, in Unix milliseconds, and identifies its generation;
	// zero means that it is not published.
	StartedAt int64
	// Sequence numbers the reports that the backend server has published since its start.
	Sequence uint64
	// Revision is that of the last change of the entry, Created that of its first appearance.
	Revision, Created pimid.Revision
	// Unlisted is set once the entry has disappeared; the backend server then counts as ended from GoneAt on.
	Unlisted bool
	GoneAt   pimclock.Instant
}

// Tag returns the tag of the backend server.
func (h *Host) Tag() Tag { return h.ID.Tag() }

// Gone reports whether the backend server counts as ended.
func (h *Host) Gone(now pimclock.Instant) bool { return h.Unlisted && !now.Before(h.GoneAt) }

// AcceptsNewFlows reports whether the backend server may receive new flows.
func (h *Host) AcceptsNewFlows(now pimclock.Instant) bool { return !h.Leaving && !h.Gone(now) }

// ColdFor returns the rest of the slow start, in which the backend server gets fewer new flows.
func (h *Host) ColdFor(now pimclock.Instant) time.Duration { return max(0, h.ColdUntil.Sub(now)) }
