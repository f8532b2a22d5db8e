package pimcontract

import (
	"fmt"

	"github.com/pimentoyard/pimentoyard/internal/pimtoml"
)

// origin is the place from which one element of the publication was read.
type origin struct {
	doc *pimtoml.Document
	key string
}

// validator checks a publication and keeps the origin of each element.
type validator struct {
	pub    *Publication
	faults Faults

	services, backends, nodes, contracts []origin
}

// add appends one file's elements to the publication.
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

// fault reports a fault at a key below the element, unless the value there could not be decoded anyway.
func (v *validator) fault(o origin, key, format string, args ...any) {
	if f, ok := o.doc.Fault(o.key+"."+key, fmt.Sprintf(format, args...)); ok {
		v.faults = append(v.faults, f)
	}
}

func (v *validator) validate() {}
