package pimcaller

import (
	"context"
	"sync"
	"time"
)

// tokenSource holds the token that all requests of a caller share; only one goroutine at a time fetches a new one.
type tokenSource struct {
	maxAge time.Duration
	// fetchLock holds one element while a goroutine fetches a token; unlike a mutex, it can be waited for with a
	// context.
	fetchLock chan struct{}

	mu       sync.Mutex
	echo     []byte
	received time.Time
}

func newTokenSource(maxAge time.Duration) *tokenSource {
	return &tokenSource{maxAge: maxAge, fetchLock: make(chan struct{}, 1)}
}

// get returns the token; it is nil if there is none or if it is at least maxAge old.
func (s *tokenSource) get() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.received) >= s.maxAge {
		return nil
	}
	return s.echo
}

// set stores a token that was just received; an empty one is ignored.
func (s *tokenSource) set(echo []byte) {
	if len(echo) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.echo, s.received = echo, time.Now()
}

// lock waits for the right to fetch a token; it returns the error of ctx.
func (s *tokenSource) lock(ctx context.Context) error {
	select {
	case s.fetchLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *tokenSource) unlock() { <-s.fetchLock }
