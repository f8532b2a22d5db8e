package pimhistory

import "time"

// send delivers a message between two places, possibly late, twice or never.
func (s *sim) send(deliver func()) {
	if s.Rand.Float64() < lossProbability {
		return
	}
	s.After(s.latency(), deliver)
	if s.Rand.Float64() < duplicateProbability {
		s.After(s.latency(), deliver)
	}
}

// latency is exponential, with a few messages that arrive after all deadlines or after the end of the permit.
func (s *sim) latency() time.Duration {
	if s.Rand.Float64() < lateProbability {
		return time.Duration(s.Rand.Float64() * float64(lateDelay))
	}
	return s.Exp(20 * time.Millisecond)
}

// sendBetween delivers a message from one VM to another unless the VMs are cut off from each other.
func (s *sim) sendBetween(from, to *node, deliver func()) {
	if s.partitioned(from, to) {
		return
	}
	s.send(func() {
		if !s.partitioned(from, to) {
			to.do(deliver)
		}
	})
}

// partitioned reports whether a partition separates two VMs.
func (s *sim) partitioned(a, b *node) bool {
	return s.Now().Before(s.partitionedUntil) && s.side[a.index] != s.side[b.index]
}
