//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The names of the services and their routes. The addresses of the routes appear in packets only.
const (
	matchroom = "huvo11a"
	cliphall  = "wuno96b"
)

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec          *recorder
	network      byte
	ports        ports
	hostPort     uint16
	storeAddress string
	configApply  time.Duration
	slowStart    bool
	// warmupS and warmupPerS are those of the configuration; it has none without slowStart.
	warmupS, warmupPerS float64
	// backends share the new flows of the route to matchroom; nil means that matchroom gets all of them.
	backends []map[string]any
	// extra are the addresses of further routes to matchroom.
	extra  []netip.AddrPort
	store  *store
	fabric *fabric
	vms    []*vm
	dir    string

	mu      sync.Mutex
	callers int
	version int
}

// newDeployment returns a deployment with a running store and no VM; cleanup ends all processes.
func newDeployment(rec *recorder) (d *deployment, cleanup func(), err error) {
	d = &deployment{rec: rec, network: byte(60 + os.Getpid()%150), configApply: 3 * time.Second}
	for _, p := range []*uint16{&d.ports.packet, &d.ports.ready, &d.ports.admin, &d.ports.peer, &d.hostPort} {
		if *p, err = d.freePort(); err != nil {
			return nil, nil, err
		}
	}
	if d.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, nil, err
	}
	d.store = newStore(rec)
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(d.address(0, 1), 0).String())
	if err != nil {
		return nil, nil, err
	}
	d.storeAddress = listener.Addr().String()
	go d.store.expire()
	go func() { _ = http.Serve(listener, d.store) }()
	d.fabric = &fabric{rec: rec, port: d.ports.packet, isIn: map[*vm]bool{}, misses: map[*vm]int{}, readyURL: func(v *vm) string {
		return fmt.Sprintf("http://%s:%d/pimentoyard/readyz", v.ip, d.ports.ready)
	}}
	return d, func() {
		var wg sync.WaitGroup
		for _, v := range d.vms {
			wg.Go(func() {
				if v.done != nil {
					v.end(syscall.SIGKILL)
				}
			})
		}
		wg.Wait()
		_ = os.RemoveAll(d.dir)
	}, nil
}

// address returns an address: group 0 is the store, 1 to 3 the VMs of the zones, 4 the backend servers, 5 the callers, 9 the routes.
func (d *deployment) address(group, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network, group, n})
}

func (d *deployment) freePort() (uint16, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.address(0, 1), 0)))
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort().Port(), nil
}

// addVM adds a VM to a zone, which is a number from 1; its seeds are set later.
func (d *deployment) addVM(zone, n byte) *vm {
	v := &vm{name: fmt.Sprintf("frontend-%s-%d", zoneName(zone), n), zone: zoneName(zone), ip: d.address(zone, n), dir: d.dir, d: d, storeAddress: d.storeAddress}
	d.vms = append(d.vms, v)
	d.fabric.mu.Lock()
	d.fabric.vms = append(d.fabric.vms, v)
	d.fabric.mu.Unlock()
	go d.fabric.check(v)
	return v
}

func zoneName(zone byte) string { return "bagmati-" + string('a'+rune(zone)-1) }

func (d *deployment) startHost(id uint64, n byte, service string, zone byte, work, coldFor time.Duration) (*host, error) {
	return startHost(hostConfig{
		id: id, service: service, zone: zoneName(zone), address: netip.AddrPortFrom(d.address(4, n), d.hostPort), work: work, coldFor: coldFor,
	}, d.rec, d.store, d.ports.packet)
}

func (d *deployment) newCaller() (*caller, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callers++
	return newCaller(netip.AddrPortFrom(d.address(5, byte(d.callers)), d.ports.packet), d.fabric, d.rec)
}

// route returns the published address of a service.
func (d *deployment) route(service string) netip.AddrPort {
	n := byte(1)
	if service == cliphall {
		n = 2
	}
	return netip.AddrPortFrom(d.address(9, n), 8443)
}

// configure writes a configuration with a route for each service.
func (d *deployment) configure() {
	d.version += 3
	var routes, services []map[string]any
	names := []string{matchroom, cliphall}
	for _, name := range names {
		a := d.route(name)
		route := map[string]any{
			"name": "r-" + name, "host": a.Addr().String(), "prefix": fmt.Sprintf("/%d/", a.Port()), "type": "idempotent",
			"timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": name, "attempts": 2,
		}
		if name == matchroom && d.backends != nil {
			delete(route, "service")
			route["backends"] = d.backends
		}
		routes = append(routes, route)
	}
	for _, a := range d.extra {
		routes = append(routes, map[string]any{
			"name": "r-" + a.Addr().String(), "host": a.Addr().String(), "prefix": fmt.Sprintf("/%d/", a.Port()), "type": "idempotent",
			"timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": matchroom, "attempts": 2,
		})
	}
	for _, b := range d.backends {
		if name := b["service"].(string); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	for _, name := range names {
		service := map[string]any{"name": name, "health_path": "/healthz", "max_conns": 2000, "protocol": "h1", "tls": false}
		if d.slowStart {
			service["warmup_s"], service["warmup_per_s"] = d.warmupS, d.warmupPerS
		}
		services = append(services, service)
	}
	d.store.put("op/config", map[string]any{
		"version": d.version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

var errNotReady = errors.New("VMs are not ready")

// awaitReady waits until n VMs are in rotation.
func (d *deployment) awaitReady(n int, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.fabric.inRotation() >= n {
			return nil
		}
	}
	return errNotReady
}

// results counts how requests ended.
type results struct {
	mu                                     sync.Mutex
	sent, served, reset, hostReset, silent int
}

func (r *results) add(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	switch {
	case err == nil:
		r.served++
	case errors.Is(err, errOwnReset):
		r.reset++
	case errors.Is(err, errHostReset):
		r.hostReset++
	default:
		r.silent++
	}
}

func (r *results) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d sent, %d served, %d reset by the system, %d reset by a backend server, %d without an answer",
		r.sent, r.served, r.reset, r.hostReset, r.silent)
}

// load opens a flow for each request, perSecond of them, until stop is closed.
func (d *deployment) load(c *caller, service string, perSecond float64, stop <-chan struct{}, r *results) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		id := fmt.Sprintf("%s-%s-%d", service, c.addr, n)
		wg.Go(func() {
			f, err := c.open(d.route(service))
			if err == nil {
				if _, err = f.request(id, 1500*time.Millisecond); err == nil {
					f.close()
				}
			}
			d.rec.logf("request %s: %v", id, err)
			r.add(err)
		})
	}
}
