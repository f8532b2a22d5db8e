//go:build review

package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// gate is a listener of the store for one VM. While it is closed, its queue of new channels is full, so that the kernel drops opening
// packets; channels that are open go on.
type gate struct {
	net.Listener
	address string

	mu      sync.Mutex
	opened  chan struct{}
	fillers []net.Conn
}

// newGate listens with the shortest queue that the kernel has.
func newGate(ip netip.Addr) (g *gate, err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "gate")
	defer func() { _ = f.Close() }()
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: ip.As4()}); err != nil {
		return nil, err
	}
	if err = syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	g = &gate{Listener: l, address: l.Addr().String(), opened: make(chan struct{})}
	close(g.opened)
	return g, nil
}

// Accept returns the next channel, once the gate is open.
func (g *gate) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	<-opened
	return conn, err
}

// shut fills the queue: one channel is held by Accept, the others wait in the queue.
func (g *gate) shut() {
	g.mu.Lock()
	g.opened = make(chan struct{})
	g.mu.Unlock()
	for range 3 {
		conn, err := net.DialTimeout("tcp4", g.address, 50*time.Millisecond)
		if err != nil {
			return
		}
		g.fillers = append(g.fillers, conn)
		time.Sleep(5 * time.Millisecond)
	}
}

func (g *gate) open() {
	for _, conn := range g.fillers {
		_ = conn.Close()
	}
	g.fillers = nil
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.opened)
}

// addGate gives a VM its own address of the store.
func (d *deployment) addGate(v *vm, n byte) (g *gate, err error) {
	if g, err = newGate(d.address(0, n)); err != nil {
		return nil, err
	}
	v.storeAddress = g.address
	server := http.Server{Handler: d.store, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, vmKey{}, v)
	}}
	go func() { _ = server.Serve(g) }()
	return g, nil
}

// vmKey is the key of the VM in the context of its calls to the store.
type vmKey struct{}
