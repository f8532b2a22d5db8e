//go:build review

package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes the channels of one VM to the store. It can let the open ones go silent, while new ones work.
type proxy struct {
	listener net.Listener
	target   string
	// onCall is called with each part of a call that the VM sends.
	onCall func(b []byte, isSilent bool)
	// bytesUp counts what the VM has sent to the store.
	bytesUp atomic.Int64

	mu       sync.Mutex
	channels []*channel
	// cutUntil is the end of the present cut, during which nothing passes; what was sent arrives afterwards.
	cutUntil time.Time
}

// channel is one channel through the proxy; once it is silent, nothing passes any more, not even its end.
type channel struct {
	silent atomic.Bool
}

func newProxy(address, target string, onCall func(b []byte, isSilent bool)) (*proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, onCall: onCall}
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.accept(from)
	}
}

// accept connects a channel to the store.
func (p *proxy) accept(from net.Conn) {
	p.awaitEndOfCut()
	to, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = from.Close()
		return
	}
	c := &channel{}
	p.mu.Lock()
	p.channels = append(p.channels, c)
	p.mu.Unlock()
	go p.copy(c, to, from, true)
	go p.copy(c, from, to, false)
}

func (p *proxy) copy(c *channel, to, from net.Conn, isUp bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if isUp && n > 0 {
			p.onCall(buf[:n], c.silent.Load())
		}
		if c.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if isUp {
			p.bytesUp.Add(int64(n))
		}
		p.awaitEndOfCut()
		if n > 0 {
			_, _ = to.Write(buf[:n]) // an error shows at the next read
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// cut lets nothing pass for a while, in either direction.
func (p *proxy) cut(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutUntil = time.Now().Add(d)
}

func (p *proxy) awaitEndOfCut() {
	p.mu.Lock()
	until := p.cutUntil
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// silence lets all open channels go silent for good, and returns their number.
func (p *proxy) silence() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.channels {
		if !c.silent.Swap(true) {
			n++
		}
	}
	p.channels = nil
	return n
}
