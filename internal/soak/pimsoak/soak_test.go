package pimsoak

import (
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	// The test builds the program, so the test cache must depend on its packages.
	_ "github.com/pimentoyard/pimentoyard/internal/pimentry"
	_ "github.com/pimentoyard/pimentoyard/platform"
)

// timingDependent contains the kinds of violations that depend on the speed of the machine. They do not fail this test,
// but they count in manual runs.
var timingDependent = map[string]bool{
	"reset_in_calm": true, "reset_in_planned_work": true, "evacuated": true, "burst": true, "after_burst": true,
}

// Guards against violated invariants during a short series of overlapping faults: a process that exits unexpectedly, a
// configuration version that goes back, an answer to another request or from another service, a corrupted packet, too many opening
// packets at a backend server in slow start, VMs that do not reach the same view or do not serve after the faults.
func TestShortSoak(t *testing.T) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "pimentry")
	out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/pimentry").CombinedOutput()
	is.NoErr(err)
	is.Equal(string(out), "")
	for _, kind := range []struct{ spray, planned bool }{{}, {spray: true}, {planned: true}} {
		cfg := Config{
			Seed: 1, Length: 4 * time.Second, VMs: 3, HostsPerService: 2, Callers: 3, Spray: kind.spray, Planned: kind.planned,
			Binary: binary, Directory: t.TempDir(), Network: 148, Log: zerolog.Nop(),
		}
		report, err := Run(t.Context(), cfg)
		is.NoErr(err)
		is.True(report.Counts["request: ok"] > 0)
		for _, v := range report.Violations {
			t.Logf("%d ms %s: %s", v.AtMs, v.Kind, v.Text)
			if !timingDependent[v.Kind] {
				printLogs(t, cfg.Directory)
				t.Fail()
			}
		}
	}
}

// printLogs logs the last lines of the log file of each VM.
func printLogs(t *testing.T, directory string) {
	t.Helper()
	const lines = 20
	files, err := filepath.Glob(filepath.Join(directory, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		all := strings.Split(strings.TrimSpace(string(text)), "\n")
		t.Logf("%s:\n%s", filepath.Base(file), strings.Join(all[max(0, len(all)-lines):], "\n"))
	}
}

// Guards against fault names in the help of `pimbench soak` that have no implementation.
func TestFaultNames(t *testing.T) {
	is := is.New(t)
	is.True(len(FaultNames()) >= 18)
	for _, name := range slices.Concat(FaultNames(), PlannedFaults) {
		is.True(faults[name] != nil)
	}
}

// Guards against a soak that ends a program by a signal that arrives before its first line: seed 3 did so, and then reported that the
// program had ended by itself.
func TestIgnoredSignalIsSeen(t *testing.T) {
	is := is.New(t)
	is.True(!ignoresSignal(os.Getpid(), syscall.SIGUSR2))
	signal.Ignore(syscall.SIGUSR2)
	defer signal.Reset(syscall.SIGUSR2)
	is.True(ignoresSignal(os.Getpid(), syscall.SIGUSR2))
}
