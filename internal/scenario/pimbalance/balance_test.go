package pimbalance

import (
	"testing"

	"github.com/matryer/is"
)

// TestBalance guards against backend servers that receive much more than their share when reports are delayed, wrong or
// missing and backend servers fail. The choice by reports alone must fail the same check.
func TestBalance(t *testing.T) {
	cases := []struct {
		name   string
		faults bool
		limit  float64
	}{
		{"delayed reports", false, 1.05},
		{"wrong reports and faulty backend servers", true, 1.1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			reports := map[Choice]Report{}
			for _, choice := range Choices {
				r := Run(DefaultConfig(1, choice, c.faults))
				reports[choice] = r
				t.Logf("%s: max/mean %.3f (worst %.3f), p99 wait %.1f ms, failed %d", choice, r.MaxToMean, r.WorstMaxToMean, r.WaitP99Millis, r.Failed)
			}
			two := reports[TwoChoices]
			is.True(two.MaxToMean <= c.limit) // a backend server had too many flows
			if !c.faults {
				// Load reports must help if they are right. With wrong reports and equal backend servers, a choice that
				// ignores the reports does better.
				is.True(two.MaxToMean < reports[RoundRobin].MaxToMean)
				is.True(two.MaxToMean < reports[Random].MaxToMean)
			}
			is.True(reports[LeastReported].MaxToMean > c.limit) // the check does not detect herding
			is.Equal(two.Refused, 0)                            // a flow found no backend server
		})
	}
}
