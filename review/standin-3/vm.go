//go:build review

package main

import (
	"fmt"
	"hash/fnv"
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

// ports are those of all VMs.
type ports struct{ packet, ready, admin, peer uint16 }

// vm is one VM, with its present process.
type vm struct {
	name, zone string
	ip         netip.Addr
	seeds      []netip.Addr
	dir        string
	d          *deployment
	// storeAddress is that of the deployment, unless the VM has its own.
	storeAddress string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

// settings is deploy/entry.toml.tmpl, filled in.
func (v *vm) settings() string {
	p := v.d.ports
	var seeds []string
	for _, s := range v.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(s, p.admin)))
	}
	text := fmt.Sprintf(`[node]
name = %q
data_centre = %q

[edge]
packet_address = "%s:%d"
check_address = "%s:%d"

[platform]
address = %q
in_force_within = "%dms"

[peer]
address = "%s:%d"
seeds = [%s]

`, v.name, v.zone, v.ip, p.packet, v.ip, p.ready, v.storeAddress, v.d.configApply.Milliseconds(), v.ip, p.peer, strings.Join(seeds, ","))
	if v.d.slowStart {
		text += "[slow_start]\noverage = 1.5\nslack = 5\n"
	}
	return text + fmt.Sprintf(`[cluster]
secret = "4f83213883bde8ac2c8c8b0d83a51ae82f43a0c8f6ab064482151da86d23dcc8"

[operator]
address = "%s:%d"
`, v.ip, p.admin)
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	file := filepath.Join(v.dir, v.name+".toml")
	if err := os.WriteFile(file, []byte(v.settings()), 0o600); err != nil {
		return err
	}
	if v.log == nil {
		var err error
		if v.log, err = os.Create(filepath.Join(v.dir, v.name+".log")); err != nil {
			return err
		}
	}
	cmd := exec.Command("target/pimentry", "run", "--settings", file)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.d.rec.logf("VM %s starts, process %d", v.name, cmd.Process.Pid)
	done := make(chan struct{})
	go func() {
		err := cmd.Wait()
		v.d.rec.logf("VM %s ends, process %d: %v", v.name, cmd.Process.Pid, err)
		close(done)
	}()
	v.cmd, v.done = cmd, done
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		v.d.rec.logf("VM %s gets signal %v", v.name, s)
		_ = v.cmd.Process.Signal(s)
	}
}

// end sends a signal, waits for the process to end, and kills it after grace_s.
func (v *vm) end(s syscall.Signal) {
	v.signal(s)
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	select {
	case <-done:
	case <-time.After(6 * time.Second):
		v.signal(syscall.SIGKILL)
		<-done
	}
}

// fabric hands packets to the VMs that are in rotation.
type fabric struct {
	rec  *recorder
	port uint16

	mu       sync.Mutex
	vms      []*vm
	isIn     map[*vm]bool
	misses   map[*vm]int
	readyURL func(*vm) string
}

// choose returns the VM for a flow: of those in rotation the one with the highest hash, so that only the flows of a VM that leaves move.
func (f *fabric) choose(src netip.AddrPort) (to netip.AddrPort, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, v := range f.vms {
		if f.isIn[v] {
			n++
		}
	}
	useAll := 2*n < len(f.vms)
	var best uint64
	for _, v := range f.vms {
		if !useAll && !f.isIn[v] {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(src.String() + v.name + src.String()))
		if s := mix(h.Sum64()); !ok || s > best {
			to, best, ok = netip.AddrPortFrom(v.ip, f.port), s, true
		}
	}
	return to, ok
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// check asks a VM twice a second whether it is ready; after two misses it is out of rotation.
func (f *fabric) check(v *vm) {
	client := http.Client{Timeout: 400 * time.Millisecond}
	for range time.Tick(500 * time.Millisecond) {
		resp, err := client.Get(f.readyURL(v))
		isReady := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		f.mu.Lock()
		before := f.isIn[v]
		if isReady {
			f.isIn[v], f.misses[v] = true, 0
		} else if f.misses[v]++; f.misses[v] >= 2 {
			f.isIn[v] = false
		}
		if f.isIn[v] != before {
			f.rec.logf("fabric: VM %s in rotation %v", v.name, f.isIn[v])
		}
		f.mu.Unlock()
	}
}

func (f *fabric) inRotation() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.vms {
		if f.isIn[v] {
			n++
		}
	}
	return n
}
