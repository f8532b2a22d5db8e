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
	evacuating := viewOfEraOne(f, clock)
	if err := evacuating.Apply(Batch{From: inEra(1, 23), To: inEra(1, 25), Changes: []Change{evacuate(inEra(1, 24), "ikeja")}}); err != nil {
		f.Fatal(err)
	}
	seed(evacuating.Since(DeltaRequest{}))
	seed(Delta{To: 12, Evacuations: &EvacuationSet{AsOf: 1 << 63, Evacuations: []Evacuation{{}, {DataCentre: "ikeja", Revision: 1}}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		var d Delta
		if err := pimmesh.Decode(data, &d); err != nil {
			return
		}
		r := startedRegistry(t, clock)
		before, version, asOf := r.Revision(), r.Catalog().Routes.Version, r.evacuations.asOf
		_ = r.Merge(d) // a refused delta changes nothing but evacuations
		if r.Revision() < before || r.Catalog().Routes.Version < version {
			t.Fatalf("went back to revision %v, version %v", r.Revision(), r.Catalog().Routes.Version)
		}
		if r.evacuations.asOf < asOf || r.Catalog().IsEvacuated("") {
			t.Fatalf("evacuations up to %v, before %v: %q", r.evacuations.asOf, asOf, r.Catalog().Evacuated())
		}
		_ = r.Since(DeltaRequest{})
		r.ReadSucceeded(r.clock.Now())
		clock.Advance(time.Second)
		if err := r.Restore(Snapshot{Revision: max(r.Revision(), inEra(1, 30)), Changes: []Change{configChange(inEra(1, 22), 11, route(1, time.Second))}}); err != nil {
			t.Fatal(err)
		}
	})
}
