package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/pimentoyard/pimentoyard/internal/standin/standcaller"
)

// report prints the summaries of the callers and the backend servers, and returns the faults.
func report(o *options) (faults []string, err error) {
	for _, text := range o.Callers {
		contract, file, _ := strings.Cut(text, "=")
		s, err := readSummary(file)
		if err != nil {
			return nil, err
		}
		printCallers(contract, s)
		faults = append(faults, callerFaults(contract, s, o.Flows)...)
	}
	more, err := reportBackends(o)
	return append(faults, more...), err
}

func readSummary(file string) (s standcaller.Summary, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return s, err
	}
	if err = json.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("summary %s: %w", file, err)
	}
	return s, nil
}

func printCallers(contract string, s standcaller.Summary) {
	fmt.Printf("contract %s: %d requests, outcomes %v, refusals %v, unknowns %v, mismatched %d\n",
		contract, s.Requests, s.Outcomes, s.Refusals, s.Unknowns, s.Mismatched)
	fmt.Printf("contract %s: %d flows, %d broken %v, refused %v, %d notifications, latency ms %v\n",
		contract, s.FlowsOpened, s.BrokenFlows, s.BrokenReasons, s.FlowsRefused, s.Notifications, s.LatencyMS)
}

// callerFaults checks the summary of one contract; flows is the number of flows that it must have opened.
func callerFaults(contract string, s standcaller.Summary, flows int) (faults []string) {
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, contract+": "+fmt.Sprintf(format, args...))
		}
	}
	check(s.Outcomes["answered"] > 0, "no request was answered")
	check(s.Mismatched == 0, "%d answers did not match their requests", s.Mismatched)
	check(s.BrokenFlows == 0, "%d flows broke", s.BrokenFlows)
	check(s.FlowsOpened == flows, "%d of %d flows were opened", s.FlowsOpened, flows)
	return faults
}
