package standcaller

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/standin/standbackend"
	"github.com/pimentoyard/pimentoyard/internal/standin/standfabric"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimhttp"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimudp"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const service = pimid.ServiceID(1)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// edge handles the packets of all VMs of a minimal fleet; one table of POST requests that the VMs share replaces the
// home VMs.
type edge struct {
	client   *pimhttp.Client
	backends []pimview.Backend
	// flowsMoved makes all flows go to the other backend server.
	flowsMoved atomic.Bool
	// swapReplies answers each request with the answer to the previous one.
	swapReplies bool

	mu       sync.Mutex
	posts    map[string]*postRecord
	previous pimedge.Reply
}

// postRecord is one POST request; reply is valid after done is closed.
type postRecord struct {
	done  chan struct{}
	reply pimedge.Reply
}

// handle issues tokens that hold the index of a backend server, and uses the token of a packet as this index.
func (e *edge) handle(ctx context.Context, p *pimedge.Packet, r pimudp.Responder) {
	switch {
	case len(p.Token) == 0:
		token := []byte{byte(int(p.MessageID) % len(e.backends))}
		_ = r.Reply(pimedge.Reply{Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonNoToken, Token: token})
	case p.Kind == pimedge.KindFlow:
		_ = r.Forward(p, e.backends[e.flowBackend(p.Token[0])].FlowAddress)
	case p.Kind == pimedge.KindPost:
		_ = r.Reply(e.sendOnce(ctx, p))
	default:
		_ = r.Reply(e.send(ctx, p, "GET"))
	}
}

func (e *edge) moveFlows() { e.flowsMoved.Store(true) }

func (e *edge) flowBackend(token byte) int {
	if e.flowsMoved.Load() {
		return (int(token) + 1) % len(e.backends)
	}
	return int(token)
}

// sendOnce sends a POST request only for its first packet; the other packets of the request get the same reply.
func (e *edge) sendOnce(ctx context.Context, p *pimedge.Packet) pimedge.Reply {
	key := p.Source.String() + p.Path
	e.mu.Lock()
	rec, known := e.posts[key]
	if !known {
		rec = &postRecord{done: make(chan struct{})}
		e.posts[key] = rec
	}
	e.mu.Unlock()
	if known {
		<-rec.done
		return rec.reply
	}
	rec.reply = e.send(ctx, p, "POST")
	close(rec.done)
	return rec.reply
}

func (e *edge) send(ctx context.Context, p *pimedge.Packet, method string) pimedge.Reply {
	deadline := pimclock.Boot{}.Now().Add(p.Timeout)
	res := e.client.Do(ctx, e.backends[p.Token[0]], method, p.Path, p.Body, deadline)
	reply := pimedge.Reply{
		Outcome: res.Outcome, Reason: res.Reason, RetryAfter: res.RetryAfter, Status: res.Status, Body: res.Body,
	}
	if !e.swapReplies {
		return reply
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.previous, reply = reply, e.previous
	return reply
}

// system is a complete system on loopback: VMs, backend servers and the stand-in fabric.
type system struct {
	edge     *edge
	fabric   *standfabric.Fabric
	backends []*standbackend.Server
}

func startSystem(t *testing.T, vms int, impairment standfabric.Impairment) *system {
	t.Helper()
	client, cleanup := pimhttp.NewClient(pimhttp.Config{})
	t.Cleanup(cleanup)
	s := &system{edge: &edge{client: client, posts: make(map[string]*postRecord)}}
	for id := range pimid.BackendID(2) {
		s.startBackend(t, id+1)
	}
	targets := make([]netip.AddrPort, 0, vms)
	for range vms {
		targets = append(targets, s.startVM(t))
	}
	cfg := standfabric.Config{
		Routes:     []standfabric.Route{{Service: service, Listen: loopback}},
		Targets:    map[pimid.ServiceID][]netip.AddrPort{service: targets},
		Impairment: impairment,
		Seed:       1,
	}
	fabric, cleanupFabric, err := standfabric.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanupFabric)
	s.fabric = fabric
	return s
}

func (s *system) startBackend(t *testing.T, id pimid.BackendID) {
	t.Helper()
	b, cleanup, err := standbackend.Start(standbackend.Config{
		ID: id, HTTPAddress: loopback, FlowAddress: loopback, Slots: 1000, NotifyInterval: 20 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	s.backends = append(s.backends, b)
	s.edge.backends = append(s.edge.backends, pimview.Backend{
		ID: id, HTTPAddress: b.HTTPAddress(), FlowAddress: b.FlowAddress(),
	})
}

func (s *system) startVM(t *testing.T) netip.AddrPort {
	t.Helper()
	vm, cleanup, err := pimudp.Listen(pimudp.Config{
		Services: []pimudp.Service{{ID: service, Listen: loopback, Address: loopback}},
		Handler:  s.edge.handle,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	addr, _ := vm.Address(service)
	return addr
}

func (s *system) config() Config {
	addr, _ := s.fabric.Address(service)
	return Config{
		Service: addr, Local: netip.MustParseAddr("127.0.0.9"), Duration: 400 * time.Millisecond, Rate: 200,
		PostShare: 0.5, BodyBytes: 10, Timeout: 30 * time.Second, AckTimeout: 20 * time.Millisecond, Seed: 7,
	}
}
