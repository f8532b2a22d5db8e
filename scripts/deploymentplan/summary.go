package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pimentoyard/pimentoyard/internal/standin/standcaller"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
)

// summarise prints the summed counts of each contract; ok is false if a contract has no answer, an answer that does not
// match its request, or a broken flow.
func summarise(o *options, pub *pimcontract.Publication) (ok bool, err error) {
	ok = true
	for i := range pub.Contracts {
		c := &pub.Contracts[i]
		sum := newSummary()
		for n := 1; n <= o.Callers; n++ {
			file := filepath.Join(o.Results, fmt.Sprintf("caller-%d-%d.out", c.ID, n))
			if err = addFile(&sum, file); err != nil {
				return false, err
			}
		}
		printSummary(c, &sum)
		ok = ok && sum.Outcomes["answered"] > 0 && sum.Mismatched == 0 && sum.BrokenFlows == 0
	}
	return ok, nil
}

func newSummary() standcaller.Summary {
	return standcaller.Summary{
		Outcomes: map[string]int{}, Refusals: map[string]int{}, Unknowns: map[string]int{},
		FlowsRefused: map[string]int{}, BrokenReasons: map[string]int{}, LatencyMS: map[string]float64{},
	}
}

// addFile adds the counts of one caller to the sum.
func addFile(sum *standcaller.Summary, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var s standcaller.Summary
	if err = json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("summary %s: %w", file, err)
	}
	sum.Requests += s.Requests
	sum.Mismatched += s.Mismatched
	sum.FlowsOpened += s.FlowsOpened
	sum.BrokenFlows += s.BrokenFlows
	sum.Notifications += s.Notifications
	addCounts(sum.Outcomes, s.Outcomes)
	addCounts(sum.Refusals, s.Refusals)
	addCounts(sum.Unknowns, s.Unknowns)
	addCounts(sum.FlowsRefused, s.FlowsRefused)
	addCounts(sum.BrokenReasons, s.BrokenReasons)
	for q, ms := range s.LatencyMS {
		// Quantiles of several callers cannot be merged, so the highest one is shown.
		sum.LatencyMS[q] = max(sum.LatencyMS[q], ms)
	}
	return nil
}

func addCounts(sum, counts map[string]int) {
	for reason, n := range counts {
		sum[reason] += n
	}
}

func printSummary(c *pimcontract.Contract, s *standcaller.Summary) {
	fmt.Printf("contract %d %s: %d requests, outcomes %v, refusals %v, unknowns %v, mismatched %d\n",
		c.ID, c.Customer, s.Requests, s.Outcomes, s.Refusals, s.Unknowns, s.Mismatched)
	fmt.Printf("contract %d %s: %d flows, %d broken %v, refused %v, %d notifications, highest latency ms %v\n",
		c.ID, c.Customer, s.FlowsOpened, s.BrokenFlows, s.BrokenReasons, s.FlowsRefused, s.Notifications, s.LatencyMS)
}
