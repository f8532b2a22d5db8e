package pimtoken

import "errors"

// The errors for a token. Seal, Open and the lifetime checks return them unwrapped, so that a flood of bad tokens does
// not cost an allocation for each.
var (
	// ErrSize means that the value does not have the length of a token.
	ErrSize = errors.New("token is not 40 bytes long")
	// ErrUnknownKey means that no published key has the key id of the token.
	ErrUnknownKey = errors.New("token key is unknown")
	// ErrRetiredKey means that the key of the token was retired at least KeyGrace ago.
	ErrRetiredKey = errors.New("token key is retired")
	// ErrBadMAC means that the token was not sealed with the key that it names.
	ErrBadMAC = errors.New("token mac does not match")
	// ErrFlowExpired means that the token is at least FlowLifetime old.
	ErrFlowExpired = errors.New("flow token has expired")
	// ErrPermitExpired means that the token is at least PermitLifetime old, so it permits no more POST requests.
	ErrPermitExpired = errors.New("request permit has expired")
	// ErrNoSealingKey means that no key may seal: each was published less than KeyDelay ago, or was retired at least
	// KeyDelay ago.
	ErrNoSealingKey = errors.New("no key may seal tokens now")
)

// The errors for a set of keys.
var (
	// ErrDuplicateKey means that two keys have the same id.
	ErrDuplicateKey = errors.New("two keys have the same id")
	// ErrKeySize means that a secret does not have KeySize bytes.
	ErrKeySize = errors.New("key secret is not 16 bytes long")
)
