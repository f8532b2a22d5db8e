package pimudp

import "sync/atomic"

type counters struct {
	received, malformed, replied, forwarded, overloaded, readErrors, sendErrors atomic.Uint64
}

// Counters holds the totals of a server since its start.
type Counters struct {
	// Received counts datagrams from callers.
	Received uint64
	// Malformed counts datagrams that could not be decoded.
	Malformed uint64
	// Replied counts datagrams sent to callers.
	Replied uint64
	// Forwarded counts datagrams sent to backend servers.
	Forwarded uint64
	// Overloaded counts requests refused or dropped because MaxRequests requests were being handled.
	Overloaded uint64
	// ReadErrors counts failed reads.
	ReadErrors uint64
	// SendErrors counts replies of the server itself, as opposed to the handler, that could not be sent.
	SendErrors uint64
}

// Counters returns the totals since the start of the server.
func (s *Server) Counters() Counters {
	c := &s.counters
	return Counters{
		Received:   c.received.Load(),
		Malformed:  c.malformed.Load(),
		Replied:    c.replied.Load(),
		Forwarded:  c.forwarded.Load(),
		Overloaded: c.overloaded.Load(),
		ReadErrors: c.readErrors.Load(),
		SendErrors: c.sendErrors.Load(),
	}
}

// recordSendError counts and logs an error of a reply of the server itself; nil is ignored.
func (s *Server) recordSendError(err error) {
	if err == nil {
		return
	}
	s.counters.sendErrors.Add(1)
	s.log.Debug().Err(err).Msg("reply not sent")
}
