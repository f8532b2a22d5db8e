package pimconfig

import (
	"slices"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// ReadersPerDataCentre is the number of VMs per data centre that watch the platform; two tolerate one failure while
// the calls to the platform stay independent of the size of the fleet.
const ReadersPerDataCentre = pimmember.Readers

// Ranking ranks the live VMs of a data centre for a key; pimmember.Members implements it.
type Ranking interface {
	Top(dc pimid.DataCentre, key uint64, n int) []pimid.NodeID
}

// Readers returns the VMs of a data centre that watch the platform.
func Readers(r Ranking, dc pimid.DataCentre) []pimid.NodeID {
	return r.Top(dc, pimmember.ReaderKey, ReadersPerDataCentre)
}

// IsReader reports whether a VM of the data centre watches the platform.
func IsReader(r Ranking, dc pimid.DataCentre, id pimid.NodeID) bool {
	return slices.Contains(Readers(r, dc), id)
}
