package pimquota

import "slices"

// fairLevel returns the level of a max-min fair division: every demand gets the smaller of itself and the level, and
// together they get at most the capacity. Without a shortage the level is the capacity. The demands are sorted in place.
func fairLevel(capacity float64, demands []float64) float64 {
	slices.Sort(demands)
	left := capacity
	for i, d := range demands {
		if level := left / float64(len(demands)-i); d > level {
			return level
		}
		left -= d
	}
	return capacity
}
