package pimsettings

import (
	"os"
	"path/filepath"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/pimtoml"
)

// Read reads, decodes and validates a settings file. A relative path in the file is relative to the directory of the
// file. The error is pimtoml.Faults if the content of the file is wrong.
func Read(file string) (s Settings, err error) {
	defer func() { err = oops.In("pimsettings").Wrap(err) }()
	data, err := os.ReadFile(file)
	if err != nil {
		return s, err
	}
	s, faults := Decode(file, data)
	if f := s.Cluster.SecretFile; f != "" && !filepath.IsAbs(f) {
		s.Cluster.SecretFile = filepath.Join(filepath.Dir(file), f)
	}
	return s, faults.Err()
}

// Decode decodes and validates settings and returns every fault found.
func Decode(file string, data []byte) (s Settings, faults pimtoml.Faults) {
	s = Default()
	doc, faults := pimtoml.Decode(file, data, &s)
	v := validator{doc: doc, faults: faults}
	if !doc.Broken() {
		v.settings(&s)
	}
	v.faults.Sort()
	return s, v.faults
}
