package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/standin/standplatform"
)

// runJSON runs a subcommand with --json and returns its series.
func runJSON(t *testing.T, args ...string) (list []series) {
	t.Helper()
	is := is.New(t)
	var buf bytes.Buffer
	_, err := newParser(&buf).ParseArgs(append([]string{args[0], "--json"}, args[1:]...))
	is.NoErr(err)
	is.NoErr(json.Unmarshal(buf.Bytes(), &list))
	return list
}

// Guards against a subcommand that fails, prints no JSON or leaves out a size.
func TestSlopesPrintJSON(t *testing.T) {
	for name, c := range map[string]struct {
		args   []string
		series int
	}{
		"router": {[]string{
			"--addresses=10", "--addresses=20", "--backends=30", "--backends=60", "--packets=100", "--updates=2",
		}, 8},
		"records": {[]string{"--size=10", "--size=20"}, 3},
		"slots":   {[]string{"--hosts=1", "--hosts=2", "--contracts=1", "--contracts=2", "--rounds=2"}, 8},
		"quota":   {[]string{"--size=2", "--size=4", "--active=2", "--vms=3", "--seconds=1"}, 8},
		"flows":   {[]string{"--size=10", "--size=20", "--packets=100"}, 3},
		"line":    {[]string{"--name=n", "--unit=B", "--of=x", "--size=1", "--size=2", "--value=3", "--value=5"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list := runJSON(t, append([]string{name}, c.args...)...)
			is.Equal(len(list), c.series)
			for _, s := range list {
				is.Equal(len(s.Sizes), 2)
				is.Equal(len(s.Values), 2)
			}
		})
	}
}

// Guards against state per flow in the decoder, router, quota pool or host table.
func TestNoStatePerOpenFlow(t *testing.T) {
	is := is.New(t)
	vm, err := newFlowVM()
	is.NoErr(err)
	is.NoErr(vm.openAll(flowsSample))
	const flows = 20_000
	grown := liveBytes(func() *flowVM {
		err = vm.openAll(flows)
		return vm
	})
	is.NoErr(err)
	is.True(grown/flows < 1) // bytes per flow
}

// Guards against records that are counted but not handed over.
func TestHandoverHoldsAllRecords(t *testing.T) {
	is := is.New(t)
	list := runJSON(t, "records", "--size=100", "--size=1000", "--answer=50")
	handover := list[2]
	is.True(handover.Fit.Slope > 50) // each record carries its answer
	is.True(handover.Fit.Slope < 150)
}

// Guards against a publication that the platform stand-in or a VM does not accept.
func TestPublicationIsAccepted(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	_, err := newParser(&buf).ParseArgs([]string{
		"publication", "--services=4", "--backends=9", "--contracts=5", "--data-centres=3", "--vms=6",
	})
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "publication.json")
	is.NoErr(os.WriteFile(path, buf.Bytes(), 0o600))
	state, err := standplatform.Load(path)
	is.NoErr(err)
	_, vms := state.VMs()
	is.Equal(len(vms), 6)
	revision, keys := state.Entries()
	snap := pimconfig.Snapshot{Revision: revision}
	for _, kv := range keys {
		snap.Entries = append(snap.Entries, pimconfig.Event{Revision: kv.Revision, Key: kv.Key, Value: kv.Value})
	}
	store := pimconfig.NewStore(pimconfig.Settings{})
	is.NoErr(store.Restore(snap))
	is.Equal(len(store.BadValues()), 0)
	v := store.View()
	is.Equal([]int{len(v.Services), len(v.Backends), len(v.Contracts), len(v.Nodes), len(v.Keys)}, []int{4, 9, 5, 6, 1})
}

// Guards against sizes that are accepted although ids, ports or addresses would repeat.
func TestFleetSizeLimits(t *testing.T) {
	is := is.New(t)
	valid := fleetSize{Services: 8900, Backends: 33000, Contracts: 8900, DataCentres: 15, VMs: 5700}
	is.NoErr(valid.validate())
	for _, change := range []func(*fleetSize){
		func(s *fleetSize) { s.Services = 20_000 },
		func(s *fleetSize) { s.Contracts = 1 << 16 },
		func(s *fleetSize) { s.VMs = 0 },
	} {
		s := valid
		change(&s)
		is.True(s.validate() != nil)
	}
}
