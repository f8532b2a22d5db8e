//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`

	renewed time.Time
}

// The store answers after storeDelay, and has pages of pageSize items. An entry of a backend server is removed after lease without a
// write: three ping intervals.
const (
	storeDelay = 4 * time.Millisecond
	pageSize   = 500
	lease      = 3 * heartbeat
)

// minWatch is the shortest hold in milliseconds of a watch that is reported.
const minWatch = 500

// store is the platform's metadata store.
type store struct {
	rec *recorder

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	// isDown is set while the store answers nobody.
	isDown bool
	// unchanged are waiting for the next watch that ends without changes.
	unchanged []chan *vm
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, items: map[string]item{}, revision: 411, changed: make(chan struct{})}
}

// put writes an entry; it reports whether the store has accepted it. An entry that changes in seq only is renewed, which is no change.
func (s *store) put(key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return false
	}
	old, exists := s.items[key]
	if exists && withoutSeq(old.Value) == withoutSeq(data) {
		old.renewed = time.Now()
		s.items[key] = old
		return true
	}
	s.revision++
	it := item{Key: key, Value: data, Revision: s.revision, Created: s.revision, renewed: time.Now()}
	if exists {
		it.Created = old.Created
	}
	s.items[key] = it
	s.add(it)
	s.rec.logf("store: revision %d, %s = %s", s.revision, key, data)
	return true
}

func withoutSeq(value []byte) string {
	var fields map[string]any
	if json.Unmarshal(value, &fields) != nil {
		return string(value)
	}
	delete(fields, "seq")
	data, _ := json.Marshal(fields)
	return string(data)
}

func (s *store) remove(key, why string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.add(item{Key: key, Revision: s.revision, Removed: true})
	s.rec.logf("store: revision %d, %s removed: %s", s.revision, key, why)
}

func (s *store) add(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	s.rec.logf("store: down %v", isDown)
	if !isDown {
		// Its clock for leases has stood still.
		for key, it := range s.items {
			it.renewed = time.Now()
			s.items[key] = it
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the entries of silent backend servers.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for key, it := range s.items {
			if !s.isDown && strings.HasPrefix(key, "servers/") && time.Since(it.renewed) > lease {
				s.remove(key, "silent")
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown
}

// ServeHTTP serves the list and the watch; while the store is down, calls get no answer.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	if s.down() {
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/pimentoyard/kv-range":
		s.serveRange(w, r)
	case "/pimentoyard/kv-watch":
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	page, revision := []item{}, s.revision
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, it)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	isTruncated := len(page) > pageSize
	page = page[:min(len(page), pageSize)]
	s.rec.logf("store: list by %s at revision %d, %d items", r.RemoteAddr, revision, len(page))
	respond(w, map[string]any{"items": page, "truncated": isTruncated, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, errAfter := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if errAfter != nil || errWait != nil || wait > 30_000 {
		http.Error(w, "after or wait_ms", http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, r.URL.Query().Get("prefix")) {
				events = append(events, it)
			}
		}
		revision, changed, isDown := s.revision, s.changed, s.isDown
		s.mu.Unlock()
		if isDown {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 {
			respond(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			if s.down() {
				<-r.Context().Done()
				return
			}
			respond(w, map[string]any{"events": events, "store_revision": revision})
			if v, ok := r.Context().Value(vmKey{}).(*vm); ok && wait >= minWatch {
				s.reportUnchanged(v)
			}
			return
		case <-r.Context().Done():
			return
		}
	}
}

func respond(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has gone
}
