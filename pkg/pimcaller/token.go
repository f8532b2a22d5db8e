package pimcaller

import (
	"context"
	"sync"
	"time"
)

// tokenSource holds the token for requests; one caller goroutine at a time fetches a new one.
type tokenSource struct {
	maxAge    time.Duration
	fetchLock chan struct{}

	mu       sync.Mutex
	echo     []byte
	received time.Time
}

func newTokenSource(maxAge time.Duration) *tokenSource {
	return &tokenSource{maxAge: maxAge, fetchLock: make(chan struct{}, 1)}
}

// get returns the token; it is empty if there is none or if it is too old for a new request.
func (s *tokenSource) get() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.received) >= s.maxAge {
		return nil
	}
	return s.echo
}

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
