package pimbalance

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Choice names the policy under test.
type Choice string

// The policies.
const (
	// TwoChoices is pimpick.
	TwoChoices Choice = "two_choices"
	// RoundRobin takes the hosts in turn.
	RoundRobin Choice = "round_robin"
	// Random takes any host.
	Random Choice = "random"
	// LeastReported takes the host with the smallest last report.
	LeastReported Choice = "least_reported"
)

// Choices lists all policies.
var Choices = []Choice{TwoChoices, RoundRobin, Random, LeastReported}

// Config describes one run.
type Config struct {
	Seed   uint64
	Choice Choice
	Length time.Duration
	// ReportDelay bounds the uniform delay of a load report on its way to a VM.
	ReportDelay time.Duration
	// Faults adds wrong and absent reports, a cold start, a refusing host and silent connections.
	Faults bool
}

// DefaultConfig returns two minutes with reports that are up to 4 s late.
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
	// warmUp is left out of the statistics: the flow count has not settled before.
	warmUp = 40 * time.Second
	// openTime is the time to open a flow on an idle host.
	openTime = 2 * time.Millisecond
	// refusedTime and silentTime are the times lost on a host that refuses and on one that stays silent.
	refusedTime  = 5 * time.Millisecond
	noAnswerTime = 2 * time.Second
	// coldFactor is how much slower a host opens flows during its first 10 s.
	coldFactor = 4
)

// The faulty hosts.
const (
	reportsZero     = 1
	reportsTenth    = 2
	reportsNever    = 3
	startsCold      = 4
	refusesNew      = 5
	doesNotAnswer   = 6
	coldAt          = 60 * time.Second
	refusesFrom     = 50 * time.Second
	refusesUntil    = 80 * time.Second
	noAnswerFrom    = 70 * time.Second
	noAnswerUntil   = 90 * time.Second
	coldFor         = 10 * time.Second
	settleAfter     = 20 * time.Second
	openAttempts    = 4
	firstGeneration = pimid.Generation(1)
)

// newHosts returns the table of one VM for a policy.
func newHosts(c Choice) *pimpick.Hosts {
	cfg := pimpick.DefaultConfig(nodes)
	switch c {
	case RoundRobin:
		return pimpick.NewHosts(cfg, &pimpick.RoundRobin{})
	case Random:
		return pimpick.NewHosts(cfg, pimpick.Random{})
	case LeastReported:
		// Own placed flows do not count and a report keeps its weight.
		cfg.Peers, cfg.PlacedHalfLife, cfg.ReportHalfLife = 0, 1, 1000*time.Hour
		return pimpick.NewHosts(cfg, pimpick.LeastLoaded{})
	default:
		return pimpick.NewHosts(cfg, pimpick.PowerOfTwo{})
	}
}
