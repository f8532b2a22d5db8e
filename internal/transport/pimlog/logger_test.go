package pimlog

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// Guards against a VM that stops forwarding because the log output blocks, and against buffered lines that cleanup
// loses.
func TestLoggerDoesNotBlock(t *testing.T) {
	is := is.New(t)
	w := &blockedWriter{release: make(chan struct{})}
	log, cleanup := New(w, zerolog.InfoLevel)
	for i := range 3 * bufferLines { // would block for ever if the logger waited for the writer
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
