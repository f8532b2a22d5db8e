package pimcontract

import (
	"os"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/pimtoml"
)

// Fault is one error in a contract or fleet file, with file, line, key and reason.
type Fault = pimtoml.Fault

// Faults is the list of all errors of a publication.
type Faults = pimtoml.Faults

// Source is the name and content of one file.
type Source struct {
	Name string
	Data []byte
}

// Read reads the files and decodes and validates them together. The error contains Faults if a file's content is wrong,
// or is the error of reading a file.
func Read(files ...string) (pub Publication, err error) {
	defer func() { err = oops.In("pimcontract").Wrap(err) }()
	sources := make([]Source, len(files))
	for i, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			return pub, err
		}
		sources[i] = Source{Name: name, Data: data}
	}
	pub, faults := Decode(sources...)
	return pub, faults.Err()
}

// Decode decodes and validates the files together and returns every fault found.
func Decode(sources ...Source) (pub Publication, faults Faults) {
	v := validator{pub: &pub}
	for _, s := range sources {
		var part Publication
		doc, found := pimtoml.Decode(s.Name, s.Data, &part)
		faults = append(faults, found...)
		if !doc.Broken() {
			v.add(doc, &part)
		}
	}
	v.validate()
	faults = append(faults, v.faults...)
	faults.Sort()
	return pub, faults
}
