//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is a small deployment: VMs of one data centre, the store, backend servers and a requester.
type deployment struct {
	dir, program string
	network      byte
	started      time.Time
	store        *store
	zone         string
	vms          []*vm
	servers      []*server
	// routes are the numbers of the published routes.
	routes    []int
	requester *requester
	// The ports that all VMs use, each on its own address.
	packetPort, readyPort, adminPort, peerPort uint16
	serverPort, storePort                      uint16

	mu      sync.Mutex
	version int
	out     *os.File
	runs    map[string]run
}

// run says which backend server ran a request, and when.
type run struct {
	server *server
	at     time.Time
	count  int
}

// vm is one VM: a process of the deploy file, with its channels to the store.
type vm struct {
	name     string
	ip       netip.Addr
	settings string
	proxy    *proxy
	process  *exec.Cmd
	ended    chan struct{}
	// calls receives the time of each call to the store.
	calls chan time.Time
}

func newDeployment(program, recordFile, zone string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	d := &deployment{
		dir: dir, program: program, network: byte(40 + os.Getpid()%180), started: time.Now(), store: newStore(), zone: zone, out: out,
		runs: map[string]run{},
	}
	for _, port := range []*uint16{&d.packetPort, &d.readyPort, &d.adminPort, &d.peerPort, &d.serverPort, &d.storePort} {
		if *port, err = freePort(); err != nil {
			return nil, err
		}
	}
	if d.requester, err = newRequester(netip.AddrPortFrom(d.address(3, 1), d.packetPort)); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(d.address(0, 1), d.storePort).String())
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends with the process
	return d, nil
}

// freePort returns a port that is free for TCP and UDP.
func freePort() (uint16, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }() // only its port number is needed
	return listener.Addr().(*net.TCPAddr).AddrPort().Port(), nil
}

// address returns the n-th address of a group: 0 is the store, 1 the VMs, 2 the backend servers, 3 the requesters.
func (d *deployment) address(group, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network, group, n})
}

func (d *deployment) record(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "%8.3f %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *deployment) ran(s *server, data string) {
	now := time.Now()
	d.mu.Lock()
	r := d.runs[data]
	d.runs[data] = run{server: s, at: now, count: r.count + 1}
	d.mu.Unlock()
	d.record("ran %s at %s of %s", data, s.name(), s.service)
}

// ranAt returns which backend server ran a request; ok is false if none did.
func (d *deployment) ranAt(data string) (r run, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok = d.runs[data]
	return r, ok
}

func (d *deployment) addServer(service string) (*server, error) {
	n := byte(len(d.servers) + 1)
	s, err := newServer(d, service, d.zone, netip.AddrPortFrom(d.address(2, n), d.serverPort))
	if err != nil {
		return nil, err
	}
	d.servers = append(d.servers, s)
	s.publish("ready")
	return s, nil
}

// route returns the address of the n-th route.
func route(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(n + 1)}), 8443)
}

// service is the service of all routes and backend servers.
const service = "order-desk"

// droppedRoute is a route that a configuration has dropped, and the time of its acknowledgement.
type droppedRoute struct {
	number int
	acked  time.Time
}

// dropRoute publishes a configuration without the first route.
func (d *deployment) dropRoute() droppedRoute {
	dropped := droppedRoute{number: d.routes[0]}
	d.routes = d.routes[1:]
	dropped.acked = d.configure()
	return dropped
}

// configure publishes a configuration with the present routes, and returns the time of the acknowledgement.
func (d *deployment) configure() time.Time {
	d.mu.Lock()
	d.version += 2
	version := d.version
	d.mu.Unlock()
	list := []map[string]any{}
	for _, n := range d.routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", n), "host": route(n).Addr().String(), "prefix": fmt.Sprintf("/%d/", route(n).Port()),
			"type": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 200, "priority": 1, "service": service, "attempts": 2,
		})
	}
	d.store.put("op/config", map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 2000, "protocol": "h1", "tls": false}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	now := time.Now()
	d.record("version %d acknowledged, routes %v", version, d.routes)
	return now
}

// addVM writes the settings of a VM, as the template of the deploy file has them, and starts it.
func (d *deployment) addVM(name string) (err error) {
	n := byte(len(d.vms) + 1)
	v := &vm{name: name, ip: d.address(1, n), settings: filepath.Join(d.dir, name+".toml"), calls: make(chan time.Time, 1)}
	store := netip.AddrPortFrom(d.address(0, 10+n), d.storePort).String()
	if v.proxy, err = newProxy(store, netip.AddrPortFrom(d.address(0, 1), d.storePort).String(), func(b []byte, isSilent bool) {
		line, _, _ := strings.Cut(string(b), " HTTP/")
		select {
		case v.calls <- time.Now():
		default: // nobody waits for it
		}
		d.record("%s calls the store on a silent channel: %v: %s", v.name, isSilent, line)
	}); err != nil {
		return err
	}
	var seeds []string
	for i := range 2 {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(d.address(1, byte(i+1)), d.adminPort).String()))
	}
	text := fmt.Sprintf(`[node]
name = %q
data_centre = %q
[edge]
packet_address = "%v:%d"
check_address = "%v:%d"
[platform]
address = %q
in_force_within = "3000ms"
[peer]
address = "%v:%d"
seeds = [%s]
[cluster]
secret = "4f83213883bde8ac2c8c8b0d83a51ae82f43a0c8f6ab064482151da86d23dcc8"
[operator]
address = "%v:%d"
`, name, d.zone, v.ip, d.packetPort, v.ip, d.readyPort, store, v.ip, d.peerPort, strings.Join(seeds, ","), v.ip, d.adminPort)
	if err = os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return err
	}
	d.vms = append(d.vms, v)
	return d.start(v)
}

// start starts the process of a VM with the command of the deploy file.
func (d *deployment) start(v *vm) error {
	log, err := os.OpenFile(filepath.Join(d.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.process = exec.Command(d.program, "run", "--settings", v.settings)
	v.process.Stdout, v.process.Stderr = log, log
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = v.process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.ended = ended
	go func(p *exec.Cmd) {
		_ = p.Wait() // killed at the end
		_ = log.Close()
		close(ended)
	}(v.process)
	d.record("started %s", v.name)
	return nil
}

// kill ends the process of a VM with SIGKILL.
func (d *deployment) kill(v *vm) {
	_ = v.process.Process.Kill() // it may have ended
	<-v.ended
	d.record("killed %s", v.name)
}

func (d *deployment) packetAddress(v *vm) netip.AddrPort {
	return netip.AddrPortFrom(v.ip, d.packetPort)
}

// isReady asks a VM as the fabric does.
func (d *deployment) isReady(v *vm) bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%v:%d/pimentoyard/readyz", v.ip, d.readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready.
func (d *deployment) awaitReady(within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		isReady := true
		for _, v := range d.vms {
			isReady = isReady && d.isReady(v)
		}
		if isReady {
			d.record("all VMs are ready")
			return true
		}
	}
	return false
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close(keepLogs bool) {
	for _, v := range d.vms {
		_ = v.process.Process.Kill() // it may have ended
		<-v.ended
	}
	_ = d.out.Close()
	if !keepLogs {
		_ = os.RemoveAll(d.dir)
	}
}
