package pimtoken

import "errors"

// The faults of a token; Open and the lifetime checks return them unwrapped, because a flood of bad tokens must not
// cost an allocation each.
var (
	// ErrSize means that the value does not have the length of a token.
	ErrSize = errors.New("token has a wrong size")
	// ErrUnknownKey means that no published key has the key id of the token.
	ErrUnknownKey = errors.New("token key is unknown")
	// ErrRetiredKey means that the key of the token was retired more than KeyGrace ago.
	ErrRetiredKey = errors.New("token key is retired")
	// ErrBadMAC means that the token was not sealed with the key that it names.
	ErrBadMAC = errors.New("token mac does not match")
	// ErrFlowExpired means that the token is older than FlowLifetime.
	ErrFlowExpired = errors.New("flow token has expired")
	// ErrPermitExpired means that the token is older than PermitLifetime.
	ErrPermitExpired = errors.New("request permit has expired")
	// ErrNoSealingKey means that no key has been public for KeyDelay.
	ErrNoSealingKey = errors.New("no key may seal yet")
)

// The faults of a set of keys.
var (
	// ErrDuplicateKey means that two keys have the same id.
	ErrDuplicateKey = errors.New("two keys have the same id")
	// ErrKeySize means that a secret does not have KeySize bytes.
	ErrKeySize = errors.New("key secret has a wrong size")
)
