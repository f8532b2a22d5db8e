package pimslot

import "errors"

// ErrUnknownGrant means that the grant does not exist, has been released or has expired.
var ErrUnknownGrant = errors.New("unknown grant")

// ErrClosed means that the owner has been closed.
var ErrClosed = errors.New("slot owner closed")
