package pimpeer

import (
	"errors"
	"fmt"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// The errors of this package.
var (
	// ErrNoIdentity means that the peer has no verified certificate that names a VM and its incarnation.
	ErrNoIdentity = errors.New("certificate names no VM")
	// ErrContent means that an authentic datagram holds no valid message, or a sender ID that is out of range.
	ErrContent = errors.New("datagram holds no valid message")
	// ErrClosed means that the pool was closed.
	ErrClosed = errors.New("pool is closed")
)

// WrongPeerError means that a VM other than the expected one answered at an address.
type WrongPeerError struct {
	Want pimid.NodeID
	Got  Identity
}

// Error names both VMs.
func (e *WrongPeerError) Error() string {
	return fmt.Sprintf("expected vm %s, got vm %s in incarnation %s", e.Want, e.Got.Node, e.Got.Incarnation)
}
