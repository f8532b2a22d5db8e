package pimsettings

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against faults that are not reported, or reported at the wrong line.
func TestReadReportsEveryFault(t *testing.T) {
	is := is.New(t)
	_, err := Read("testdata/faults.toml")
	if *update {
		is.NoErr(os.WriteFile("testdata/faults.golden", []byte(err.Error()+"\n"), 0o600))
	}
	want, readErr := os.ReadFile("testdata/faults.golden")
	is.NoErr(readErr)
	is.Equal(err.Error()+"\n", string(want))
}

// Guards against example settings that the program rejects, two VMs with the same address, and defaults that are not
// applied.
func TestDeploymentSettingsAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../deploy/*/settings/*.toml")
	is.NoErr(err)
	is.Equal(len(files), 16)
	used := map[string]bool{}
	for _, file := range files {
		s, err := Read(file)
		is.NoErr(err)
		is.True(!used[s.Node.PeerAddress.String()] && !used[s.Operator.Address.String()])
		used[s.Node.PeerAddress.String()], used[s.Operator.Address.String()] = true, true
		is.Equal(time.Duration(s.Drain.Timeout), 30*time.Second)
		secret, err := s.Cluster.Load()
		is.NoErr(err)
		is.Equal(len(secret), MinSecretBytes)
	}
}

// Guards against panics, and against accepted settings that lack the peer address or the URL of the platform.
func FuzzDecode(f *testing.F) {
	for _, file := range []string{"testdata/faults.toml", "../../deploy/jhankri_steps/settings/vm1.toml"} {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, faults := Decode("fuzz.toml", data)
		is := is.New(t)
		is.True(len(faults) > 0 || s.Node.PeerAddress.IsValid() && len(s.Platform.URLs) > 0)
	})
}
