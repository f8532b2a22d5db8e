package pimsettings

import (
	"os"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/pimtoml"
)

// Read reads, decodes and validates a settings file; the error is pimtoml.Faults if its content is wrong.
func Read(file string) (s Settings, err error) {
	defer func() { err = oops.In("pimsettings").Wrap(err) }()
	data, err := os.ReadFile(file)
	if err != nil {
		return s, err
	}
	s, faults := Decode(file, data)
	return s, faults.Err()
}

// Decode decodes and validates settings and returns every fault found.
func Decode(file string, data []byte) (s Settings, faults pimtoml.Faults) {
	s = Default()
	doc, faults := pimtoml.Decode(file, data, &s)
	v := validator{doc: doc, faults: faults}
	v.settings(&s)
	v.faults.Sort()
	return s, v.faults
}
