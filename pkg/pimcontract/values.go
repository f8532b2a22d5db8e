package pimcontract

import (
	"encoding/json"
	"fmt"

	"github.com/samber/oops"
)

// Prefixes of the configuration keys on the platform; an id in decimal follows.
const (
	ServicePrefix  = "services/"
	BackendPrefix  = "backends/"
	ContractPrefix = "contracts/"
)

// Values returns the services, backend servers and contracts as configuration keys with JSON values. VMs are not among
// them, since the platform lists them itself.
func (p *Publication) Values() (values map[string]json.RawMessage, err error) {
	defer func() { err = oops.In("pimcontract").Wrap(err) }()
	values = map[string]json.RawMessage{}
	put := func(prefix string, id, v any) {
		if data, e := json.Marshal(v); e != nil {
			err = e
		} else {
			values[fmt.Sprintf("%s%d", prefix, id)] = data
		}
	}
	for _, s := range p.Services {
		put(ServicePrefix, s.ID, s)
	}
	for _, b := range p.Backends {
		put(BackendPrefix, b.ID, b)
	}
	for _, c := range p.Contracts {
		put(ContractPrefix, c.ID, c)
	}
	return values, err
}
