package standbackend

import (
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// records counts what the server ran.
type records struct {
	shed, cancelled, gets, misrouted, malformed atomic.Int64
	afterDrain                                  atomic.Int64
	lastAfterDrain                              atomic.Int64

	mu       sync.Mutex
	executed map[string]int
}

func newRecords() *records { return &records{executed: make(map[string]int)} }

// recordRequest records a request before it runs, since a request that was cut off may have had effects.
func (r *records) recordRequest(method, id string, drainedAt *time.Time) {
	r.recordNewWork(drainedAt)
	if method != http.MethodPost {
		r.gets.Add(1)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executed[id]++
}

// recordNewWork notes work that arrives after the drain, so that a test can bound its lateness.
func (r *records) recordNewWork(drainedAt *time.Time) {
	if drainedAt == nil {
		return
	}
	r.afterDrain.Add(1)
	r.lastAfterDrain.Store(time.Since(*drainedAt).Milliseconds())
}

// Stats are totals since the start.
type Stats struct {
	Posts     int   `json:"posts"`
	Gets      int64 `json:"gets"`
	Shed      int64 `json:"shed"`
	Cancelled int64 `json:"cancelled"`
	// Repeated counts POST ids that ran more than once.
	Repeated int `json:"repeated"`
	// Misrouted counts flow packets for another service address.
	Misrouted int64 `json:"misrouted"`
	Malformed int64 `json:"malformed"`
	// AfterDrain counts new work after the drain; LastAfterDrainMS is the time of the last since the drain.
	AfterDrain       int64 `json:"after_drain"`
	LastAfterDrainMS int64 `json:"last_after_drain_ms"`
	Flows            int   `json:"flows"`
}

// Executed returns the number of runs for each POST id.
func (s *Server) Executed() map[string]int {
	s.records.mu.Lock()
	defer s.records.mu.Unlock()
	return maps.Clone(s.records.executed)
}

// Stats returns the totals since the start.
func (s *Server) Stats() Stats {
	r := s.records
	st := Stats{
		Gets:             r.gets.Load(),
		Shed:             r.shed.Load(),
		Cancelled:        r.cancelled.Load(),
		Misrouted:        r.misrouted.Load(),
		Malformed:        r.malformed.Load(),
		AfterDrain:       r.afterDrain.Load(),
		LastAfterDrainMS: r.lastAfterDrain.Load(),
		Flows:            s.flows.count(),
	}
	for _, runs := range s.Executed() {
		st.Posts += runs
		if runs > 1 {
			st.Repeated++
		}
	}
	return st
}
