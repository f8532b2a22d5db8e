package pimpick

import "errors"

// ErrNoHost means that no backend server may receive a new flow.
var ErrNoHost = errors.New("no backend server available")

// ErrNoOwner means that no slot owner is left to ask.
var ErrNoOwner = errors.New("no slot owner available")
