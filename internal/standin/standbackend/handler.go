package standbackend

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// load is the response to GET /load; connections is the number of open flows.
type load struct {
	InFlight    int              `json:"in_flight"`
	Connections int              `json:"connections"`
	Draining    bool             `json:"draining"`
	Generation  pimid.Generation `json:"generation"`
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.getHealth)
	mux.HandleFunc("GET /load", s.getLoad)
	mux.HandleFunc("GET /executed", s.getExecuted)
	mux.HandleFunc("GET /stats", s.getStats)
	mux.HandleFunc("POST /drain", s.postDrain)
	mux.HandleFunc("POST /silence", s.postSilence)
	mux.HandleFunc("POST /mislead", s.postMislead)
	mux.HandleFunc("/", s.handleRequest)
	return repeatRequestID(mux)
}

// repeatRequestID repeats the number of each request in its response, so that the connection may be reused.
func repeatRequestID(next http.Handler) http.Handler {
	const header = "Request-Id"
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(header); id != "" {
			w.Header().Set(header, id)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, map[string]string{"status": "ok"})
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	if s.misleading.Load() {
		s.writeJSON(w, load{Generation: s.cfg.Generation})
		return
	}
	s.writeJSON(w, load{
		InFlight:    len(s.slots),
		Connections: s.flows.count(),
		Draining:    s.isDraining(),
		Generation:  s.cfg.Generation,
	})
}

func (s *Server) getExecuted(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, s.Executed())
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, s.Stats())
}

// postDrain makes the load endpoint report a drain. New requests and flows are still accepted, and counted in
// Stats.AfterDrain.
func (s *Server) postDrain(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	s.drainedAt.CompareAndSwap(nil, &now)
	w.WriteHeader(http.StatusNoContent)
}

// postSilence stalls all connections that are open now, including that of this request.
func (s *Server) postSilence(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	s.StallConnections()
	w.WriteHeader(http.StatusNoContent)
}

// postMislead makes the load endpoint report an idle server from now on.
func (s *Server) postMislead(w http.ResponseWriter, _ *http.Request) {
	s.misleading.Store(true)
	w.WriteHeader(http.StatusNoContent)
}

// StallConnections stalls all connections that are open now: requests on them are still executed, but get neither
// interim responses nor a final response. New connections work.
func (s *Server) StallConnections() { s.stalledUpTo.Store(s.connections.Load()) }

func (s *Server) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		s.cfg.Log.Debug().Err(err).Msg("response not written")
	}
}
