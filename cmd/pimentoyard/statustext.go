package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

const (
	indentation = "  "
	columnGap   = 2
)

// writeStatus prints a status document without knowing its fields: values as "key: value", lists of objects as tables.
// The command therefore also shows fields of a VM whose version is newer than the command.
func writeStatus(w io.Writer, status map[string]any) error {
	s := statusWriter{w: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
	s.object("", status)
	return s.w.Flush()
}

// statusWriter writes to a tabwriter. It ignores the errors of single writes, since the tabwriter keeps text that it
// could not write, and Flush tries again and reports the error.
type statusWriter struct{ w *tabwriter.Writer }

func (s *statusWriter) line(indent, format string, args ...any) {
	_, _ = fmt.Fprintf(s.w, indent+format+"\n", args...)
}

// object prints scalar values first, then objects and lists.
func (s *statusWriter) object(indent string, object map[string]any) {
	var nested []string
	for _, key := range slices.Sorted(maps.Keys(object)) {
		if isScalar(object[key]) {
			s.line(indent, "%s: %v", key, scalarOrDash(object[key]))
		} else {
			nested = append(nested, key)
		}
	}
	for _, key := range nested {
		s.nested(indent, key, object[key])
	}
}

func (s *statusWriter) nested(indent, key string, value any) {
	switch v := value.(type) {
	case map[string]any:
		s.line(indent, "%s:", key)
		s.object(indent+indentation, v)
	case []any:
		s.list(indent, key, v)
	}
}

func (s *statusWriter) list(indent, key string, list []any) {
	s.line(indent, "%s:", key)
	columns := tableColumns(list)
	if columns == nil {
		for i, v := range list {
			if isScalar(v) {
				s.line(indent+indentation, "%v", scalarOrDash(v))
			} else {
				s.nested(indent+indentation, fmt.Sprintf("[%d]", i), v)
			}
		}
		return
	}
	s.line(indent+indentation, "%s", strings.Join(columns, "\t"))
	for _, v := range list {
		row := v.(map[string]any)
		cells := make([]string, len(columns))
		for i, column := range columns {
			cells[i] = fmt.Sprint(scalarOrDash(row[column]))
		}
		s.line(indent+indentation, "%s", strings.Join(cells, "\t"))
	}
}

// tableColumns returns the keys of a list of objects with scalar values, or nil if the list holds anything else.
func tableColumns(list []any) (columns []string) {
	seen := map[string]bool{}
	for _, v := range list {
		row, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		for key, value := range row {
			if !isScalar(value) {
				return nil
			}
			seen[key] = true
		}
	}
	columns = slices.Sorted(maps.Keys(seen))
	// The id identifies a row, so it comes first. The reason is long, so it comes last.
	slices.SortStableFunc(columns, func(a, b string) int { return rank(a) - rank(b) })
	return columns
}

func rank(column string) int {
	switch column {
	case "id", "contract", "backend":
		return 0
	case "why", "reason":
		return 2
	default:
		return 1
	}
}

func isScalar(v any) bool {
	switch v.(type) {
	case map[string]any, []any:
		return false
	default:
		return true
	}
}

func scalarOrDash(v any) any {
	if v == nil || v == "" {
		return "-"
	}
	return v
}
