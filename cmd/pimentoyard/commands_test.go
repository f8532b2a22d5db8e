package main

import (
	"bytes"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/pimcli"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const (
	planArgs      = "plan --from ../../deploy/bottle_mould_makers --to testdata/changed --at 2026-01-05T12:00:00Z"
	contractsFile = "../../deploy/bottle_mould_makers/contracts.toml"
)

// Guards against commands that omit a fault, a value or a warning, or that end with the wrong exit code.
func TestCommands(t *testing.T) {
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method+" "+r.URL.Path != "GET /status" {
			http.NotFound(w, r)
			return
		}
		http.ServeFile(w, r, "testdata/status.json")
	}))
	defer vm.Close()
	address := strings.TrimPrefix(vm.URL, "http://")
	for _, tt := range []struct {
		name string
		args string
		code int
	}{
		{"usage", "plan", pimcli.ExitUsage},
		{"check_ok", "check " + contractsFile + " testdata/changed/fleet.toml", pimcli.ExitOK},
		{"check_faults", "check ../../pkg/pimcontract/testdata/types.toml " + contractsFile, pimcli.ExitFault},
		{"check_json", "check --json ../../pkg/pimcontract/testdata/syntax.toml", pimcli.ExitFault},
		{"check_settings", "check --settings ../../internal/pimsettings/testdata/faults.toml", pimcli.ExitFault},
		{"check_missing", "check testdata/none.toml", pimcli.ExitFault},
		{"plan", planArgs, pimcli.ExitOK},
		{"plan_all", planArgs + " --all", pimcli.ExitOK},
		{"plan_json", planArgs + " --json", pimcli.ExitOK},
		{"plan_time", planArgs + " --at noon", pimcli.ExitFault},
		{"status", "status --address " + address, pimcli.ExitOK},
		{"status_json", "status --json --address " + address, pimcli.ExitOK},
		{"status_address", "status --address nowhere", pimcli.ExitFault},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			is.Equal(execute(strings.Fields(tt.args), &stdout, &stderr), tt.code)
			got := stdout.String()
			if stderr.Len() > 0 {
				got += "stderr:\n" + stderr.String()
			}
			golden := filepath.Join("testdata", tt.name+".golden")
			if *update {
				is.NoErr(os.WriteFile(golden, []byte(got), 0o600))
			}
			want, err := os.ReadFile(golden)
			is.NoErr(err)
			is.Equal(got, string(want))
		})
	}
}
