package pimcontract

import (
	"fmt"

	"github.com/pimentoyard/pimentoyard/internal/pimtoml"
)

// origin is the file and key from which one element of the publication was read.
type origin struct {
	doc *pimtoml.Document
	key string
}

// below returns the origin of a table inside the element.
func (o origin) below(key string) origin {
	return origin{doc: o.doc, key: o.key + "." + key}
}

// element returns the origin of the item i of an array inside the element.
func (o origin) element(key string, i int) origin {
	return origin{doc: o.doc, key: fmt.Sprintf("%s.%s[%d]", o.key, key, i)}
}

// validator checks a publication and keeps the origin of each element.
type validator struct {
	pub    *Publication
	faults Faults

	services, backends, nodes, contracts []origin
}

// add appends the elements of one file to the publication and records their origins.
func (v *validator) add(doc *pimtoml.Document, part *Publication) {
	v.services = appendOrigins(v.services, doc, "service", len(part.Services))
	v.backends = appendOrigins(v.backends, doc, "backend", len(part.Backends))
	v.nodes = appendOrigins(v.nodes, doc, "node", len(part.Nodes))
	v.contracts = appendOrigins(v.contracts, doc, "contract", len(part.Contracts))
	v.pub.Services = append(v.pub.Services, part.Services...)
	v.pub.Backends = append(v.pub.Backends, part.Backends...)
	v.pub.Nodes = append(v.pub.Nodes, part.Nodes...)
	v.pub.Contracts = append(v.pub.Contracts, part.Contracts...)
}

func appendOrigins(to []origin, doc *pimtoml.Document, table string, n int) []origin {
	for i := range n {
		to = append(to, origin{doc: doc, key: fmt.Sprintf("%s[%d]", table, i)})
	}
	return to
}

// fault reports a fault at a key inside the element, or at the element itself if key is empty. It reports nothing if
// the value there could not be decoded, which is a fault already.
func (v *validator) fault(o origin, key, format string, args ...any) {
	at := o.key
	if key != "" {
		at += "." + key
	}
	if f, ok := o.doc.Fault(at, fmt.Sprintf(format, args...)); ok {
		v.faults = append(v.faults, f)
	}
}

// check reports a fault unless ok is true.
func (v *validator) check(ok bool, o origin, key, format string, args ...any) {
	if !ok {
		v.fault(o, key, format, args...)
	}
}

func (v *validator) validate() {
	v.checkServices()
	v.checkBackends()
	v.checkNodes()
	v.checkContracts()
	v.checkSources()
	v.checkGuarantees()
}

// unique reports values that an earlier element has too; zero values are ignored, since other checks report them.
type unique[K comparable] struct {
	v    *validator
	seen map[K]origin
}

func newUnique[K comparable](v *validator) unique[K] {
	return unique[K]{v: v, seen: map[K]origin{}}
}

func (u unique[K]) check(value K, o origin, key string) {
	var missing K
	if value == missing {
		return
	}
	if first, ok := u.seen[value]; ok {
		u.v.fault(o, key, "%v is used by %s already (%s:%d)",
			value, first.key, first.doc.File(), first.doc.Line(first.key+"."+key))
		return
	}
	u.seen[value] = o
}
