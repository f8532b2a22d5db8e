package pimsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/samber/oops"
)

// settingsText is the template of the settings file of a VM.
var settingsText = template.Must(template.New("settings").Parse(`[node]
name = "vm-{{.N}}"
data_centre = "ikeja"
[edge]
packet_address = "{{.Packets}}"
check_address = "{{.Ready}}"
[peer]
address = "{{.Peer}}"
seeds = [{{range $i, $s := .Seeds}}{{if $i}}, {{end}}"{{$s}}"{{end}}]
[cluster]
secret = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
[platform]
address = "{{.Platform}}"
timeout = "500ms"
evacuated_within = "{{.EvacuatedWithin}}"
[slow_start]
overage = {{.Overage}}
slack = {{.Slack}}
[operator]
address = "{{.Ops}}"
`))

// vm is one process of the program under test.
type vm struct {
	n       int
	address netip.Addr
	file    string
	run     *run
	proxy   *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// endExpected is set when the soak sends the process a signal that ends it.
	endExpected bool
	paused      bool
	done        chan struct{}
	// logged is the size of the log when the process was started.
	logged int64
	log    *os.File
	// version is the highest configuration version that this process has reported.
	version uint64
	started time.Time
}

func newVM(r *run, n int, p *proxy) (v *vm, err error) {
	defer func() { err = oops.In("pimsoak").Wrapf(err, "prepare VM %d", n) }()
	v = &vm{n: n, address: r.env.VMAddress(n), run: r, proxy: p}
	v.file = filepath.Join(r.cfg.Directory, fmt.Sprintf("vm-%d.toml", n))
	at := netip.AddrPortFrom
	var seeds []netip.AddrPort
	for i := 1; i <= min(3, r.cfg.VMs); i++ {
		seeds = append(seeds, at(r.env.VMAddress(i), r.env.OpsPort))
	}
	var text bytes.Buffer
	err = settingsText.Execute(&text, map[string]any{
		"N": n, "Packets": at(v.address, r.env.PacketPort), "Ready": at(v.address, r.env.ReadyPort),
		"Peer": at(v.address, r.env.PeerPort), "Ops": at(v.address, r.env.OpsPort),
		"Platform": p.address(), "Seeds": seeds,
		"EvacuatedWithin": evacuatedWithin, "Overage": warmupOverage, "Slack": warmupSlack,
	})
	if err != nil {
		return nil, err
	}
	if err = os.WriteFile(v.file, text.Bytes(), 0o600); err != nil {
		return nil, err
	}
	v.log, err = os.Create(filepath.Join(r.cfg.Directory, fmt.Sprintf("vm-%d.log", n)))
	return v, err
}

// start starts the process; it does nothing if the process runs already.
func (v *vm) start() (err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		return nil
	}
	// The process does not get the context of the run, so that it ends only on signals that the soak sends.
	cmd := exec.CommandContext(context.Background(), v.run.cfg.Binary, "run", "--settings", v.file)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	// If the shell that started the soak exits while a VM is paused, the kernel would resume all processes of its group.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err = cmd.Start(); err != nil {
		return err
	}
	v.cmd, v.endExpected, v.paused, v.version, v.started = cmd, false, false, 0, time.Now()
	v.logged = v.logSize()
	v.done = make(chan struct{})
	v.run.parts.set(v.part(), false, v.started)
	v.run.parts.touch(v.part(), v.started)
	go v.waitForExit(cmd, v.done)
	return nil
}

// waitForExit waits for the end of the process and records a violation if the process exited unexpectedly.
func (v *vm) waitForExit(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	v.mu.Lock()
	if !v.endExpected {
		v.run.addViolation("own_exit", "vm %d exited unexpectedly: %v", v.n, err)
	}
	v.cmd = nil
	v.mu.Unlock()
	close(done)
}

