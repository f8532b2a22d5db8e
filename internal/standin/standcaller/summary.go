package standcaller

import (
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pimentoyard/pimentoyard/pkg/pimcaller"
)

// Summary holds the totals of a run.
type Summary struct {
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	// Refusals counts the reasons of requests that were not run.
	Refusals map[string]int `json:"refusals"`
	// Unknowns counts the reasons of requests with an unknown or failed outcome.
	Unknowns map[string]int `json:"unknowns"`
	// Mismatched counts answers that do not belong to their request or are incomplete.
	Mismatched    int            `json:"mismatched"`
	FlowsOpened   int            `json:"flows_opened"`
	FlowsRefused  map[string]int `json:"flows_refused"`
	BrokenFlows   int            `json:"broken_flows"`
	BrokenReasons map[string]int `json:"broken_reasons"`
	Notifications int            `json:"notifications"`
	// Retransmitted and Late are the counters of pimcaller.Stats.
	Retransmitted uint64 `json:"repeated"`
	Late          uint64 `json:"late"`
	// LatencyMS holds quantiles of the latency of answered requests in milliseconds.
	LatencyMS map[string]float64 `json:"latency_ms"`
}

const (
	// maxLatency is the largest latency of the histogram; longer ones count as this one.
	maxLatency = time.Minute
	// latencyDigits is the precision of the histogram in decimal digits.
	latencyDigits = 3
)

// tally collects a summary; it is safe for concurrent use.
type tally struct {
	mu      sync.Mutex
	sum     Summary
	latency *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		sum: Summary{
			Outcomes:      make(map[string]int),
			Refusals:      make(map[string]int),
			Unknowns:      make(map[string]int),
			FlowsRefused:  make(map[string]int),
			BrokenReasons: make(map[string]int),
		},
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits),
	}
}

// recordRequest counts the result of one request.
func (t *tally) recordRequest(res pimcaller.Result, matches bool, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.Requests++
	t.sum.Outcomes[string(res.Outcome)]++
	switch res.Outcome {
	case pimcaller.Answered:
		if !matches {
			t.sum.Mismatched++
		}
		_ = t.latency.RecordValue(min(took, maxLatency).Microseconds())
	case pimcaller.NotRun:
		t.sum.Refusals[res.Reason]++
	default:
		t.sum.Unknowns[res.Reason]++
	}
}

func (t *tally) recordOpened() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.FlowsOpened++
}

func (t *tally) recordRefused(err error) {
	reason := "deadline"
	var refused *pimcaller.RefusedError
	if errors.As(err, &refused) {
		reason = refused.Result.Reason
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.FlowsRefused[reason]++
}

func (t *tally) recordNotification() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.Notifications++
}

func (t *tally) recordBroken(err error) {
	reason := "refused"
	for name, cause := range map[string]error{"moved": pimcaller.ErrFlowMoved, "silent": pimcaller.ErrFlowSilent} {
		if errors.Is(err, cause) {
			reason = name
		}
	}
	var refused *pimcaller.RefusedError
	if errors.As(err, &refused) && refused.Result.Reason != "" {
		reason = refused.Result.Reason
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.BrokenFlows++
	t.sum.BrokenReasons[reason]++
}

// summary completes the summary with the counters of the caller and the latencies.
func (t *tally) summary(stats pimcaller.Stats) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.Retransmitted, t.sum.Late = stats.Retransmitted, stats.Late
	t.sum.LatencyMS = make(map[string]float64)
	if t.latency.TotalCount() == 0 {
		return t.sum
	}
	for name, q := range map[string]float64{"p50": 50, "p99": 99, "max": 100} {
		t.sum.LatencyMS[name] = float64(t.latency.ValueAtQuantile(q)) / 1000
	}
	return t.sum
}
