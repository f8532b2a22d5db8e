package pimbalance

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Choice names the placement policy under test.
type Choice string

// The policies.
const (
	// TwoChoices is the policy that the VMs use: the less loaded of two random backend servers.
	TwoChoices Choice = "two_choices"
	// RoundRobin takes the backend servers in turn.
	RoundRobin Choice = "round_robin"
	// Random takes a random backend server.
	Random Choice = "random"
	// LeastReported takes the backend server with the smallest load in its last report.
	LeastReported Choice = "least_reported"
)

// Choices lists all policies.
var Choices = []Choice{TwoChoices, RoundRobin, Random, LeastReported}

// Config describes one run.
type Config struct {
	Seed   uint64
	Choice Choice
	Length time.Duration
	// ReportDelay is the largest delay of a load report on its way to a VM; the delays are uniformly distributed.
	ReportDelay time.Duration
	// Faults adds wrong and missing reports, a restart with a slow start, a backend server that refuses new flows and
	// one that does not answer.
	Faults bool
}

// DefaultConfig returns a run of two minutes with reports that are delayed by up to 4 s.
func DefaultConfig(seed uint64, c Choice, faults bool) Config {
	return Config{Seed: seed, Choice: c, Length: 2 * time.Minute, ReportDelay: 4 * time.Second, Faults: faults}
}

const service pimid.ServiceID = 1

const (
	nodes    = 8
	hosts    = 15
	maxFlows = 2000
	// flowEvery is the mean time between new flows.
	flowEvery = time.Second / 600
	meanFlow  = 30 * time.Second
	pollEvery = time.Second
	// warmUp is the time at the start of the run that the statistics exclude, because the number of flows still grows.
	warmUp = 40 * time.Second
	// openTime is the time to open a flow on an idle backend server.
	openTime = 2 * time.Millisecond
	// refusedTime and noAnswerTime are the times that an attempt takes on a backend server that refuses and on one that
	// does not answer.
	refusedTime  = 5 * time.Millisecond
	noAnswerTime = 2 * time.Second
	// coldFactor scales the additional time to open a flow during the slow start of a backend server (coldFor).
	coldFactor = 4
)

// The ids of the faulty backend servers and the times of their faults, and settings of the run.
const (
	reportsZero   = 1
	reportsTenth  = 2
	reportsNever  = 3
	startsCold    = 4
	refusesNew    = 5
	doesNotAnswer = 6
	coldAt        = 60 * time.Second
	refusesFrom   = 50 * time.Second
	refusesUntil  = 80 * time.Second
	noAnswerFrom  = 70 * time.Second
	noAnswerUntil = 90 * time.Second
	coldFor       = 10 * time.Second
	// settleAfter is the time after a fault for which the statistics still exclude the backend server.
	settleAfter = 20 * time.Second
	// openAttempts bounds the attempts to open one flow.
	openAttempts    = 4
	firstGeneration = pimid.Generation(1)
)

// newHosts returns the backend server table of one VM for a placement policy.
func newHosts(c Choice) *pimpick.Hosts {
	cfg := pimpick.DefaultConfig(nodes)
	switch c {
	case RoundRobin:
		return pimpick.NewHosts(cfg, &pimpick.RoundRobin{})
	case Random:
		return pimpick.NewHosts(cfg, pimpick.Random{})
	case LeastReported:
		// The flows that this VM placed itself do not count, and a report keeps its weight.
		cfg.Peers, cfg.PlacedHalfLife, cfg.ReportHalfLife = 0, 1, 1000*time.Hour
		return pimpick.NewHosts(cfg, pimpick.LeastLoaded{})
	default:
		return pimpick.NewHosts(cfg, pimpick.PowerOfTwo{})
	}
}
