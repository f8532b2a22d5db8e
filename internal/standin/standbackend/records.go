package standbackend

import (
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// records counts requests, flow packets and the executions of each POST id.
type records struct {
	shed, cancelled, gets, misrouted, malformed atomic.Int64
	afterDrain                                  atomic.Int64
	// lastAfterDrain is the time in milliseconds between the start of the drain and the latest new request or flow.
	lastAfterDrain atomic.Int64

	mu sync.Mutex
	// executed holds the number of executions for each POST id.
	executed map[string]int
}

func newRecords() *records { return &records{executed: make(map[string]int)} }

// recordRequest records a request before it is executed, since a request that is cut off may have had effects.
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

// recordNewWork counts a new request or flow that arrives after the start of a drain and records its delay, so that a
// test can check that new work stops within a bound.
func (r *records) recordNewWork(drainedAt *time.Time) {
	if drainedAt == nil {
		return
	}
	r.afterDrain.Add(1)
	r.lastAfterDrain.Store(time.Since(*drainedAt).Milliseconds())
}

// Stats holds totals since the start.
type Stats struct {
	Posts int   `json:"posts"`
	Gets  int64 `json:"gets"`
	Shed  int64 `json:"shed"`
	// Cancelled counts requests that ended early, at their deadline or because the client gave up.
	Cancelled int64 `json:"cancelled"`
	// Repeated counts POST ids that were executed more than once.
	Repeated int `json:"repeated"`
	// Misrouted counts flow packets for another service address.
	Misrouted int64 `json:"misrouted"`
	// Malformed counts flow packets that cannot be decoded or have another method than GET or PUT.
	Malformed int64 `json:"malformed"`
	// AfterDrain counts new requests and flows after the start of a drain; LastAfterDrainMS is the time in milliseconds
	// between that start and the latest of them.
	AfterDrain       int64 `json:"after_drain"`
	LastAfterDrainMS int64 `json:"last_after_drain_ms"`
	// Flows is the number of flows that are open now.
	Flows int `json:"flows"`
}

// Executed returns the number of executions for each POST id.
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
