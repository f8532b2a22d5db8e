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

	// The program is built by the test, so the test cache must depend on its packages.
	_ "github.com/pimentoyard/pimentoyard/internal/pimentry"
	_ "github.com/pimentoyard/pimentoyard/platform"
)

// timingDependent are the kinds of violations whose verdict depends on the speed of the machine; they count in runs by hand.
var timingDependent = map[string]bool{"reset_in_calm": true}

// Guards against any broken promise under a short series of overlapping faults: a process that ends by itself, a
// configuration that goes back, an answer to another request or of another service, a changed packet, VMs that do not
// agree or do not serve after the faults.
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

// printLogs prints the last lines of each VM.
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

// Guards against kinds of faults that a command names and nobody knows.
func TestFaultNames(t *testing.T) {
	is := is.New(t)
	is.True(len(FaultNames()) >= 18)
	for _, name := range FaultNames() {
		is.True(faults[name] != nil)
	}
}
