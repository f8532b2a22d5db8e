package standfabric

import (
	"math/rand/v2"
	"sync"
	"time"
)

// chooser makes all random choices of a fabric from one seed.
type chooser struct {
	impairment Impairment
	mu         sync.Mutex
	rand       *rand.Rand
}

// seedStream separates this generator from others with the same seed.
const seedStream = 0x66616272696b

func newChooser(seed uint64, impairment Impairment) *chooser {
	return &chooser{impairment: impairment, rand: rand.New(rand.NewPCG(seed, seedStream))}
}

// pick returns a number below n.
func (c *chooser) pick(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.IntN(n)
}

// copies returns how many copies of a datagram arrive.
func (c *chooser) copies() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.rand.Float64() < c.impairment.Loss:
		return 0
	case c.rand.Float64() < c.impairment.Duplication:
		return 2
	default:
		return 1
	}
}

// delay returns the delay of one copy.
func (c *chooser) delay() time.Duration {
	if c.impairment.MaxDelay <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rand.Int64N(int64(c.impairment.MaxDelay) + 1))
}
