package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/standin/standbackend"
)

// statsTimeout bounds the request for the statistics of one backend server.
const statsTimeout = 2 * time.Second

// drainBound is the time after which a drained backend server must not receive new work (R6 in docs/design.md).
const drainBound = 5 * time.Second

// reportBackends prints the requests of each backend server and the imbalance of each service, and returns the faults.
func reportBackends(o *options) (faults []string, err error) {
	loads := make(map[string][]int)
	for _, text := range o.Backends {
		service, address, _ := strings.Cut(text, "=")
		s, err := readStats(address)
		if err != nil {
			return nil, err
		}
		requests := s.Posts + int(s.Gets)
		fmt.Printf("service %s: backend server %s ran %d requests, shed %d, new work after drain %d (last after %d ms)\n",
			service, address, requests, s.Shed, s.AfterDrain, s.LastAfterDrainMS)
		if address != o.Drained {
			loads[service] = append(loads[service], requests)
		}
		if s.LastAfterDrainMS > drainBound.Milliseconds() {
			faults = append(faults, fmt.Sprintf("%s: new work %d ms after the drain", address, s.LastAfterDrainMS))
		}
		if s.Repeated > 0 || s.Misrouted > 0 {
			faults = append(faults, fmt.Sprintf("%s: %d requests ran twice, %d packets of another service",
				address, s.Repeated, s.Misrouted))
		}
	}
	printImbalance(loads)
	return faults, nil
}

func readStats(address string) (s standbackend.Stats, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), statsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/stats", http.NoBody)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// printImbalance prints the highest number of requests of one backend server divided by the mean of its service.
func printImbalance(loads map[string][]int) {
	for service, l := range loads {
		sum := 0
		for _, n := range l {
			sum += n
		}
		if sum > 0 {
			fmt.Printf("service %s: imbalance %.2f over %d backend servers\n",
				service, float64(slices.Max(l)*len(l))/float64(sum), len(l))
		}
	}
}
