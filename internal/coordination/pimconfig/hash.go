package pimconfig

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/crypto/blake2b"
)

// HashSize is the length of digests and chunk hashes in bytes; 128 bits keep the hash list of a snapshot short.
const HashSize = 16

// bucketCount is the number of snapshot chunks. At 33,000 backend servers a chunk holds about 30 KB, so that little is
// sent again after one change, and the complete list of hashes has 8 KB.
const bucketCount = 512

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// emptyHash is the only hash in the list of a state without keys.
var emptyHash = contentHash(nil)

func contentHash(p []byte) (h [HashSize]byte) {
	sum := blake2b.Sum256(p)
	copy(h[:], sum[:])
	return h
}

// entryHash returns the hash of key, revision and value. The digest of a store is the XOR over its entries, so that one
// change costs two hashes whatever the number of entries.
func entryHash(e Event) [HashSize]byte {
	buf := make([]byte, 0, 12+len(e.Key)+len(e.Value))
	buf = binary.BigEndian.AppendUint64(buf, uint64(e.Revision))
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(e.Key)))
	buf = append(buf, e.Key...)
	buf = append(buf, e.Value...)
	return contentHash(buf)
}

func xorInto(dst *[HashSize]byte, src [HashSize]byte) {
	for i := range dst {
		dst[i] ^= src[i]
	}
}
