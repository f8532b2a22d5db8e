package pimviews

import (
	"iter"
	"slices"
)

// Shrink returns a schedule that still breaks a rule, with as many events omitted as possible one after the other.
func Shrink(cfg Config) Config {
	isBroken := func(omit []int) bool {
		cfg.Omit = omit
		return len(Run(cfg).Violations) > 0
	}
	cfg.Omit = nil
	cfg.Omit = shrink(Run(cfg).Events, isBroken)
	return cfg
}

// shrink returns the numbers below n that can be omitted while the rest is still broken. It begins with the last ones, since
// events after the first violation have no part in it.
func shrink(n int, isBroken func(omit []int) bool) (omit []int) {
	for i := n - 1; i >= 0; i-- {
		if tried := slices.Concat(omit, []int{i}); isBroken(tried) {
			omit = tried
		}
	}
	return omit
}

// Orders returns all sequences of a number of events; with planned, of those that are planned work.
func Orders(depth int, planned bool) iter.Seq[[]string] {
	return func(yield func([]string) bool) { extend(nil, depth, planned, yield) }
}

// extend calls yield with all sequences that begin with some events; it returns false if yield did.
func extend(begin []string, depth int, planned bool, yield func([]string) bool) bool {
	if len(begin) == depth {
		return yield(begin)
	}
	for i := range events {
		if planned && events[i].unplanned {
			continue
		}
		if !extend(slices.Concat(begin, []string{events[i].name}), depth, planned, yield) {
			return false
		}
	}
	return true
}
