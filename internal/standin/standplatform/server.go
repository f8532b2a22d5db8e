package standplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// DefaultHold is the default time after which a watch (a long poll) without events is answered.
const DefaultHold = 20 * time.Second

// maxValueBytes is the largest value that the platform stores, in bytes.
const maxValueBytes = 1 << 20

// Calls counts the calls by kind; PendingWatches is the number of watches that are open now.
type Calls struct {
	Keys           uint64 `json:"keys"`
	Watch          uint64 `json:"watch"`
	VMs            uint64 `json:"vms"`
	Admin          uint64 `json:"admin"`
	PendingWatches int    `json:"pending_watches"`
}

// Server serves a State over HTTP; in stale mode, it serves the replica instead.
type Server struct {
	state *State
	hold  time.Duration
	mux   *http.ServeMux

	mu      sync.Mutex
	mode    Mode
	replica *State
	calls   Calls
}

// NewServer returns a handler for a state; hold is the time after which a watch without events is answered.
func NewServer(state *State, hold time.Duration) *Server {
	s := &Server{state: state, hold: hold, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/keys", s.read(func(c *Calls) { c.Keys++ }, s.keys))
	s.mux.HandleFunc("GET /v1/watch", s.read(func(c *Calls) { c.Watch++ }, s.watch))
	s.mux.HandleFunc("GET /v1/vms", s.read(func(c *Calls) { c.VMs++ }, s.vms))
	s.mux.HandleFunc("PUT /admin/keys/{key...}", s.admin(s.putKey))
	s.mux.HandleFunc("DELETE /admin/keys/{key...}", s.admin(s.deleteKey))
	s.mux.HandleFunc("PUT /admin/vms/{id}", s.admin(s.putVM))
	s.mux.HandleFunc("DELETE /admin/vms/{id}", s.admin(s.deleteVM))
	s.mux.HandleFunc("PUT /admin/mode", s.admin(s.putMode))
	s.mux.HandleFunc("GET /admin/calls", s.admin(s.getCalls))
	return s
}

// ServeHTTP serves the calls of VMs and fabric (/v1) and of the operator (/admin).
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Calls returns the counts so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Server) count(f func(*Calls)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.calls)
}

// read counts a /v1 call and applies the simulated faults to it.
func (s *Server) read(count func(*Calls), next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(count)
		m := s.Mode()
		pimclock.Sleep(r.Context(), time.Duration(m.DelayMillis)*time.Millisecond)
		if m.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// admin counts an /admin call, to which the simulated faults do not apply.
func (s *Server) admin(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(func(c *Calls) { c.Admin++ })
		next(w, r)
	}
}

func (s *Server) keys(w http.ResponseWriter, _ *http.Request) {
	state := s.servedState()
	era := state.Era()
	revision, keys := state.Entries()
	reply(w, addEra(era, map[string]any{"revision": revision, "keys": keys}))
}

func (s *Server) vms(w http.ResponseWriter, _ *http.Request) {
	version, vms := s.servedState().VMs()
	reply(w, map[string]any{"version": version, "vms": vms})
}

// watch waits for events after the revision in the query parameter from and replies with them, or with none after the
// hold time.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a revision", http.StatusBadRequest)
		return
	}
	s.count(func(c *Calls) { c.PendingWatches++ })
	defer s.count(func(c *Calls) { c.PendingWatches-- })
	hold := time.NewTimer(s.hold)
	defer hold.Stop()
	for held := true; ; {
		state := s.servedState()
		era := state.Era()
		to, events, next, ok := state.Since(pimid.Revision(from))
		if !ok {
			http.Error(w, "compacted", http.StatusGone)
			return
		}
		// If the state is older than the requested revision, the reply has no events and comes at once, as that of an
		// outdated replica of the platform does.
		if len(events) > 0 || uint64(to) < from || !held {
			reply(w, addEra(era, map[string]any{"revision": to, "events": events}))
			return
		}
		select {
		case <-next:
		case <-hold.C:
			held = false
		case <-r.Context().Done():
			return
		}
	}
}

// addEra adds the era to a response, unless the platform was never restored.
func addEra(era pimid.Era, response map[string]any) map[string]any {
	if era > 0 {
		response["era"] = era
	}
	return response
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) putKey(w http.ResponseWriter, r *http.Request) {
	p, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil || !json.Valid(p) {
		http.Error(w, "value is not valid JSON, or is larger than 1 MiB", http.StatusBadRequest)
		return
	}
	reply(w, map[string]any{"revision": s.state.Put(r.PathValue("key"), p)})
}

func (s *Server) deleteKey(w http.ResponseWriter, r *http.Request) {
	reply(w, map[string]any{"revision": s.state.Delete(r.PathValue("key"))})
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var n pimview.Node
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 16)
	if err == nil {
		err = decodeBody(w, r, &n)
	}
	if err != nil || n.ID != pimid.NodeID(id) {
		http.Error(w, "body is not a valid VM, or its id differs from the id in the path", http.StatusBadRequest)
		return
	}
	s.state.SetVM(n)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteVM(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 16)
	if err != nil {
		http.Error(w, "id in the path is not a VM id", http.StatusBadRequest)
		return
	}
	s.state.RemoveVM(pimid.NodeID(id))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putMode(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if err := decodeBody(w, r, &m); err != nil {
		http.Error(w, "body is not a valid mode", http.StatusBadRequest)
		return
	}
	s.SetMode(m)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) { reply(w, s.Calls()) }

func decodeBody(w http.ResponseWriter, r *http.Request, v any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}
