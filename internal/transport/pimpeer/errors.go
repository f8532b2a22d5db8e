package pimpeer

import (
	"errors"
	"fmt"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// The errors of this package.
var (
	// ErrSecret means that the cluster secret is shorter than MinSecret bytes.
	ErrSecret = errors.New("cluster secret is too short")
	// ErrNoIdentity means that a certificate names no VM.
	ErrNoIdentity = errors.New("certificate names no vm")
	// ErrShort means that a datagram is shorter than its header and tag.
	ErrShort = errors.New("datagram is truncated")
	// ErrVersion means that a datagram has an unknown format.
	ErrVersion = errors.New("datagram has an unknown version")
	// ErrForged means that a datagram was not sealed with the cluster secret.
	ErrForged = errors.New("datagram is not authentic")
	// ErrReplayed means that a datagram was received before or belongs to an older incarnation.
	ErrReplayed = errors.New("datagram was replayed")
	// ErrTime means that a datagram was sent outside the time window.
	ErrTime = errors.New("datagram is outside the time window")
	// ErrContent means that an authentic datagram holds no valid message of its sender.
	ErrContent = errors.New("datagram holds no valid message")
	// ErrTooLarge means that a message does not fit one datagram.
	ErrTooLarge = errors.New("message does not fit a datagram")
	// ErrClosed means that the pool was closed.
	ErrClosed = errors.New("pool is closed")
)

// WrongPeerError means that another VM than the expected one answered at an address.
type WrongPeerError struct {
	Want pimid.NodeID
	Got  Identity
}

// Error names both VMs.
func (e *WrongPeerError) Error() string {
	return fmt.Sprintf("expected vm %s, got vm %s in incarnation %s", e.Want, e.Got.Node, e.Got.Incarnation)
}
