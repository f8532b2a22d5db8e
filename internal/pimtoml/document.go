package pimtoml

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Document holds the line numbers of the keys of one file.
type Document struct {
	file  string
	lines map[string]int
	// faulty are the keys whose values could not be decoded.
	faulty map[string]bool
	// broken is set if the file could not be decoded to its end.
	broken bool
}

// NewDocument returns a document without keys, for values that were built in memory; file is the file name in its faults.
func NewDocument(file string) *Document {
	return &Document{file: file, lines: map[string]int{}, faulty: map[string]bool{}}
}

// File returns the name of the file.
func (d *Document) File() string { return d.file }

// Broken reports whether the file could not be decoded to its end, so that keys may be missing.
func (d *Document) Broken() bool { return d.broken }

// Has reports whether the file sets the key.
func (d *Document) Has(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// Line returns the line of the key, or of the nearest enclosing key if the file does not contain it, or 1 if the file
// contains neither.
func (d *Document) Line(key string) int {
	for key != "" {
		if n, ok := d.lines[key]; ok {
			return n
		}
		key = parent(key)
	}
	return 1
}

// Fault returns a fault at the key; ok is false if the value of the key or of an enclosing key could not be decoded,
// since that fault is already reported.
func (d *Document) Fault(key, reason string) (f Fault, ok bool) {
	for k := key; k != ""; k = parent(k) {
		if d.faulty[k] {
			return Fault{}, false
		}
	}
	return Fault{File: d.file, Line: d.Line(key), Key: key, Reason: reason}, true
}

// parent drops the last part of a key: an index in brackets or a name after a dot.
func parent(key string) string {
	return key[:max(strings.LastIndexAny(key, ".["), 0)]
}

// span is the position of one key or array element in the file.
type span struct {
	key   string
	line  int
	start int
	// end is the offset after the value; it is set only for the keys of key-value lines, not for keys and elements
	// inside a value.
	end int
}

// index lists the keys of a document in file order; ok is false if the document has a syntax error.
func index(data []byte) (spans []span, lines map[string]int, ok bool) {
	lines = map[string]int{}
	p := unstable.Parser{}
	p.Reset(data)
	s := scanner{p: &p, data: data, lines: lines, arrayLengths: map[string]int{}, pending: -1}
	for p.NextExpression() {
		s.expression(p.Expression())
	}
	s.endPending(len(data))
	return s.spans, lines, p.Error() == nil
}
