package pimhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
)

// rawServer is a stand-in server whose serve function controls every byte of a connection; it counts requests and
// connections.
type rawServer struct {
	listener net.Listener
	// serve handles one connection; connections are numbered from 1.
	serve func(n int, c net.Conn)
	wg    sync.WaitGroup

	mu sync.Mutex
	// started counts requests of which at least one byte arrived, completed those that arrived with their whole body.
	started, completed, connections int
	open                            []net.Conn
	// lastID is the number of the last complete request.
	lastID string
}

func startRawServer(t *testing.T, serve func(s *rawServer, n int, c net.Conn)) (*rawServer, pimview.Backend) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: listener}
	s.serve = func(n int, c net.Conn) { serve(s, n, c) }
	s.wg.Go(s.run)
	t.Cleanup(s.close)
	return s, pimview.Backend{ID: 1, HTTPAddress: netip.MustParseAddrPort(listener.Addr().String())}
}

func (s *rawServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections++
		n := s.connections
		s.open = append(s.open, c)
		s.mu.Unlock()
		s.wg.Go(func() {
			s.serve(n, c)
			_ = c.Close()
		})
	}
}

func (s *rawServer) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, c := range s.open {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// drain stops accepting and waits until all connections have been served.
func (s *rawServer) drain() {
	_ = s.listener.Close()
	s.wg.Wait()
}

// counts returns the number of requests that started to arrive and that arrived completely.
func (s *rawServer) counts() (started, completed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started, s.completed
}

func (s *rawServer) connectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

// read reads limit bytes of one request, or the whole request if limit is negative; it reports whether they arrived.
func (s *rawServer) read(r *bufio.Reader, limit int) bool {
	if _, err := r.Peek(1); err != nil {
		return false
	}
	s.mu.Lock()
	s.started++
	s.mu.Unlock()
	if limit >= 0 {
		_, err := io.CopyN(io.Discard, r, int64(limit))
		return err == nil
	}
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err = io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	s.mu.Lock()
	s.completed++
	s.lastID = req.Header.Get(RequestIDHeader)
	s.mu.Unlock()
	return true
}

// reset makes a later close send a reset (RST).
func reset(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }

func respond(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// respondOK answers the last complete request and repeats its number.
func (s *rawServer) respondOK(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	respond(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+s.lastID+"\r\nContent-Length: 2\r\n\r\nok")
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
