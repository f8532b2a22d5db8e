package pimconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// The prefixes of keys; the rest of a key is the id in decimal.
const (
	PrefixService  = "services/"
	PrefixBackend  = "backends/"
	PrefixContract = "contracts/"
	PrefixNode     = "nodes/"
	PrefixKey      = "keys/"
)

// MaxValue is the largest value in bytes; the platform stores no larger ones.
const MaxValue = 1 << 20

// secretSize is the length of a token key in bytes.
const secretSize = 16

var errTrailing = errors.New("data after the value")

// applyEvent decodes one event into the view; on error the view keeps the previous value. Deleting an id without a
// value in the view is no error.
func (d *decoder) applyEvent(c *copyOnWrite, e Event) error {
	prefix, text, _ := strings.Cut(e.Key, "/")
	switch prefix + "/" {
	case PrefixService:
		return update(&c.view.Services, &c.services, e, text, 16,
			func(v pimview.Service) (pimid.ServiceID, error) { return v.ID, nil })
	case PrefixBackend:
		return update(&c.view.Backends, &c.backends, e, text, 32,
			func(v pimview.Backend) (pimid.BackendID, error) { return v.ID, nil })
	case PrefixContract:
		return update(&c.view.Contracts, &c.contracts, e, text, 16,
			func(v pimcontract.Contract) (pimid.ContractID, error) { return v.ID, d.checkContract(v) })
	case PrefixNode:
		return update(&c.view.Nodes, &c.nodes, e, text, 16,
			func(v pimview.Node) (pimid.NodeID, error) { return v.ID, nil })
	case PrefixKey:
		return updateKey(c.view, e, text)
	}
	return ErrUnknownKey
}

// update decodes a value, checks it and stores it under its id; it removes the value of a deleted key.
func update[K ~uint16 | ~uint32, V any](m *map[K]V, done *bool, e Event, text string, bits int,
	check func(V) (K, error),
) error {
	id, err := parseID[K](text, bits)
	if err != nil {
		return err
	}
	if e.Deleted {
		if _, ok := (*m)[id]; ok {
			delete(cloneOnce(m, done), id)
		}
		return nil
	}
	var v V
	if len(e.Value) > MaxValue {
		return ErrValueTooLarge
	}
	if err = decodeStrict(e.Value, &v); err != nil {
		return err
	}
	got, err := check(v)
	if err != nil {
		return err
	}
	if got != id {
		return ErrIDMismatch
	}
	cloneOnce(m, done)[id] = v
	return nil
}

// updateKey replaces the list of token keys, which is short and sorted by id, by a changed copy.
func updateKey(v *pimview.View, e Event, text string) error {
	id, err := parseID[uint8](text, 8)
	if err != nil {
		return err
	}
	rest := slices.DeleteFunc(slices.Clone(v.Keys), func(k pimview.Key) bool { return k.ID == id })
	if e.Deleted {
		v.Keys = rest
		return nil
	}
	var k pimview.Key
	if err = decodeStrict(e.Value, &k); err != nil {
		return err
	}
	if k.ID != id {
		return ErrIDMismatch
	}
	if len(k.Secret) != secretSize {
		return ErrBadSecret
	}
	rest = append(rest, k)
	slices.SortFunc(rest, func(a, b pimview.Key) int { return int(a.ID) - int(b.ID) })
	v.Keys = rest
	return nil
}

// parseID accepts only the canonical decimal form, so that one id has one key.
func parseID[K ~uint8 | ~uint16 | ~uint32](text string, bits int) (K, error) {
	n, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		return 0, err
	}
	if strconv.FormatUint(n, 10) != text {
		return 0, ErrUnknownKey
	}
	return K(n), nil
}

// decodeStrict decodes one JSON value and refuses unknown fields and trailing data.
func decodeStrict(p []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(p))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errTrailing
	}
	return nil
}
