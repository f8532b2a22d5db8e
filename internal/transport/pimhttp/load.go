package pimhttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// The errors of a load response that the JSON decoder itself accepts.
var (
	// ErrTrailingData means that a load response has more data after its JSON object.
	ErrTrailingData = errors.New("trailing data")
	// ErrNegative means that a count is below zero.
	ErrNegative = errors.New("negative count")
)

// decodeLoad decodes a load response. It rejects unknown keys, since a server with a changed format must not look idle.
func decodeLoad(body []byte) (l Load, err error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err = d.Decode(&l); err != nil {
		return Load{}, err
	}
	if _, err = d.Token(); !errors.Is(err, io.EOF) {
		return Load{}, ErrTrailingData
	}
	if l.InFlight < 0 || l.Connections < 0 {
		return Load{}, ErrNegative
	}
	return l, nil
}
