package pimlog

import (
	"io"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// bufferLines is the number of lines that wait for a slow reader; further ones replace the oldest.
const bufferLines = 1000

// New returns a logger whose lines are written by a goroutine of its own, so that a reader that stops reading holds up
// no packet. Lines that were replaced are counted by a line of their own. Cleanup writes the lines that wait.
func New(w io.Writer, level zerolog.Level) (log zerolog.Logger, cleanup func()) {
	direct := zerolog.New(w).With().Timestamp().Logger()
	buffered := diode.NewWriter(w, bufferLines, 0, func(missed int) {
		direct.Warn().Int("lines", missed).Msg("log lines were replaced since nobody read them")
	})
	return zerolog.New(buffered).Level(level).With().Timestamp().Logger(), func() {
		// The writer below is not closed, and closing the buffer only waits.
		_ = buffered.Close()
	}
}
