package pimadmission

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Report is the result of one run. The figures by route are those of the requests that began during the burst.
type Report struct {
	Seed      uint64  `json:"seed"`
	Mix       Mix     `json:"mix"`
	Load      float64 `json:"load"`
	Admission bool    `json:"admission"`
	// UrgentLoad is the load of the urgent route during the burst.
	UrgentLoad float64       `json:"urgent_load"`
	Routes     []RouteReport `json:"routes"`
	// Goodput is the work of the requests that were answered during the burst and within their target, in parts of the capacity.
	Goodput float64 `json:"goodput"`
	// QueueFull counts the answers 503 and OverCap the connections that backend servers reset, during the whole run.
	QueueFull int `json:"queue_full"`
	OverCap   int `json:"over_cap"`
	// RecoveryMs is the time from the end of the burst to the beginning of the last later request that was not answered within its target.
	RecoveryMs int64 `json:"recovery_ms"`
	// CalmMissed counts the requests before the burst that were not answered within their target.
	CalmMissed int `json:"calm_missed"`
}

// RouteReport is the result of one route.
type RouteReport struct {
	Priority pimcatalog.Priority `json:"priority"`
	Requests int                 `json:"requests"`
	// InTime counts the requests answered within the target, Late the other answered ones, Lost those without an answer.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	Lost   int `json:"lost"`
	// Tries counts all tries, Refused those that a VM reset and Delayed the copies of opening packets that a VM left to the next one.
	Tries   int `json:"tries"`
	Refused int `json:"refused"`
	Delayed int `json:"delayed"`
	// OnsetInTime and Onset count the requests of the first second of the burst, answered in time and all.
	OnsetInTime int `json:"onset_in_time"`
	Onset       int `json:"onset"`
}

// Served returns the part of the requests that were answered within the target.
func (r RouteReport) Served() float64 { return ratio(r.InTime, r.Requests) }

// OnsetServed returns the same for the requests of the first second.
func (r RouteReport) OnsetServed() float64 { return ratio(r.OnsetInTime, r.Onset) }

// TriesEach returns the tries for each request.
func (r RouteReport) TriesEach() float64 { return ratio(r.Tries, r.Requests) }

func ratio(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// onset is the time at the beginning of the burst that is counted separately.
const onset = time.Second

// record counts the result of a request that has ended.
func (s *sim) record(r *request, answered bool) {
	isInTime := answered && s.Now().Sub(r.begunAt) <= kinds[r.kind].target
	from, to := pimclock.Instant(s.cfg.Calm), pimclock.Instant(s.cfg.Calm+s.cfg.Burst)
	if now := s.Now(); isInTime && !now.Before(from) && now.Before(to) {
		s.report.Goodput += float64(r.work) / (float64(s.cfg.Burst) * hosts * slots)
	}
	switch {
	case r.begunAt.Before(from):
		if !isInTime {
			s.report.CalmMissed++
		}
		return
	case !r.begunAt.Before(to):
		if !isInTime {
			s.report.RecoveryMs = max(s.report.RecoveryMs, r.begunAt.Sub(to).Milliseconds())
		}
		return
	}
	route := &s.report.Routes[r.kind]
	route.Requests++
	route.Tries += r.tries
	route.Refused += r.refused
	route.Delayed += r.delayed
	switch {
	case isInTime:
		route.InTime++
	case answered:
		route.Late++
	default:
		route.Lost++
	}
	if r.begunAt.Sub(from) < onset {
		route.Onset++
		if isInTime {
			route.OnsetInTime++
		}
	}
}

// Sum adds up the counts of the runs of one configuration with several seeds. Goodput is the mean and RecoveryMs the longest time.
func Sum(reports []Report) Report {
	sum := reports[0]
	sum.Routes = append([]RouteReport(nil), sum.Routes...)
	for _, r := range reports[1:] {
		sum.Goodput += r.Goodput
		sum.QueueFull += r.QueueFull
		sum.OverCap += r.OverCap
		sum.CalmMissed += r.CalmMissed
		sum.RecoveryMs = max(sum.RecoveryMs, r.RecoveryMs)
		for i := range sum.Routes {
			sum.Routes[i].add(r.Routes[i])
		}
	}
	sum.Goodput /= float64(len(reports))
	return sum
}

func (r *RouteReport) add(other RouteReport) {
	r.Requests += other.Requests
	r.InTime += other.InTime
	r.Late += other.Late
	r.Lost += other.Lost
	r.Tries += other.Tries
	r.Refused += other.Refused
	r.Delayed += other.Delayed
	r.OnsetInTime += other.OnsetInTime
	r.Onset += other.Onset
}
