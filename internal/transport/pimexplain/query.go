package pimexplain

import (
	"encoding/base64"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strconv"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// The errors of Parse.
var (
	// ErrUnknownParameter means that the query has a parameter that /explain does not define.
	ErrUnknownParameter = errors.New("unknown parameter")
	// ErrBadParameter means that a required parameter is missing or that a value cannot be parsed.
	ErrBadParameter = errors.New("bad parameter")
)

// Query describes the packet that /explain evaluates: `service` (number) and `source` (address and port of the caller)
// are required; `kind` is flow, post or get (default flow); `token` is a sealed token in unpadded URL base64; `tag` is
// a request tag (decimal number).
type Query struct {
	Service pimid.ServiceID
	Source  netip.AddrPort
	Kind    pimedge.Kind
	Token   []byte
	Tag     pimid.RequestTag
	HasTag  bool
}

// Packet returns the packet that the query describes.
func (q *Query) Packet() *pimedge.Packet {
	return &pimedge.Packet{
		Kind: q.Kind, Service: q.Service, Source: q.Source, Token: q.Token, Tag: q.Tag, HasTag: q.HasTag,
	}
}

var kinds = map[string]pimedge.Kind{
	"": pimedge.KindFlow, "flow": pimedge.KindFlow, "post": pimedge.KindPost, "get": pimedge.KindGet,
}

// Parse parses a query; the error is ErrUnknownParameter or ErrBadParameter.
func Parse(values url.Values) (q Query, err error) {
	parsers := map[string]func(string) error{
		"service": q.parseService, "source": q.parseSource, "kind": q.parseKind, "token": q.parseToken, "tag": q.parseTag,
	}
	for name := range values {
		if parsers[name] == nil {
			return q, fmt.Errorf("%w %q", ErrUnknownParameter, name)
		}
	}
	for name, parse := range parsers {
		if err = parse(values.Get(name)); err != nil {
			return q, fmt.Errorf("%w %q: %w", ErrBadParameter, name, err)
		}
	}
	return q, nil
}

func (q *Query) parseService(text string) error {
	id, err := strconv.ParseUint(text, 10, 16)
	q.Service = pimid.ServiceID(id)
	return err
}

func (q *Query) parseSource(text string) (err error) {
	q.Source, err = netip.ParseAddrPort(text)
	return err
}

func (q *Query) parseKind(text string) error {
	kind, ok := kinds[text]
	q.Kind = kind
	if !ok {
		return errors.New("not one of flow, post, get")
	}
	return nil
}

func (q *Query) parseToken(text string) (err error) {
	q.Token, err = base64.RawURLEncoding.DecodeString(text)
	return err
}

func (q *Query) parseTag(text string) error {
	if q.HasTag = text != ""; !q.HasTag {
		return nil
	}
	tag, err := strconv.ParseUint(text, 10, 64)
	q.Tag = pimid.RequestTag(tag)
	return err
}
