package pimtoml

import (
	"bytes"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// scanner records the full dotted keys of a document with their positions; elements of arrays have an index.
type scanner struct {
	p     *unstable.Parser
	lines map[string]int
	// arrayLengths counts the tables read so far of each array of tables.
	arrayLengths map[string]int
	// table is the full key of the current table.
	table string
	spans []span
	data  []byte
	// pending is the index of the span of the last key-value line, whose end is not known yet; -1 if there is none.
	pending int
}

func (s *scanner) expression(e *unstable.Node) {
	first := len(s.spans)
	defer func() { s.replacePending(first, e.Kind == unstable.KeyValue) }()
	switch e.Kind {
	case unstable.ArrayTable:
		key, node := s.key("", e.Key())
		n := s.arrayLengths[key]
		s.arrayLengths[key] = n + 1
		s.table = element(key, n)
		s.record(s.table, node)
	case unstable.Table:
		key, node := s.key("", e.Key())
		s.table = key
		s.record(key, node)
	case unstable.KeyValue:
		s.keyValue(s.table, e)
	default:
	}
}

func (s *scanner) keyValue(table string, e *unstable.Node) {
	key, node := s.key(table, e.Key())
	s.record(key, node)
	s.value(key, e.Value())
}

// replacePending ends the pending span before the line on which the span with the index first starts. That span becomes
// the pending one if isKeyValue is set.
func (s *scanner) replacePending(first int, isKeyValue bool) {
	if first >= len(s.spans) {
		return
	}
	s.endPending(1 + bytes.LastIndexByte(s.data[:s.spans[first].start], '\n'))
	s.pending = -1
	if isKeyValue {
		s.pending = first
	}
}

// endPending sets the end of the pending span.
func (s *scanner) endPending(offset int) {
	if s.pending >= 0 {
		s.spans[s.pending].end = offset
	}
}

// value records the keys and elements inside a value.
func (s *scanner) value(key string, v *unstable.Node) {
	it := v.Children()
	for n := 0; it.Next(); n++ {
		child := it.Node()
		if child.Kind == unstable.KeyValue {
			s.keyValue(key, child)
			continue
		}
		s.record(element(key, n), child)
		s.value(element(key, n), child)
	}
}

// key joins the parts of a dotted key to the key of its table; a part that names an array of tables stands for the last
// element. It also returns the node of the first part.
func (s *scanner) key(table string, it unstable.Iterator) (key string, first *unstable.Node) {
	key = table
	for it.Next() {
		if n := s.arrayLengths[key]; n > 0 {
			key = element(key, n-1)
		}
		if first == nil {
			first = it.Node()
		}
		if key != "" {
			key += "."
		}
		key += string(it.Node().Data)
	}
	return key, first
}

// record stores the span of a key and its line; for a repeated key, the first line stays. It ignores nodes without a
// position.
func (s *scanner) record(key string, n *unstable.Node) {
	line := 0
	if n != nil && n.Raw.Length > 0 {
		line = s.p.Shape(n.Raw).Start.Line
	}
	if line == 0 {
		return
	}
	if _, ok := s.lines[key]; !ok {
		s.lines[key] = line
	}
	s.spans = append(s.spans, span{key: key, line: line, start: int(n.Raw.Offset)})
}

func element(key string, n int) string {
	return key + "[" + strconv.Itoa(n) + "]"
}
