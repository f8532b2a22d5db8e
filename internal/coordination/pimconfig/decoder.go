package pimconfig

import (
	"maps"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// decoder builds views from changes. Each change decodes only its own value, and only the maps that it changes are
// copied.
type decoder struct {
	view *pimview.View
	// bad holds the values that could not be decoded, by key.
	bad           map[string]*ValueError
	checkContract func(pimcontract.Contract) error
}

func newDecoder(check func(pimcontract.Contract) error) *decoder {
	if check == nil {
		check = func(pimcontract.Contract) error { return nil }
	}
	return &decoder{checkContract: check, bad: map[string]*ValueError{}, view: &pimview.View{
		Services:  map[pimid.ServiceID]pimview.Service{},
		Backends:  map[pimid.BackendID]pimview.Backend{},
		Contracts: map[pimid.ContractID]pimcontract.Contract{},
		Nodes:     map[pimid.NodeID]pimview.Node{},
	}}
}

// apply builds the view at revision to and returns the values that could not be decoded.
func (d *decoder) apply(to pimid.Revision, changes []Event) (bad []*ValueError) {
	next := *d.view
	next.Revision = to
	target := copyOnWrite{view: &next}
	for _, e := range changes {
		err := d.applyEvent(&target, e)
		if err == nil || e.Deleted {
			// A deleted key has no value in force, even if the key itself could not be decoded.
			delete(d.bad, e.Key)
			continue
		}
		v := &ValueError{Key: e.Key, Revision: e.Revision, Err: err}
		d.bad[e.Key] = v
		bad = append(bad, v)
	}
	d.view = &next
	return bad
}

func (d *decoder) badValues() map[string]*ValueError { return maps.Clone(d.bad) }

// copyOnWrite copies each map of a view before its first change, since published views share their maps. Its flags tell
// which maps have been copied.
type copyOnWrite struct {
	view                                 *pimview.View
	services, backends, contracts, nodes bool
}

// cloneOnce replaces *m by a copy unless this was done before, and returns it.
func cloneOnce[K comparable, V any](m *map[K]V, done *bool) map[K]V {
	if !*done {
		*m = maps.Clone(*m)
		*done = true
	}
	return *m
}
