package pimregistry

import (
	"testing"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// FuzzMerge guards against changes of another VM, such as one of another version, that end the process or move the view back.
func FuzzMerge(f *testing.F) {
	seed := func(d Delta) {
		data, err := pimmesh.Encode(&d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	clock := &pimclock.Manual{}
	full := viewOfEraOne(f, clock)
	seed(full.Since(DeltaRequest{}))
	seed(full.Since(DeltaRequest{From: inEra(1, 10), Base: inEra(1, 5), Config: 10}))
	seed(Delta{From: 10, To: 12, Hosts: []HostState{{}}, Removed: []RemovedHost{{}}, Config: &ConfigDelta{Version: 9}, Version: 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		var d Delta
		if err := pimmesh.Decode(data, &d); err != nil {
			return
		}
		r := startedRegistry(t, clock)
		before, version := r.Revision(), r.Catalog().Routes.Version
		_ = r.Merge(d) // a refused delta changes nothing
		if r.Revision() < before || r.Catalog().Routes.Version < version {
			t.Fatalf("went back to revision %v, version %v", r.Revision(), r.Catalog().Routes.Version)
		}
		_ = r.Since(DeltaRequest{})
		r.ReadSucceeded(0)
		clock.Advance(time.Second)
		if err := r.Restore(Snapshot{Revision: max(r.Revision(), inEra(1, 30)), Changes: []Change{configChange(inEra(1, 22), 11, route(1, time.Second))}}); err != nil {
			t.Fatal(err)
		}
	})
}
