package pimpeer

import (
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"sync/atomic"

	"github.com/samber/oops"
	"golang.org/x/crypto/chacha20poly1305"
	"google.golang.org/protobuf/proto"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	sealVersion = 1
	// headerSize is version 1, node 2, incarnation 8, sequence 8.
	headerSize = 19
	// Overhead is the number of bytes that sealing adds to a message.
	Overhead = headerSize + chacha20poly1305.Overhead
	// MaxDatagram bounds a sealed datagram in bytes.
	MaxDatagram = 1400
)

// Sealer seals and opens gossip datagrams; it is safe for concurrent use. Each run of a VM has its own key, derived
// from the gossip key, node id and incarnation, and the nonce is the sequence number, so that no pair repeats.
type Sealer struct {
	creds    *Credentials
	own      cipher.AEAD
	sequence atomic.Uint64

	mu      sync.Mutex
	senders map[pimid.NodeID]*sender
}

// NewSealer returns a sealer for the own VM.
func NewSealer(creds *Credentials) (s *Sealer, err error) {
	defer func() { err = oops.In("pimpeer").Wrapf(err, "create sealer") }()
	own, err := creds.aead(creds.id)
	if err != nil {
		return nil, err
	}
	return &Sealer{creds: creds, own: own, senders: map[pimid.NodeID]*sender{}}, nil
}

func (c *Credentials) aead(id Identity) (cipher.AEAD, error) {
	var info [10]byte
	binary.BigEndian.PutUint16(info[:], uint16(id.Node))
	binary.BigEndian.PutUint64(info[2:], uint64(id.Incarnation))
	key, err := hkdf.Expand(sha256.New, c.gossipKey, string(info[:]), chacha20poly1305.KeySize)
	if err != nil {
		return nil, err
	}
	return chacha20poly1305.New(key)
}

// Seal returns the datagram for a message; it fills in sender, incarnation and send time.
func (s *Sealer) Seal(nowUnixMilli int64, g *pimpb.Gossip) (datagram []byte, err error) {
	defer func() { err = oops.In("pimpeer").Wrapf(err, "seal datagram") }()
	g.Sender, g.SenderIncarnation = uint32(s.creds.id.Node), uint64(s.creds.id.Incarnation)
	g.SentUnixMs = nowUnixMilli
	plain, err := proto.Marshal(g)
	if err != nil {
		return nil, err
	}
	if len(plain)+Overhead > MaxDatagram {
		return nil, ErrTooLarge
	}
	sequence := s.sequence.Add(1)
	header := make([]byte, 0, len(plain)+Overhead)
	header = append(header, sealVersion)
	header = binary.BigEndian.AppendUint16(header, uint16(s.creds.id.Node))
	header = binary.BigEndian.AppendUint64(header, uint64(s.creds.id.Incarnation))
	header = binary.BigEndian.AppendUint64(header, sequence)
	return s.own.Seal(header, nonce(sequence), plain, header), nil
}

// Open returns the message of an authentic datagram that was not received before.
func (s *Sealer) Open(nowUnixMilli int64, datagram []byte) (g *pimpb.Gossip, err error) {
	defer func() { err = oops.In("pimpeer").Wrapf(err, "open datagram") }()
	if len(datagram) < Overhead {
		return nil, ErrShort
	}
	header, sealed := datagram[:headerSize], datagram[headerSize:]
	if header[0] != sealVersion {
		return nil, ErrVersion
	}
	id := Identity{
		Node:        pimid.NodeID(binary.BigEndian.Uint16(header[1:])),
		Incarnation: pimid.Incarnation(binary.BigEndian.Uint64(header[3:])),
	}
	sequence := binary.BigEndian.Uint64(header[11:])
	aead, err := s.aeadOf(id)
	if err != nil {
		return nil, err
	}
	plain, err := aead.Open(nil, nonce(sequence), sealed, header)
	if err != nil {
		return nil, ErrForged
	}
	return s.check(nowUnixMilli, id, sequence, aead, plain)
}

func (s *Sealer) check(nowUnixMilli int64, id Identity, sequence uint64, aead cipher.AEAD, plain []byte) (
	*pimpb.Gossip, error,
) {
	g := &pimpb.Gossip{}
	if err := proto.Unmarshal(plain, g); err != nil {
		return nil, ErrContent
	}
	if g.GetSender() != uint32(id.Node) || g.GetSenderIncarnation() != uint64(id.Incarnation) {
		return nil, ErrContent
	}
	if age := nowUnixMilli - g.GetSentUnixMs(); age > windowMillis || age < -windowMillis {
		return nil, ErrTime
	}
	if !s.accept(id, sequence, aead) {
		return nil, ErrReplayed
	}
	return g, nil
}

func nonce(sequence uint64) []byte {
	n := make([]byte, chacha20poly1305.NonceSize)
	binary.BigEndian.PutUint64(n[chacha20poly1305.NonceSize-8:], sequence)
	return n
}
