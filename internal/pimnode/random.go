package pimnode

import (
	crand "crypto/rand"
	"math/rand/v2"
	"sync"
)

// lockedSource makes a random source safe for concurrent use.
type lockedSource struct {
	mu  sync.Mutex
	src rand.Source
}

// Uint64 returns the next number of the source.
func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.src.Uint64()
}

// newRandom returns a generator with an unpredictable seed.
func newRandom() *rand.Rand {
	var seed [32]byte
	// crypto/rand.Read never returns an error.
	_, _ = crand.Read(seed[:])
	return rand.New(&lockedSource{src: rand.NewChaCha8(seed)})
}
