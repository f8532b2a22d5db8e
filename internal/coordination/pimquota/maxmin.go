package pimquota

import "slices"

// maxMin divides capacity among demands: no demand gets more than it asks for, and what is left after the smaller
// demands is divided equally among the larger ones.
func maxMin(capacity float64, demands []float64) (parts []float64) {
	parts = make([]float64, len(demands))
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if demands[a] < demands[b] {
			return -1
		}
		return 1
	})
	left := capacity
	for n, i := range order {
		parts[i] = min(demands[i], left/float64(len(order)-n))
		left -= parts[i]
	}
	return parts
}
