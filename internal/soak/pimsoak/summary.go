package pimsoak

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary contains the combined results of several runs of one program.
type Summary struct {
	Program    string `json:"program"`
	Runs       int    `json:"runs"`
	Answered   int    `json:"answered"`
	Failed     int    `json:"failed"`
	Resets     int    `json:"resets_by_system"`
	Violations int    `json:"violations"`
	// Quantiles are the response times at Percentiles, in milliseconds.
	Quantiles []float64 `json:"quantiles_ms"`
	// Seconds contains the mean number of answers per run for each second of a run.
	Seconds []float64 `json:"answers_by_second"`
}

// Percentiles are the percentiles of Summary.Quantiles.
var Percentiles = []float64{50, 75, 90, 95, 99, 99.5, 99.9}

// Summarise combines the reports of several runs of one program.
func Summarise(program string, reports []Report) Summary {
	s := Summary{Program: program, Runs: len(reports)}
	times := hdrhistogram.New(1, longestTimeUs, timeDigits)
	for _, r := range reports {
		times.Merge(r.times)
		s.Resets += r.ResetsBySystem
		s.Violations += len(r.Violations)
		for n, second := range r.Seconds {
			s.Answered += second.Answered
			s.Failed += second.Failed
			if n == len(s.Seconds) {
				s.Seconds = append(s.Seconds, 0)
			}
			s.Seconds[n] += float64(second.Answered) / float64(len(reports))
		}
	}
	for _, p := range Percentiles {
		s.Quantiles = append(s.Quantiles, float64(times.ValueAtQuantile(p))/usPerMs)
	}
	return s
}

// WriteTable writes the summaries side by side.
func WriteTable(w io.Writer, summaries []Summary) {
	_, _ = fmt.Fprintf(w, "%-16s %6s %10s %8s %8s %10s", "program", "runs", "answered", "failed", "resets", "violations")
	for _, p := range Percentiles {
		_, _ = fmt.Fprintf(w, " %8s", fmt.Sprintf("p%g ms", p))
	}
	_, _ = fmt.Fprintln(w)
	for _, s := range summaries {
		_, _ = fmt.Fprintf(w, "%-16s %6d %10d %8d %8d %10d", s.Program, s.Runs, s.Answered, s.Failed, s.Resets, s.Violations)
		for _, q := range s.Quantiles {
			_, _ = fmt.Fprintf(w, " %8.1f", q)
		}
		_, _ = fmt.Fprintln(w)
	}
}
