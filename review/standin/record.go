//go:build review

package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record writes what happened, with the seconds since its start, to a file and to standard output; it is safe for concurrent
// use.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(io.MultiWriter(r.file, os.Stdout), line) // the exit code tells the result too
}

func (r *record) close() { _ = r.file.Close() }
