package pimregistry

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
)

// checksum returns a hash of all fields of some routes, whose order does not matter.
func checksum(routes []pimcatalog.Route) (sum uint64) {
	var b []byte
	for i := range routes {
		b = appendRoute(b[:0], &routes[i])
		sum ^= xxhash.Sum64(b)
	}
	return sum
}

// appendRoute appends all fields of a route.
func appendRoute(b []byte, r *pimcatalog.Route) []byte {
	b = appendString(b, r.Name)
	b = r.Address.AppendTo(b)
	for _, v := range []int64{int64(r.Kind), int64(r.Priority), int64(r.Timeout), int64(r.Target)} {
		b = binary.AppendVarint(b, v)
	}
	for _, s := range r.Shares {
		b = appendString(b, string(s.Service))
		b = binary.AppendVarint(b, int64(s.Weight))
	}
	return b
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}
