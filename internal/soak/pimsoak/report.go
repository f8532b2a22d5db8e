package pimsoak

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Violation is the violation of an invariant, AtMs milliseconds after the start of the run.
type Violation struct {
	AtMs int64  `json:"at_ms"`
	Kind string `json:"kind"`
	Text string `json:"text"`
}

// Note is the start or the end of a fault, AtMs milliseconds after the start of the run.
type Note struct {
	AtMs int64  `json:"at_ms"`
	Kind string `json:"kind"`
	Text string `json:"text"`
}

// Report is the result of one run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Counts contains how often each step of a request ended with each result, by "step: result".
	Counts         map[string]int `json:"counts"`
	ResetsBySystem int            `json:"resets_by_system"`
	P50Ms          float64        `json:"p50_ms"`
	P99Ms          float64        `json:"p99_ms"`
	MaxMs          float64        `json:"max_ms"`
	Violations     []Violation    `json:"violations"`
	Notes          []Note         `json:"notes"`
	// Seconds contains the requests by the second of the run in which they ended.
	Seconds []Second `json:"seconds"`

	times *hdrhistogram.Histogram
}

// Second counts the requests that ended in one second of a run.
type Second struct {
	Answered int `json:"answered"`
	Failed   int `json:"failed"`
}

const (
	longestTimeUs = 60_000_000
	usPerMs       = 1000
	timeDigits    = 3
)

func newReport(seed uint64) Report {
	return Report{Seed: seed, Counts: map[string]int{}, times: hdrhistogram.New(1, longestTimeUs, timeDigits)}
}

// addViolation records and logs the violation of an invariant.
func (r *run) addViolation(kind, format string, args ...any) {
	v := Violation{AtMs: time.Since(r.start).Milliseconds(), Kind: kind, Text: fmt.Sprintf(format, args...)}
	r.mu.Lock()
	r.report.Violations = append(r.report.Violations, v)
	r.mu.Unlock()
	r.cfg.Log.Error().Uint64("seed", r.cfg.Seed).Int64("at_ms", v.AtMs).Str("kind", kind).Msg(v.Text)
}

// addFaultNote records the start or the end of a fault that may break open flows.
func (r *run) addFaultNote(kind, text string) {
	r.mu.Lock()
	r.lastFault = time.Now()
	r.mu.Unlock()
	r.addNote(kind, text)
}

// addNote records the start or the end of an event.
func (r *run) addNote(kind, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Notes = append(r.report.Notes, Note{AtMs: time.Since(r.start).Milliseconds(), Kind: kind, Text: text})
}

// countOK counts a check that was made.
func (r *run) countOK(what string) { r.count(what, nil) }

func (r *run) count(step string, err error) {
	result := "ok"
	if err != nil {
		result = err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Counts[step+": "+result]++
}

// currentSecond returns the counts of the current second. The caller holds the lock.
func (r *run) currentSecond() *Second {
	n := int(time.Since(r.start) / time.Second)
	for len(r.report.Seconds) <= n {
		r.report.Seconds = append(r.report.Seconds, Second{})
	}
	return &r.report.Seconds[n]
}

// recordFailure counts a request without an answer.
func (r *run) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentSecond().Failed++
}

func (r *run) recordAnswer(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentSecond().Answered++
	// A time above the range of the histogram is recorded as longestTimeUs.
	_ = r.report.times.RecordValue(min(d.Microseconds(), longestTimeUs))
	r.report.P50Ms = float64(r.report.times.ValueAtQuantile(50)) / usPerMs
	r.report.P99Ms = float64(r.report.times.ValueAtQuantile(99)) / usPerMs
	r.report.MaxMs = float64(r.report.times.Max()) / usPerMs
}

// progressInterval is the time between two log lines with the progress of a run.
const progressInterval = 5 * time.Second

// runProgress logs the progress of the run.
func (r *run) runProgress(ctx context.Context) {
	for pimclock.Sleep(ctx, progressInterval); ctx.Err() == nil; pimclock.Sleep(ctx, progressInterval) {
		r.mu.Lock()
		r.cfg.Log.Info().Uint64("seed", r.cfg.Seed).Int64("at_ms", time.Since(r.start).Milliseconds()).
			Int64("answered", r.report.times.TotalCount()).Int("faults", len(r.report.Notes)).
			Int("violations", len(r.report.Violations)).Msg("soak in progress")
		r.mu.Unlock()
	}
}

// Write writes the report as text.
func (r *Report) Write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "seed %d: %d violations, %d faults, p50 %.1f ms, p99 %.1f ms, max %.0f ms, %d resets\n",
		r.Seed, len(r.Violations), len(r.Notes), r.P50Ms, r.P99Ms, r.MaxMs, r.ResetsBySystem)
	var keys []string
	for k := range r.Counts {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		_, _ = fmt.Fprintf(w, "  %-28s %d\n", k, r.Counts[k])
	}
	for _, v := range r.Violations {
		_, _ = fmt.Fprintf(w, "  %6d ms %s: %s\n", v.AtMs, v.Kind, v.Text)
	}
}
