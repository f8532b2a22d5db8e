package pimops

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.serveMetrics)
	if s.cfg.Status != nil {
		mux.HandleFunc("GET /status", s.serveStatus)
	}
	if s.cfg.Explain != nil {
		mux.HandleFunc("GET /explain", s.serveExplain)
	}
	return mux
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.cfg.WriteMetrics(w)
}

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	s.serveJSON(w, r, s.cfg.Status)
}

func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	s.serveJSON(w, r, func(ctx context.Context) (any, error) { return s.cfg.Explain(ctx, r.URL.Query()) })
}

// serveJSON writes the value that get returns as JSON, or its error as text: with status 400 for ErrQuery, 429 for
// ErrBusy, otherwise 500.
func (s *Server) serveJSON(w http.ResponseWriter, r *http.Request, get func(context.Context) (any, error)) {
	value, err := get(r.Context())
	var text []byte
	if err == nil {
		text, err = json.MarshalIndent(value, "", "  ")
	}
	if errors.Is(err, ErrQuery) {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if errors.Is(err, ErrBusy) {
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	}
	if err != nil {
		s.cfg.Log.Warn().Err(err).Str("path", r.URL.Path).Msg("operator request failed")
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(append(text, '\n')); err != nil {
		s.cfg.Log.Debug().Err(err).Str("path", r.URL.Path).Msg("operator closed the connection")
	}
}
