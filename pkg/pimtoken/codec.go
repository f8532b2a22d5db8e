package pimtoken

import (
	"encoding/binary"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// The offsets of the fields in a sealed token; all numbers are big-endian.
const (
	offsetKey         = 0
	offsetFlags       = 1
	offsetService     = 2
	offsetContract    = 4
	offsetBackend     = 6
	offsetGeneration  = 10
	offsetHome        = 12
	offsetIncarnation = 14
	offsetFlow        = 22
	offsetIssuedAt    = 28
	offsetMAC         = 32
)

// flowLowBits is the number of bits of a flow id after the first two of its six bytes.
const flowLowBits = 32

func (t *Token) encode(dst *[Size]byte, key uint8) {
	be := binary.BigEndian
	dst[offsetKey] = key
	dst[offsetFlags] = byte(t.Flags)
	be.PutUint16(dst[offsetService:], uint16(t.Service))
	be.PutUint16(dst[offsetContract:], uint16(t.Contract))
	be.PutUint32(dst[offsetBackend:], uint32(t.Backend))
	be.PutUint16(dst[offsetGeneration:], uint16(t.Generation))
	be.PutUint16(dst[offsetHome:], uint16(t.Home))
	be.PutUint64(dst[offsetIncarnation:], uint64(t.HomeIncarnation))
	be.PutUint16(dst[offsetFlow:], uint16(t.Flow>>flowLowBits))
	be.PutUint32(dst[offsetFlow+2:], uint32(t.Flow))
	be.PutUint32(dst[offsetIssuedAt:], t.IssuedAt)
}

func (t *Token) decode(src *[Size]byte) {
	be := binary.BigEndian
	t.Flags = Flags(src[offsetFlags])
	t.Service = pimid.ServiceID(be.Uint16(src[offsetService:]))
	t.Contract = pimid.ContractID(be.Uint16(src[offsetContract:]))
	t.Backend = pimid.BackendID(be.Uint32(src[offsetBackend:]))
	t.Generation = pimid.Generation(be.Uint16(src[offsetGeneration:]))
	t.Home = pimid.NodeID(be.Uint16(src[offsetHome:]))
	t.HomeIncarnation = pimid.Incarnation(be.Uint64(src[offsetIncarnation:]))
	high := pimid.FlowID(be.Uint16(src[offsetFlow:]))
	t.Flow = high<<flowLowBits | pimid.FlowID(be.Uint32(src[offsetFlow+2:]))
	t.IssuedAt = be.Uint32(src[offsetIssuedAt:])
}
