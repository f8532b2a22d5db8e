package main

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against a fault of a settings file that is not named with its line and key, and against a changed usage.
func TestCommands(t *testing.T) {
	for name, tc := range map[string]struct {
		args []string
		code int
	}{
		"help":          {[]string{"--help"}, exitOK},
		"check_help":    {[]string{"check", "--help"}, exitOK},
		"check_ok":      {[]string{"check", "--settings", "testdata/good.toml"}, exitOK},
		"check_faults":  {[]string{"check", "--settings", "testdata/faults.toml"}, exitFault},
		"check_missing": {[]string{"check", "--settings", "testdata/missing.toml"}, exitFault},
		"run_faults":    {[]string{"run", "--settings", "testdata/faults.toml"}, exitFault},
		"no_settings":   {[]string{"run"}, exitUsage},
		"unknown":       {[]string{"walk"}, exitUsage},
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
