package pimpick

import "math/rand/v2"

// Policy chooses one of several candidates by their load.
type Policy interface {
	// Choose returns the index of one of n candidates; load returns the load of a candidate by index.
	Choose(rnd *rand.Rand, n int, load func(i int) float64) int
}

// PowerOfTwo compares two random candidates and takes the less loaded one.
type PowerOfTwo struct{}

// Choose implements Policy.
func (PowerOfTwo) Choose(rnd *rand.Rand, n int, load func(i int) float64) int {
	if n == 1 {
		return 0
	}
	a := rnd.IntN(n)
	b := rnd.IntN(n - 1)
	if b >= a {
		b++
	}
	if load(b) < load(a) {
		return b
	}
	return a
}

// Random takes a random candidate and ignores the loads.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(rnd *rand.Rand, n int, _ func(i int) float64) int { return rnd.IntN(n) }

// LeastLoaded takes the candidate with the smallest load. With delayed loads, all VMs choose the same candidate.
type LeastLoaded struct{}

// Choose implements Policy.
func (LeastLoaded) Choose(_ *rand.Rand, n int, load func(i int) float64) int {
	best := 0
	for i := 1; i < n; i++ {
		if load(i) < load(best) {
			best = i
		}
	}
	return best
}

// RoundRobin takes the candidates in turn and ignores the loads.
type RoundRobin struct{ last int }

// Choose implements Policy.
func (r *RoundRobin) Choose(_ *rand.Rand, n int, _ func(i int) float64) int {
	r.last = (r.last + 1) % n
	return r.last
}
