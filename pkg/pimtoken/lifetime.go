package pimtoken

import "time"

// The lifetimes of tokens and keys.
const (
	// FlowLifetime is the time for which a token routes a flow.
	FlowLifetime = 24 * time.Hour
	// FlowReissueAge is the age from which a flow receives a new token; the second half of the lifetime covers idle
	// callers and lost replies.
	FlowReissueAge = FlowLifetime / 2
	// PermitLifetime is the time for which a token permits POST requests (this is no rate-limit permit); it exceeds the
	// CoAP EXCHANGE_LIFETIME of 247 s, so a retransmission finds its record as long as it is permitted.
	PermitLifetime = 300 * time.Second
	// PermitReissueAge is the age from which answers carry a new token for later requests.
	PermitReissueAge = PermitLifetime / 2
	// KeyDelay is the time between the publication of a key and its first use for sealing; every VM knows a
	// published key by then.
	KeyDelay = 15 * time.Second
	// KeyGrace is the time for which a retired key remains accepted.
	KeyGrace = 24 * time.Hour
)

// Age returns the time since the issue of the token at unixNow in unix seconds; it is zero for a token with an
// issue time in the future, which a VM with a fast clock writes.
func (t *Token) Age(unixNow int64) time.Duration {
	return time.Duration(max(0, unixNow-int64(t.IssuedAt))) * time.Second
}

// CheckFlow returns ErrFlowExpired if the token no longer routes a flow at unixNow in unix seconds.
func (t *Token) CheckFlow(unixNow int64) error {
	if t.Age(unixNow) >= FlowLifetime {
		return ErrFlowExpired
	}
	return nil
}

// CheckPermit returns ErrPermitExpired if the token no longer permits POST requests at unixNow in unix seconds.
func (t *Token) CheckPermit(unixNow int64) error {
	if t.Age(unixNow) >= PermitLifetime {
		return ErrPermitExpired
	}
	return nil
}

// FlowReissueDue reports whether the flow must receive a new token at unixNow in unix seconds.
func (t *Token) FlowReissueDue(unixNow int64) bool { return t.Age(unixNow) >= FlowReissueAge }

// PermitReissueDue reports whether answers must carry a new token at unixNow in unix seconds.
func (t *Token) PermitReissueDue(unixNow int64) bool { return t.Age(unixNow) >= PermitReissueAge }
