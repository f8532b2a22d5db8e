package pimtoken

import (
	"cmp"
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/dchest/siphash"
	"github.com/samber/oops"
)

// Ring is an immutable set of keys; a change of keys replaces the whole ring.
type Ring struct {
	// keys are ordered from the newest to the oldest.
	keys []ringKey
	// position is the index of a key id in keys plus one; zero means that the id is unknown.
	position [1 << 8]uint16
}

// NewRing builds a ring of the published keys; it returns ErrKeySize or ErrDuplicateKey, wrapped with the key id.
func NewRing(keys []Key) (r *Ring, err error) {
	defer func() { err = oops.In("pimtoken").Wrapf(err, "build the key ring") }()

	r = &Ring{keys: make([]ringKey, 0, len(keys))}
	for _, k := range keys {
		if len(k.Secret) != KeySize {
			return nil, fmt.Errorf("key %d: %w", k.ID, ErrKeySize)
		}
		r.keys = append(r.keys, newRingKey(k))
	}
	slices.SortFunc(r.keys, newestFirst)
	for i, k := range r.keys {
		if r.position[k.id] != 0 {
			return nil, fmt.Errorf("key %d: %w", k.id, ErrDuplicateKey)
		}
		r.position[k.id] = uint16(i + 1)
	}
	return r, nil
}

// newestFirst compares keys by the time of publication, and those of the same second by id, so that all VMs choose the
// same one.
func newestFirst(a, b ringKey) int {
	return cmp.Or(cmp.Compare(b.publishedAt, a.publishedAt), cmp.Compare(b.id, a.id))
}

// Seal writes t and its MAC to dst, with the key that may seal at unixNow in unix seconds; it returns ErrNoSealingKey
// if there is none.
func (r *Ring) Seal(unixNow int64, t *Token, dst *[Size]byte) error {
	k := r.sealingKey(unixNow)
	if k == nil {
		return ErrNoSealingKey
	}
	t.encode(dst, k.id)
	binary.BigEndian.PutUint64(dst[offsetMAC:], siphash.Hash(k.k0, k.k1, dst[:offsetMAC]))
	return nil
}

// Open reads a sealed token into t at unixNow in unix seconds; it returns ErrSize, ErrUnknownKey, ErrRetiredKey or
// ErrBadMAC and leaves t unchanged then. It does not check the age of the token: use CheckFlow or CheckPermit.
func (r *Ring) Open(unixNow int64, sealed []byte, t *Token) error {
	if len(sealed) != Size {
		return ErrSize
	}
	raw := (*[Size]byte)(sealed)
	i := r.position[raw[offsetKey]]
	if i == 0 {
		return ErrUnknownKey
	}
	k := &r.keys[i-1]
	var mac [Size - offsetMAC]byte
	binary.BigEndian.PutUint64(mac[:], siphash.Hash(k.k0, k.k1, raw[:offsetMAC]))
	if subtle.ConstantTimeCompare(mac[:], raw[offsetMAC:]) != 1 {
		return ErrBadMAC
	}
	if k.isRetired(unixNow, KeyGrace) {
		return ErrRetiredKey
	}
	t.decode(raw)
	return nil
}

// sealingKey returns the newest key that was published at least KeyDelay ago and is not retired. If there is none, it
// returns the newest one that was retired less than KeyDelay ago: a key may be retired when its successor is published,
// and the successor must not seal yet.
func (r *Ring) sealingKey(unixNow int64) *ringKey {
	var fallback *ringKey
	for i := range r.keys {
		k := &r.keys[i]
		if !k.isDistributed(unixNow) {
			continue
		}
		if !k.isRetired(unixNow, 0) {
			return k
		}
		if fallback == nil && !k.isRetired(unixNow, KeyDelay) {
			fallback = k
		}
	}
	return fallback
}
