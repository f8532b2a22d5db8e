package pimsoak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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
var timingDependent = map[string]bool{"reset_in_calm": true}

// Guards against violated invariants during a short series of overlapping faults: a process that exits unexpectedly, a
// configuration version that goes back, an answer to another request or from another service, a corrupted packet, VMs
// that do not reach the same view or do not serve after the faults.
func TestShortSoak(t *testing.T) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "pimentry")
	out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/pimentry").CombinedOutput()
	is.NoErr(err)
	is.Equal(string(out), "")
	for _, spray := range []bool{false, true} {
		cfg := Config{
			Seed: 1, Length: 4 * time.Second, VMs: 3, HostsPerService: 2, Callers: 3, Spray: spray,
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
	for _, name := range FaultNames() {
		is.True(faults[name] != nil)
	}
}
