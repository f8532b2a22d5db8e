package pimhistory

import "time"

// send delivers a message over the network, possibly late, twice or never.
func (s *sim) send(deliver func()) {
	if s.Rand.Float64() < lossProbability {
		return
	}
	s.After(s.latency(), deliver)
	if s.Rand.Float64() < duplicateProbability {
		s.After(s.latency(), deliver)
	}
}

// latency returns the transit time of a message. It is exponential with a mean of 20 ms, except for a few messages that
// may arrive after all deadlines or after the end of the permit.
func (s *sim) latency() time.Duration {
	if s.Rand.Float64() < lateProbability {
		return time.Duration(s.Rand.Float64() * float64(lateDelay))
	}
	return s.Exp(20 * time.Millisecond)
}

// sendBetween sends a message from one VM to another. The message is lost if a partition separates the VMs when it is
// sent or when it arrives.
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

// partitioned reports whether a partition separates two VMs now.
func (s *sim) partitioned(a, b *node) bool {
	return s.Now().Before(s.partitionedUntil) && s.side[a.index] != s.side[b.index]
}
