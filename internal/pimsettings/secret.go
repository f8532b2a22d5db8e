package pimsettings

import (
	"bytes"
	"encoding/hex"
	"errors"
	"os"

	"github.com/samber/oops"
)

// MinSecretBytes is the minimum length of the cluster secret: the length of the keys that are derived from it.
const MinSecretBytes = 32

// KeyBytes is the length of a token key in bytes.
const KeyBytes = 16

// ErrSecretTooShort means that the cluster secret has fewer than MinSecretBytes bytes.
var ErrSecretTooShort = errors.New("cluster secret is too short")

// Load returns the cluster secret in binary form. It reads the file if the settings name one, and returns
// ErrSecretTooShort for a secret of fewer than MinSecretBytes bytes.
func (c Cluster) Load() (secret []byte, err error) {
	defer func() { err = oops.In("pimsettings").Wrap(err) }()
	text := []byte(c.Secret)
	if c.SecretFile != "" {
		if text, err = os.ReadFile(c.SecretFile); err != nil {
			return nil, err
		}
	}
	text = bytes.TrimSpace(text)
	secret = make([]byte, hex.DecodedLen(len(text)))
	if _, err = hex.Decode(secret, text); err != nil {
		return nil, err
	}
	if len(secret) < MinSecretBytes {
		return nil, ErrSecretTooShort
	}
	return secret, nil
}

// Bytes returns the key in binary form.
func (k Key) Bytes() (key []byte, err error) {
	return hex.DecodeString(k.Secret)
}
