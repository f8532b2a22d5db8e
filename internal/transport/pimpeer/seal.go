package pimpeer

import (
	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimseal"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Sealer seals and opens gossip messages; it is safe for concurrent use.
type Sealer struct {
	seal *pimseal.Sealer
}

// NewSealer returns a sealer for this VM.
func NewSealer(creds *Credentials) (s *Sealer, err error) {
	seal, err := pimseal.New(creds.secret, pimseal.Identity{
		Node: uint64(creds.id.Node), Incarnation: creds.id.Incarnation,
	})
	return &Sealer{seal: seal}, err
}

// Seal returns the datagram for a message; the error is pimseal.ErrTooLarge.
func (s *Sealer) Seal(nowUnixMilli int64, g *pimpb.Gossip) (datagram []byte, err error) {
	defer func() { err = oops.In("pimpeer").Wrapf(err, "seal datagram") }()
	plain, err := proto.Marshal(g)
	if err != nil {
		return nil, err
	}
	return s.seal.Seal(nowUnixMilli, plain)
}

// Open returns the message of an authentic datagram that was not received before, with the verified sender and its
// incarnation. The error is one of pimseal or ErrContent.
func (s *Sealer) Open(nowUnixMilli int64, datagram []byte) (g *pimpb.Gossip, err error) {
	defer func() { err = oops.In("pimpeer").Wrapf(err, "open datagram") }()
	id, plain, err := s.seal.Open(nowUnixMilli, datagram)
	if err != nil {
		return nil, err
	}
	g = &pimpb.Gossip{}
	if proto.Unmarshal(plain, g) != nil || id.Node > uint64(^pimid.NodeID(0)) {
		return nil, ErrContent
	}
	g.Sender, g.SenderIncarnation = uint32(id.Node), uint64(id.Incarnation)
	return g, nil
}
