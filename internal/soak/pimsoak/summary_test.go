package pimsoak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a summary that counts a run twice, or whose quantiles and answers per second are not those of its
// runs. Either would make the comparison of two programs wrong.
func TestSummarise(t *testing.T) {
	is := is.New(t)
	report := func(took time.Duration, seconds ...Second) Report {
		r := run{report: newReport(1), start: time.Now()}
		r.recordAnswer(took)
		r.report.Seconds = seconds
		return r.report
	}
	s := Summarise("old", []Report{
		report(10*time.Millisecond, Second{Answered: 4, Failed: 1}),
		report(20*time.Millisecond, Second{Answered: 2}, Second{Answered: 6, Failed: 2}),
	})
	is.Equal(s.Runs, 2)
	is.Equal(s.Answered, 12)
	is.Equal(s.Failed, 3)
	is.Equal(s.Seconds, []float64{3, 3})
	is.Equal(int(s.Quantiles[0]), 10)
	is.Equal(int(s.Quantiles[len(s.Quantiles)-1]), 20)
	var text strings.Builder
	WriteTable(&text, []Summary{s})
	is.True(strings.Contains(text.String(), "old"))
}
