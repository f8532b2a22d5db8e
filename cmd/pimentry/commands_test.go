package main

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/pimcli"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against faults of a settings file that are reported without line and key, and against unintended changes of
// the help texts.
func TestCommands(t *testing.T) {
	for name, tc := range map[string]struct {
		args []string
		code int
	}{
		"help":          {[]string{"--help"}, pimcli.ExitOK},
		"check_help":    {[]string{"check", "--help"}, pimcli.ExitOK},
		"check_ok":      {[]string{"check", "--settings", "testdata/good.toml"}, pimcli.ExitOK},
		"check_faults":  {[]string{"check", "--settings", "testdata/faults.toml"}, pimcli.ExitFault},
		"check_missing": {[]string{"check", "--settings", "testdata/missing.toml"}, pimcli.ExitFault},
		"run_faults":    {[]string{"run", "--settings", "testdata/faults.toml"}, pimcli.ExitFault},
		"no_settings":   {[]string{"run"}, pimcli.ExitUsage},
		"explain_help":  {[]string{"explain", "--help"}, pimcli.ExitOK},
		"explain_no_vm": {[]string{"explain", "198.18.0.1:443"}, pimcli.ExitUsage},
		"explain_route": {[]string{"explain", "--vm", "127.0.0.1:1", "desk"}, pimcli.ExitFault},
		"explain_vm":    {[]string{"explain", "--vm", "vm-1", "198.18.0.1:443"}, pimcli.ExitFault},
		"unknown":       {[]string{"walk"}, pimcli.ExitUsage},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.Equal(execute(tc.args, &out, &out), tc.code)
			file := filepath.Join("testdata", name+".golden")
			if *update {
				is.NoErr(os.WriteFile(file, out.Bytes(), 0o644))
			}
			want, err := os.ReadFile(file)
			is.NoErr(err)
			is.Equal(out.String(), string(want))
		})
	}
}
