package standbackend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// maxRequestBody bounds a request body in bytes.
const maxRequestBody = 64 << 10

// Answer is the JSON body of an answer; it lets a caller check that the answer belongs to its request.
type Answer struct {
	// ID repeats the query parameter id of the request.
	ID      string          `json:"id"`
	Method  string          `json:"method"`
	Path    string          `json:"path"`
	Backend pimid.BackendID `json:"backend"`
	// BodyBytes is the length of the request body.
	BodyBytes int `json:"body_bytes"`
	// Padding extends the answer to at least the number of bytes in the query parameter bytes.
	Padding string `json:"padding,omitempty"`
}

// handleRequest executes one request in a slot, or sheds it if all slots are taken.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	if s.cfg.ServiceName != "" && r.Host != s.cfg.ServiceName {
		http.Error(w, "request is for another service", http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		http.Error(w, "cannot read the request body, or it is longer than 64 KiB", http.StatusBadRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.shed(w)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	s.records.recordRequest(r.Method, r.URL.Query().Get("id"), s.drainedAt.Load())
	if !s.process(ctx, w) {
		s.records.cancelled.Add(1)
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	if s.isStalled(r.Context()) {
		<-r.Context().Done()
		return
	}
	s.writeAnswer(w, r, len(body))
}

func (s *Server) shed(w http.ResponseWriter) {
	s.records.shed.Add(1)
	seconds := int64((s.cfg.RetryAfter + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// withDeadline applies the deadline of the request; an absent or invalid one means none.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get("Request-Timeout-Ms"), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// process waits for the service time and sends interim responses meanwhile; ok is false if the request passed its
// deadline or was cancelled.
func (s *Server) process(ctx context.Context, w http.ResponseWriter) (ok bool) {
	end := time.NewTimer(s.cfg.serviceTime(time.Since(s.started)))
	defer end.Stop()
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-end.C:
			return true
		case <-progress.C:
			if !s.isStalled(ctx) {
				w.WriteHeader(http.StatusProcessing)
			}
		}
	}
}

func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, bodyBytes int) {
	a := Answer{
		ID:        r.URL.Query().Get("id"),
		Method:    r.Method,
		Path:      r.URL.Path,
		Backend:   s.cfg.ID,
		BodyBytes: bodyBytes,
	}
	encoded, err := json.Marshal(a)
	if err != nil {
		http.Error(w, "cannot encode answer", http.StatusInternalServerError)
		return
	}
	if size, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && size > len(encoded) {
		a.Padding = string(bytes.Repeat([]byte{'.'}, size-len(encoded)))
		encoded, _ = json.Marshal(a)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	if _, err = w.Write(encoded); err != nil {
		s.cfg.Log.Debug().Err(err).Msg("response not written")
	}
}
