package pimcontract

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against faults that are missed, reported twice or reported at the wrong line.
func TestDecodeReportsEveryFault(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			_, err := Read(file)
			golden := strings.TrimSuffix(file, ".toml") + ".golden"
			if *update {
				is.NoErr(os.WriteFile(golden, []byte(err.Error()+"\n"), 0o600))
			}
			want, readErr := os.ReadFile(golden)
			is.NoErr(readErr)
			is.Equal(err.Error()+"\n", string(want))
		})
	}
}

// Guards against example deployments that fail validation when an operator copies them, and against changes of their
// number of VMs, backend servers or slots.
func TestDeploymentsAreValid(t *testing.T) {
	for _, name := range []string{"jhankri_steps", "bottle_mould_makers"} {
		is := is.New(t)
		dir := filepath.Join("..", "..", "deploy", name)
		pub, err := Read(filepath.Join(dir, "contracts.toml"), filepath.Join(dir, "fleet.toml"))
		is.NoErr(err)
		is.Equal(len(pub.Nodes), 8)
		is.Equal(len(pub.Backends), 19)
		slots := map[string]int{}
		for _, b := range pub.Backends {
			slots[pub.Services[b.Service-1].Name] += int(b.Slots)
		}
		is.Equal(slots[pub.Services[0].Name], 30)
		is.Equal(slots[pub.Services[1].Name], 8)
	}
}

// Guards against configuration values that do not decode into the contracts and backend servers they were encoded from.
func TestValuesRoundTrip(t *testing.T) {
	is := is.New(t)
	pub, err := Read("../../deploy/bottle_mould_makers/contracts.toml", "../../deploy/bottle_mould_makers/fleet.toml")
	is.NoErr(err)
	values, err := pub.Values()
	is.NoErr(err)
	is.Equal(len(values), 2+19+5)
	var c Contract
	is.NoErr(json.Unmarshal(values["contracts/1"], &c))
	is.Equal(c, pub.Contracts[0])
	var b Backend
	is.NoErr(json.Unmarshal(values["backends/19"], &b))
	is.Equal(b, pub.Backends[18])
}

// Guards against panics, and against accepted files whose contracts break a rule that other packages rely on.
func FuzzDecode(f *testing.F) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range append(files, "../../deploy/jhankri_steps/contracts.toml") {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		pub, faults := Decode(Source{Name: "fuzz.toml", Data: data})
		if len(faults) > 0 {
			return
		}
		is := is.New(t)
		for _, c := range pub.Contracts {
			is.True(c.Terms.RateLimit > 0 && c.Terms.Burst >= 1)
			is.True(c.Terms.LendLimit <= c.Terms.GuaranteedSlots)
		}
		_, err := pub.Values()
		is.NoErr(err)
	})
}
