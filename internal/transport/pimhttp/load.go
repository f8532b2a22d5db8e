package pimhttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// ErrTrailingData means that a load answer goes on after its JSON object.
var ErrTrailingData = errors.New("trailing data")

// decodeLoad rejects unknown keys, since a changed format must not be read as an idle server.
func decodeLoad(body []byte) (l Load, err error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err = d.Decode(&l); err != nil {
		return Load{}, err
	}
	if _, err = d.Token(); !errors.Is(err, io.EOF) {
		return Load{}, ErrTrailingData
	}
	return l, nil
}
