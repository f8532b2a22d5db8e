package pimpeer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// silencer passes connections on to a VM, and can let those that are open go silent without a reset.
type silencer struct {
	target string

	mu     sync.Mutex
	dials  int
	silent int
}

func newSilencer(t *testing.T, target netip.AddrPort) (*silencer, netip.AddrPort) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &silencer{target: target.String()}
	go s.loop(ln)
	t.Cleanup(func() { _ = ln.Close() })
	return s, netip.MustParseAddrPort(ln.Addr().String())
}

func (s *silencer) loop(ln net.Listener) {
	for {
		down, err := ln.Accept()
		if err != nil {
			return
		}
		up, err := net.Dial("tcp", s.target)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.dials++
		number := s.dials
		s.mu.Unlock()
		go s.copy(number, up, down)
		go s.copy(number, down, up)
	}
}

func (s *silencer) copy(number int, to, from net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if !s.isSilent(number) && n > 0 {
			_, _ = to.Write(buf[:n]) // the other direction ends the connection
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (s *silencer) isSilent(number int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return number <= s.silent
}

// silence lets the open connections go silent.
func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = s.dials
}

func (s *silencer) opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dials
}

// callThrough returns a silencer, the clock of a pool, and a function that calls a VM through the silencer within a time.
func callThrough(t *testing.T) (s *silencer, clock *pimclock.Manual, call func(within time.Duration) error) {
	t.Helper()
	s, address := newSilencer(t, serve(t, testSecret, 1, &echo{}))
	p := pool(t, testSecret, 2)
	clock = &pimclock.Manual{}
	p.clock = clock
	return s, clock, func(within time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), within)
		defer cancel()
		_, err := p.Peer(ctx, 1, address).PullConfig(ctx, &pimpb.PullConfigRequest{})
		return err
	}
}

// awaitTimeout bounds calls that must be answered; no check depends on how long they take.
const awaitTimeout = 30 * time.Second

// Guards against a call that hangs until its deadline on a connection that went silent while it was not used.
func TestConnectionThatWentSilentIsReplacedBeforeACall(t *testing.T) {
	is := is.New(t)
	s, clock, call := callThrough(t)
	is.NoErr(call(awaitTimeout))
	s.silence()
	clock.Advance(verifyAfter)
	is.NoErr(call(awaitTimeout))
	is.Equal(s.opened(), 2)
}

// Guards against a silent connection that goes back to the pool after each call that had no answer, and lets call after call hang.
func TestSilentConnectionIsNotUsedForCallAfterCall(t *testing.T) {
	is := is.New(t)
	s, clock, call := callThrough(t)
	is.NoErr(call(awaitTimeout))
	s.silence()
	is.True(errors.Is(call(50*time.Millisecond), context.DeadlineExceeded)) // it was used just before
	clock.Advance(verifyAfter)
	is.NoErr(call(awaitTimeout))
}

// Guards against a handshake for each call to a VM that is called rarely: its connection still works. That VM may be of an earlier
// version, which does not know pings.
func TestConnectionThatWorksIsKept(t *testing.T) {
	is := is.New(t)
	s, clock, call := callThrough(t)
	for range 3 {
		is.NoErr(call(awaitTimeout))
		clock.Advance(10 * verifyAfter)
	}
	is.Equal(s.opened(), 1)
}
