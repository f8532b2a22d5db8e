package pimsoak

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// impairment defines how a proxy impairs the connections of a VM to the platform; the zero value is no impairment.
type impairment struct {
	// Delay is the time by which each forwarded chunk of data is delayed.
	Delay time.Duration
	// DropUp discards the data to the platform, and DropDown the data from it.
	DropUp, DropDown bool
	// With Refuse, new connections are closed at once.
	Refuse bool
}

// proxy is a TCP proxy between one VM and the platform.
type proxy struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	impairment impairment
	conns      map[net.Conn]bool
	// opened is the number of connections so far, and those up to silent have gone silent.
	opened, silent int
	wg             sync.WaitGroup
}

// newProxy starts a proxy on a free port of the given address; cleanup stops it and closes all connections.
func newProxy(ctx context.Context, at netip.Addr, target netip.AddrPort) (p *proxy, cleanup func(), err error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", netip.AddrPortFrom(at, 0).String())
	if err != nil {
		return nil, nil, err
	}
	p = &proxy{listener: listener, target: target.String(), conns: map[net.Conn]bool{}}
	p.wg.Go(p.loop)
	return p, p.close, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close() // ends the loop
	p.reset()
	p.wg.Wait()
}

func (p *proxy) set(imp impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairment = imp
}

func (p *proxy) current() impairment {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.impairment
}

// silence lets all open connections go silent for good, without a reset. New ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = p.opened
}

func (p *proxy) isSilent(number int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return number <= p.silent
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset instead of an orderly close
		}
		_ = c.Close() // ends both copy calls of the connection
	}
}

func (p *proxy) loop() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.wg.Go(func() { p.serve(conn) })
	}
}

func (p *proxy) serve(down net.Conn) {
	defer p.closeConn(down)
	if p.current().Refuse {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	up, err := new(net.Dialer).DialContext(ctx, "tcp4", p.target)
	if err != nil {
		return
	}
	defer p.closeConn(up)
	p.mu.Lock()
	p.conns[down], p.conns[up] = true, true
	p.opened++
	number := p.opened
	p.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(up, down, func(imp impairment) bool { return imp.DropUp || p.isSilent(number) })
		_ = up.Close() // ends the other copy call
	}()
	p.copy(down, up, func(imp impairment) bool { return imp.DropDown || p.isSilent(number) })
	_ = down.Close() // ends the other copy call
	<-done
}

func (p *proxy) closeConn(c net.Conn) {
	_ = c.Close() // closing twice does no harm
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proxy) copy(to io.Writer, from io.Reader, dropped func(impairment) bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		imp := p.current()
		if n > 0 && !dropped(imp) {
			time.Sleep(imp.Delay)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
