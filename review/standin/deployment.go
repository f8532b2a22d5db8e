//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pimentoyard/pimentoyard/platform/platformtest"
)

// network is the second byte of all addresses of a case: 127.network.x.y.
const network = 83

// program is built by the deploy file, whose command is "target/pimentry run --settings FILE".
const program = "target/pimentry"

// dataCentre is the data centre of VMs and backend servers.
const dataCentre = "bagmati-a"

// The two services and their published addresses.
const (
	feed  = "matchroom"
	clips = "cliphall"
)

var addresses = map[string]netip.AddrPort{
	feed: netip.MustParseAddrPort("127.83.9.1:8443"), clips: netip.MustParseAddrPort("127.83.9.2:8443"),
}

// deployment is a small installation on loopback addresses.
type deployment struct {
	*platformtest.Environment
	rec *record
	// trouble is unset if the case is to run without its disruption.
	trouble bool
	dir     string
	// lastCaller is the number of the VM that has called the store last.
	lastCaller atomic.Int64
	vms        []*vm
	cleanups   []func()

	mu   sync.Mutex
	born map[*platformtest.Host]int64
	taps map[*platformtest.Host]*tap
}

func newDeployment(rec *record, trouble bool) (d *deployment, cleanup func(), err error) {
	d = &deployment{rec: rec, trouble: trouble, born: map[*platformtest.Host]int64{}, taps: map[*platformtest.Host]*tap{}}
	cleanup = func() {
		for _, f := range slices.Backward(d.cleanups) {
			f()
		}
	}
	defer func() {
		if err != nil {
			cleanup()
		}
	}()
	var stop func()
	if d.Environment, stop, err = platformtest.NewEnvironment(network); err != nil {
		return nil, nil, err
	}
	d.cleanups = append(d.cleanups, stop)
	d.Spray = false
	if d.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, nil, err
	}
	d.cleanups = append(d.cleanups, func() { _ = os.RemoveAll(d.dir) })
	return d, cleanup, nil
}

// pagesOnly removes the header with the era, which the users' pages do not name, from the responses of the stand-in store.
type pagesOnly struct{ http.ResponseWriter }

func (w pagesOnly) Write(b []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(b)
}

func (w pagesOnly) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

// serveStore serves the store for one VM at an address of its own, so that its calls can be told from those of the others.
func (d *deployment) serveStore(vm int) (address netip.AddrPort, err error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", fmt.Sprintf("127.%d.0.%d:0", network, 10+vm))
	if err != nil {
		return address, err
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.lastCaller.Store(int64(vm))
		d.Store.ServeHTTP(pagesOnly{w}, r)
	})}
	go func() { _ = server.Serve(listener) }() // ends with server.Close
	d.cleanups = append(d.cleanups, func() { _ = server.Close() })
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

// addHosts starts n backend servers of a service and publishes their entries with their own start times.
func (d *deployment) addHosts(service string, n int, serviceTime time.Duration) (hosts []*platformtest.Host, err error) {
	for range n {
		h, err := d.AddHost(service, dataCentre, serviceTime)
		if err != nil {
			return nil, err
		}
		t, err := d.newTap(h)
		if err != nil {
			return nil, err
		}
		d.mu.Lock()
		d.born[h], d.taps[h] = time.Now().UnixMilli(), t
		d.mu.Unlock()
		hosts = append(hosts, h)
		if err = d.publish(h, nil); err != nil {
			return nil, err
		}
	}
	return hosts, nil
}

// entry returns the entry of a backend server, with some fields replaced, or removed if their value is nil.
func (d *deployment) entry(h *platformtest.Host, replace map[string]any) map[string]any {
	e := h.Entry()
	d.mu.Lock()
	e["born"], e["address"] = d.born[h], d.taps[h].address.String()
	d.mu.Unlock()
	maps.Copy(e, replace)
	maps.DeleteFunc(e, func(_ string, v any) bool { return v == nil })
	return e
}

func (d *deployment) publish(h *platformtest.Host, replace map[string]any) error {
	_, err := d.Store.PutJSON("servers/"+h.Name(), d.entry(h, replace))
	return err
}