// awaitHangupHandled waits until the program has run its first line, by which it ignores SIGHUP until it can handle it: an earlier
// signal ends any program. Once it has logged anything, it handles the signal. It returns false if no process runs, or if this one
// does not get that far, for example since it is paused.
func (v *vm) awaitHangupHandled() bool {
	const interval, tries = time.Millisecond, 200
	for range tries {
		if v.handlesHangup() {
			return true
		}
		time.Sleep(interval)
	}
	return false
}

func (v *vm) handlesHangup() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cmd != nil && (v.logSize() > v.logged || ignoresSignal(v.cmd.Process.Pid, syscall.SIGHUP))
}

func (v *vm) logSize() int64 {
	info, err := v.log.Stat()
	if err != nil {
		return 0
	}
	return info.Size()
}

// ignoresSignal reports whether a process ignores a signal.
func ignoresSignal(pid int, sig syscall.Signal) bool {
	p, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(p)) {
		if mask, ok := strings.CutPrefix(line, "SigIgn:"); ok {
			bits, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64)
			return err == nil && bits&(1<<(sig-1)) != 0
		}
	}
	return false
}

// signal sends a signal to the process and returns a channel that is closed when the process has ended. If no process
// runs, it returns nil.
func (v *vm) signal(sig syscall.Signal) (done chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return nil
	}
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM:
		v.endExpected = true
	case syscall.SIGSTOP:
		v.paused = true
	case syscall.SIGCONT:
		v.paused = false
	}
	v.run.parts.set(v.part(), v.endExpected || v.paused, time.Now())
	if err := v.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		v.run.cfg.Log.Warn().Err(err).Int("vm", v.n).Msg("signal not sent")
	}
	return v.done
}

// part is the name of the process among the parts that faults disturb.
func (v *vm) part() string { return processPart + v.address.String() }

// end stops the process for good and closes its log.
func (v *vm) end() {
	v.signal(syscall.SIGCONT)
	if done := v.signal(syscall.SIGKILL); done != nil {
		<-done
	}
	if err := v.log.Close(); err != nil {
		v.run.cfg.Log.Warn().Err(err).Msg("log not closed")
	}
}

// isReady reports whether the VM passes the readiness check, by which the fabric selects VMs.
func (v *vm) isReady(ctx context.Context) bool {
	_, err := v.get(ctx, v.run.env.ReadyPort, "/pimentoyard/readyz", 300*time.Millisecond)
	return err == nil
}

// status contains the checked fields of the status of a VM.
type status struct {
	Era      uint64 `json:"era"`
	Revision uint64 `json:"revision"`
	Version  uint64 `json:"config_version"`
}

// status returns the status of the VM, and records a violation if its configuration version went back.
func (v *vm) status(ctx context.Context) (s status, err error) {
	v.mu.Lock()
	before, done := v.version, v.done
	v.mu.Unlock()
	text, err := v.get(ctx, v.run.env.OpsPort, "/status", time.Second)
	if err != nil {
		return s, err
	}
	if err = json.Unmarshal(text, &s); err != nil {
		return s, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if done != v.done {
		return s, nil // the VM was restarted, so the versions are not comparable
	}
	if s.Version < before {
		v.run.addViolation("config_went_back", "vm %d reports configuration version %d after %d", v.n, s.Version, before)
	}
	v.version = max(v.version, s.Version)
	return s, nil
}

// isReader reports whether the VM reads the platform for its data centre.
func (v *vm) isReader(ctx context.Context) bool {
	var s struct {
		Reader bool `json:"reader"`
	}
	text, err := v.get(ctx, v.run.env.OpsPort, "/status", time.Second)
	return err == nil && json.Unmarshal(text, &s) == nil && s.Reader
}

func (v *vm) get(ctx context.Context, port uint16, path string, timeout time.Duration) (text []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s", netip.AddrPortFrom(v.address, port), path)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := v.run.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("VM %d answered with HTTP status %d", v.n, resp.StatusCode)
	}
	return io.ReadAll(resp.Body)
}
