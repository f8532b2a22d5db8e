package standplatform

// Mode is how the service misbehaves; the zero value is healthy.
type Mode struct {
	// Down answers every call with 503.
	Down bool `json:"down"`
	// Stale serves the state as it was when the switch was set.
	Stale bool `json:"stale"`
	// DelayMillis delays every answer.
	DelayMillis int64 `json:"delay_ms"`
}

// SetMode switches the misbehaviour of the service.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Stale && !s.mode.Stale {
		s.replica = s.state.Clone()
	}
	s.mode = m
}

// Mode returns the current misbehaviour.
func (s *Server) Mode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// servedState returns the state that readers see.
func (s *Server) servedState() *State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode.Stale {
		return s.replica
	}
	return s.state
}
