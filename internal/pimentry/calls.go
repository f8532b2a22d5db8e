package pimentry

import (
	"context"
	"errors"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/transport/pimfetch"
)

// largeResponseBytes is the size from which the response to a call is logged.
const largeResponseBytes = 64 << 10

// ObserveCalls returns a callback that counts the calls to the platform in a set of metrics, and logs each one that failed
// or whose response was large.
func ObserveCalls(set *metrics.Set, log zerolog.Logger) func(pimfetch.Call) {
	calls := set.NewCounter("pimentoyard_platform_calls_total")
	failed := set.NewCounter("pimentoyard_platform_calls_failed_total")
	received := set.NewCounter("pimentoyard_platform_received_bytes_total")
	transfer := set.NewHistogram("pimentoyard_platform_transfer_seconds")
	return func(c pimfetch.Call) {
		// A call that this VM has ended has not failed.
		isEnded := errors.Is(c.Err, context.Canceled)
		calls.Inc()
		received.Add(int(c.Bytes))
		if c.Header > 0 {
			transfer.Update((c.Total - c.Header).Seconds())
		}
		if c.Err != nil && !isEnded {
			failed.Inc()
		}
		if (c.Err == nil || isEnded) && c.Bytes < largeResponseBytes {
			return
		}
		log.Info().Err(c.Err).Str("path", c.Path).Int64("bytes", c.Bytes).Int64("header_ms", c.Header.Milliseconds()).
			Int64("total_ms", c.Total.Milliseconds()).Bool("reused_connection", c.Reused).Int64("idle_ms", c.Idle.Milliseconds()).
			Msg("platform call")
	}
}
