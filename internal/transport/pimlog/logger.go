package pimlog

import (
	"io"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// bufferLines is the capacity of the ring buffer in lines; if the output is slower than the logger, new lines overwrite
// the oldest.
const bufferLines = 1000

// New returns a logger that writes to w in a goroutine of its own, so that packets are not delayed while w blocks. The
// number of overwritten lines is logged as a warning. Cleanup writes the buffered lines and closes w if it is an
// io.Closer.
func New(w io.Writer, level zerolog.Level) (log zerolog.Logger, cleanup func()) {
	direct := zerolog.New(w).With().Timestamp().Logger()
	buffered := diode.NewWriter(w, bufferLines, 0, func(missed int) {
		direct.Warn().Int("lines", missed).Msg("log lines lost because the output was too slow")
	})
	return zerolog.New(buffered).Level(level).With().Timestamp().Logger(), func() {
		// Close waits until the buffered lines are written; its error is only that of closing w.
		_ = buffered.Close()
	}
}
