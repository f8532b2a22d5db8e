package pimtoml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a file that an operator wrote.
type Fault struct {
	File string `json:"file"`
	// Line counts from 1; zero means that the fault concerns the whole file.
	Line int `json:"line"`
	// Key is the dotted key, with the index of array elements in brackets.
	Key    string `json:"key"`
	Reason string `json:"reason"`
}

// Error formats the fault as file:line: key: reason.
func (f Fault) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Reason)
}

// Faults are all errors found in one or several files.
type Faults []Fault

// Error formats one fault per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Sort orders the faults by file, line and key.
func (f Faults) Sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}
