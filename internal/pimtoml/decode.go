package pimtoml

import (
	"bytes"
	"errors"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxFaults bounds how often a file is decoded again: each pass finds one wrong value.
const maxFaults = 100

// Decode decodes data into v, rejects unknown keys, and returns the lines of the keys and all faults found. Values that
// v holds before the call are the defaults.
func Decode[T any](file string, data []byte, v *T) (doc *Document, faults Faults) {
	defaults := *v
	doc = NewDocument(file)
	spans, lines, ok := index(data)
	doc.lines = lines
	if !ok {
		spans = nil
	}
	data = bytes.Clone(data)
	for len(faults) < maxFaults {
		*v = defaults
		dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
		err := dec.Decode(v)
		found, again := doc.explain(err, spans, data)
		faults = append(faults, found...)
		if !again {
			return doc, faults
		}
	}
	doc.broken = true
	return doc, faults
}

// explain converts a decoding error to faults; again reports whether the faulty value was blanked out in data, so that
// another pass finds the next fault.
func (d *Document) explain(err error, spans []span, data []byte) (faults Faults, again bool) {
	var missing *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case err == nil:
		return nil, false
	case errors.As(err, &missing):
		for _, e := range missing.Errors {
			row, _ := e.Position()
			faults = append(faults, Fault{File: d.file, Line: row, Key: keyAt(spans, row, e.Key()), Reason: "unknown key"})
		}
		return faults, false
	case errors.As(err, &wrong):
		faults, again = d.explainValue(wrong, spans, data)
		d.broken = !again
		return faults, again
	default:
		d.broken = true
		return Faults{{File: d.file, Line: 1, Reason: err.Error()}}, false
	}
}

// explainValue converts the error of one value to a fault, marks its key as faulty and blanks out the key and the value.
func (d *Document) explainValue(err *toml.DecodeError, spans []span, data []byte) (faults Faults, again bool) {
	row, col := err.Position()
	f := Fault{File: d.file, Line: row, Reason: reason(err)}
	value, innermost := spansAt(spans, offset(data, row, col))
	if value == nil {
		return Faults{f}, false
	}
	f.Key = innermost.key
	d.faulty[value.key] = true
	return Faults{f}, blank(data, value)
}

// rewrites replace messages of the TOML library that name Go types, which operators don't know.
var rewrites = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`^cannot decode TOML (\S+) into .*$`), "a value of type $1 is not allowed here"},
	{regexp.MustCompile(`^integer value (\S+) cannot be stored in .*$`), "$1 is out of range"},
}

func reason(err *toml.DecodeError) string {
	text := strings.TrimPrefix(err.Error(), "toml: ")
	for _, r := range rewrites {
		text = r.pattern.ReplaceAllString(text, r.text)
	}
	return text
}

// offset converts a row and column that count from 1 to a byte offset.
func offset(data []byte, row, col int) int {
	n := 0
	for ; row > 1; row-- {
		n += 1 + bytes.IndexByte(data[n:], '\n')
	}
	return n + col - 1
}

// spansAt returns the span of the key-value line that contains the offset, and of the innermost key or element there.
func spansAt(spans []span, offset int) (value, innermost *span) {
	for i := range spans {
		s := &spans[i]
		if s.start > offset {
			break
		}
		if s.end > s.start {
			value = s
		}
		innermost = s
	}
	if value == nil || offset >= value.end {
		return nil, nil
	}
	return value, innermost
}

// keyAt returns the full dotted key on a line that ends with the last part of the given key, or the given key if there is
// none.
func keyAt(spans []span, line int, key toml.Key) string {
	name := key[len(key)-1]
	for _, s := range spans {
		if s.line == line && (s.key == name || strings.HasSuffix(s.key, "."+name)) {
			return s.key
		}
	}
	return strings.Join(key, ".")
}

// blank overwrites a key and its value with spaces, so that the positions of all other keys stay the same. It returns
// false if the key is already blank or does not end within data.
func blank(data []byte, s *span) bool {
	if s.end > len(data) || len(bytes.TrimSpace(data[s.start:s.end])) == 0 {
		return false
	}
	for i := s.start; i < s.end; i++ {
		if data[i] != '\n' {
			data[i] = ' '
		}
	}
	return true
}
