package pimlog

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// blockedWriter is a reader that takes nothing until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Guards against a VM that stops forwarding because nobody reads its log, and against lines lost at the end.
func TestLoggerDoesNotBlock(t *testing.T) {
	is := is.New(t)
	w := &blockedWriter{release: make(chan struct{})}
	log, cleanup := New(w, zerolog.InfoLevel)
	for i := range 3 * bufferLines { // would never return if a line waited
		log.Info().Int("line", i).Msg("forwarded")
	}
	close(w.release)
	cleanup()
	lines := bytes.Split(bytes.TrimSpace(w.buf.Bytes()), []byte("\n"))
	is.True(len(lines) > 1)
	for _, line := range lines {
		is.True(json.Valid(line))
	}
}
