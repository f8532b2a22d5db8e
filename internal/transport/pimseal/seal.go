package pimseal

import (
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"sync/atomic"

	"github.com/samber/oops"
	"golang.org/x/crypto/chacha20poly1305"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	// version is the format of a datagram, its first byte.
	version = 2
	// headerSize covers version (1 byte), node, incarnation, sequence and time in Unix milliseconds (8 bytes each).
	headerSize = 33
	// Overhead is the number of bytes that sealing adds to a message.
	Overhead = headerSize + chacha20poly1305.Overhead
	// MaxDatagram is the largest size of a sealed datagram in bytes.
	MaxDatagram = 1400
	// MinSecret is the minimum length of the cluster secret in bytes.
	MinSecret = 16
)

// info is the HKDF info value that separates this key from other keys derived from the cluster secret.
const info = "pimentoyard gossip v1"

// Identity is one incarnation of one VM.
type Identity struct {
	// Node is the ID of the VM, unique within the fleet.
	Node        uint64
	Incarnation pimid.Incarnation
}

// Sealer seals and opens datagrams with ChaCha20-Poly1305; it is safe for concurrent use. Each incarnation of a VM has
// its own key, derived from the cluster secret, node and incarnation, and the nonce is the sequence number, so that no
// pair of key and nonce is used twice.
type Sealer struct {
	id       Identity
	key      []byte
	ownAEAD  cipher.AEAD
	sequence atomic.Uint64

	mu      sync.Mutex
	senders map[uint64]*sender
}

// New returns a sealer for this VM; a secret shorter than MinSecret gives ErrSecret.
func New(secret []byte, id Identity) (s *Sealer, err error) {
	defer func() { err = oops.In("pimseal").Wrapf(err, "create sealer") }()
	if len(secret) < MinSecret {
		return nil, ErrSecret
	}
	key, err := hkdf.Key(sha256.New, secret, nil, info, sha256.Size)
	if err != nil {
		return nil, err
	}
	s = &Sealer{id: id, key: key, senders: map[uint64]*sender{}}
	s.ownAEAD, err = s.aead(id)
	return s, err
}

// aead derives the key of an incarnation and returns its cipher.
func (s *Sealer) aead(id Identity) (cipher.AEAD, error) {
	var keyInfo [16]byte
	binary.BigEndian.PutUint64(keyInfo[:], id.Node)
	binary.BigEndian.PutUint64(keyInfo[8:], uint64(id.Incarnation))
	key, err := hkdf.Expand(sha256.New, s.key, string(keyInfo[:]), chacha20poly1305.KeySize)
	if err != nil {
		return nil, err
	}
	return chacha20poly1305.New(key)
}

// Seal returns the datagram for a message; the error is ErrTooLarge.
func (s *Sealer) Seal(nowUnixMilli int64, plain []byte) (datagram []byte, err error) {
	if len(plain)+Overhead > MaxDatagram {
		return nil, ErrTooLarge
	}
	sequence := s.sequence.Add(1)
	header := make([]byte, 0, len(plain)+Overhead)
	header = append(header, version)
	header = binary.BigEndian.AppendUint64(header, s.id.Node)
	header = binary.BigEndian.AppendUint64(header, uint64(s.id.Incarnation))
	header = binary.BigEndian.AppendUint64(header, sequence)
	header = binary.BigEndian.AppendUint64(header, uint64(nowUnixMilli))
	return s.ownAEAD.Seal(header, nonce(sequence), plain, header), nil
}

// Open returns the sender and the message of an authentic datagram that was not received before. The error is ErrShort,
// ErrVersion, ErrForged, ErrTime or ErrReplayed.
func (s *Sealer) Open(nowUnixMilli int64, datagram []byte) (id Identity, plain []byte, err error) {
	if len(datagram) < Overhead {
		return id, nil, ErrShort
	}
	header, sealed := datagram[:headerSize], datagram[headerSize:]
	if header[0] != version {
		return id, nil, ErrVersion
	}
	id = Identity{
		Node:        binary.BigEndian.Uint64(header[1:]),
		Incarnation: pimid.Incarnation(binary.BigEndian.Uint64(header[9:])),
	}
	sequence := binary.BigEndian.Uint64(header[17:])
	aead, err := s.aeadOf(id)
	if err != nil {
		return id, nil, err
	}
	if plain, err = aead.Open(nil, nonce(sequence), sealed, header); err != nil {
		return id, nil, ErrForged
	}
	if age := nowUnixMilli - int64(binary.BigEndian.Uint64(header[25:])); age > windowMillis || age < -windowMillis {
		return id, nil, ErrTime
	}
	if !s.accept(nowUnixMilli, id, sequence, aead) {
		return id, nil, ErrReplayed
	}
	return id, plain, nil
}

func nonce(sequence uint64) []byte {
	n := make([]byte, chacha20poly1305.NonceSize)
	binary.BigEndian.PutUint64(n[chacha20poly1305.NonceSize-8:], sequence)
	return n
}
