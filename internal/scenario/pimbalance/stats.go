package pimbalance

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// stats holds the results of one run. The waits and the ratios exclude the warm-up.
type stats struct {
	wait            *hdrhistogram.Histogram
	refused, failed int
	ratios          []float64
	worst           float64
}

func newStats() stats {
	return stats{wait: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

// opened records the time from the creation of a flow until it is open.
func (s *stats) opened(now, created pimclock.Instant) {
	if created >= pimclock.Instant(warmUp) {
		_ = s.wait.RecordValue(int64(now.Sub(created) / time.Microsecond))
	}
}

// sample records the largest number of flows on a backend server divided by the mean, without the backend servers that
// are settling.
func (s *sim) sample() {
	now := time.Duration(s.Now())
	if now < warmUp {
		return
	}
	sum, n, most := 0, 0, 0
	for _, b := range s.backends {
		if s.settling(b, now) {
			continue
		}
		sum += b.flows
		n++
		most = max(most, b.flows)
	}
	ratio := float64(most) * float64(n) / float64(max(sum, 1))
	s.stats.ratios = append(s.stats.ratios, ratio)
	s.stats.worst = max(s.stats.worst, ratio)
}

// settling reports whether a backend server is in slow start, refuses flows or does not answer, or was in such a state
// less than settleAfter ago.
func (s *sim) settling(b *backend, now time.Duration) bool {
	if !s.cfg.Faults {
		return false
	}
	within := func(from, until time.Duration) bool { return now >= from && now < until+settleAfter }
	switch b.id {
	case startsCold:
		return within(coldAt, coldAt+coldFor)
	case refusesNew:
		return within(refusesFrom, refusesUntil)
	case doesNotAnswer:
		return within(noAnswerFrom, noAnswerUntil)
	default:
		return false
	}
}

// Report is the result of one run.
type Report struct {
	Seed   uint64 `json:"seed"`
	Choice Choice `json:"choice"`
	Faults bool   `json:"faults"`
	// MaxToMean and WorstMaxToMean are the mean and the maximum over time of the largest number of flows on a backend
	// server divided by the mean number.
	MaxToMean      float64 `json:"max_to_mean"`
	WorstMaxToMean float64 `json:"worst_max_to_mean"`
	// WaitP99Millis is the 99th percentile of the time to open a flow in milliseconds.
	WaitP99Millis float64 `json:"wait_p99_ms"`
	// Failed counts attempts on backend servers that refused or did not answer, Refused the flows that found no backend
	// server.
	Failed  int `json:"failed"`
	Refused int `json:"refused"`
}

func (s *stats) report(cfg Config) Report {
	sum := 0.0
	for _, r := range s.ratios {
		sum += r
	}
	return Report{
		Seed: cfg.Seed, Choice: cfg.Choice, Faults: cfg.Faults,
		MaxToMean:      sum / float64(max(len(s.ratios), 1)),
		WorstMaxToMean: s.worst,
		WaitP99Millis:  float64(s.wait.ValueAtQuantile(99)) / float64(time.Millisecond/time.Microsecond),
		Failed:         s.failed, Refused: s.refused,
	}
}
