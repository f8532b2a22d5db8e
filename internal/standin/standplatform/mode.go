package standplatform

// Mode selects the simulated faults of the platform; the zero value means none. They apply to the /v1 calls and not to
// the /admin calls.
type Mode struct {
	// Down answers every call with 503.
	Down bool `json:"down"`
	// Stale serves the state as it was when Stale was set.
	Stale bool `json:"stale"`
	// DelayMillis is the delay of every response in milliseconds.
	DelayMillis int64 `json:"delay_ms"`
}

// SetMode replaces the simulated faults.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Stale && !s.mode.Stale {
		s.replica = s.state.Clone()
	}
	s.mode = m
}

// Mode returns the current simulated faults.
func (s *Server) Mode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// servedState returns the state that the /v1 calls read: the replica in stale mode.
func (s *Server) servedState() *State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode.Stale {
		return s.replica
	}
	return s.state
}