// configure publishes the routes of both services.
func (d *deployment) configure() error {
	return d.Configure(
		platformtest.RouteConfig{Address: addresses[feed], Service: feed}, platformtest.RouteConfig{Address: addresses[clips], Service: clips},
	)
}

// settings follow deploy/entry.toml.tmpl.
const settings = `[node]
name = "frontend-%[1]s-%[2]d"
data_centre = "%[1]s"
[edge]
packet_address = "%[3]s:%[4]d"
check_address = "%[3]s:%[5]d"
[platform]
address = "%[8]s"
in_force_within = "3000ms"
[peer]
address = "%[3]s:%[6]d"
seeds = [%[9]s]
[cluster]
secret = "4f83213883bde8ac2c8c8b0d83a51ae82f43a0c8f6ab064482151da86d23dcc8"
[operator]
address = "%[3]s:%[7]d"
`

// vm is one process of the program.
type vm struct {
	d       *deployment
	n       int
	address netip.Addr
	file    string
	log     *os.File
	cmd     *exec.Cmd
	// ended receives the result of each run.
	ended chan error
}

// addVM writes the settings of the next VM, which is not started yet.
func (d *deployment) addVM(seeds ...int) (v *vm, err error) {
	n := len(d.vms) + 1
	v = &vm{d: d, n: n, address: d.VMAddress(n), file: filepath.Join(d.dir, fmt.Sprintf("vm-%d.toml", n)), ended: make(chan error, 1)}
	store, err := d.serveStore(n)
	if err != nil {
		return nil, err
	}
	if err = v.writeSettings(store, seeds...); err != nil {
		return nil, err
	}
	if v.log, err = os.Create(filepath.Join(d.dir, fmt.Sprintf("vm-%d.log", n))); err != nil {
		return nil, err
	}
	d.vms = append(d.vms, v)
	d.cleanups = append(d.cleanups, v.kill)
	return v, nil
}

func (v *vm) writeSettings(store netip.AddrPort, seeds ...int) error {
	d := v.d
	var list []string
	for _, s := range seeds {
		list = append(list, fmt.Sprintf("%q", netip.AddrPortFrom(d.VMAddress(s), d.OpsPort)))
	}
	text := fmt.Sprintf(settings, dataCentre, v.n, v.address, d.PacketPort, d.ReadyPort, d.PeerPort, d.OpsPort, store, strings.Join(list, ", "))
	return os.WriteFile(v.file, []byte(text), 0o600)
}

func (v *vm) start() error {
	v.cmd = exec.Command(program, "run", "--settings", v.file)
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	if err := v.cmd.Start(); err != nil {
		v.cmd = nil
		return err
	}
	cmd := v.cmd
	go func() { v.ended <- cmd.Wait() }()
	return nil
}

// kill ends the process, if it runs.
func (v *vm) kill() {
	if v.cmd == nil {
		return
	}
	_ = v.cmd.Process.Signal(syscall.SIGCONT)
	_ = v.cmd.Process.Kill() // an error means that it has ended
	<-v.ended
	v.cmd = nil
}

// isReady makes the readiness check of the fabric.
func (v *vm) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/pimentoyard/readyz", netip.AddrPortFrom(v.address, v.d.ReadyPort))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var errNotReady = errors.New("VM is not ready in time")

// startVMs starts three VMs, waits until they are ready and puts them into rotation.
func (d *deployment) startVMs() error {
	var all []netip.Addr
	for range 3 {
		v, err := d.addVM(1, 2, 3)
		if err != nil {
			return err
		}
		if err = v.start(); err != nil {
			return err
		}
		all = append(all, v.address)
	}
	for _, v := range d.vms {
		if !await(10*time.Second, v.isReady) {
			return fmt.Errorf("%w: %d", errNotReady, v.n)
		}
	}
	d.SetVMs(all...)
	d.rec.printf("%d VMs ready", len(all))
	return nil
}

// await waits until a condition holds, for at most the given time.
func await(atMost time.Duration, ok func() bool) bool {
	for end := time.Now().Add(atMost); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
