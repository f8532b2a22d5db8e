package pimplan

import (
	"errors"
	"path/filepath"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
)

// ErrNoFiles means that a directory contains no TOML files.
var ErrNoFiles = errors.New("no .toml files in the directory")

// ReadDir reads the publication that consists of all TOML files of a directory; the error is pimcontract.Faults if
// their content is wrong.
func ReadDir(dir string) (pub pimcontract.Publication, err error) {
	defer func() { err = oops.In("pimplan").With("dir", dir).Wrap(err) }()
	files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return pub, err
	}
	if len(files) == 0 {
		return pub, ErrNoFiles
	}
	return pimcontract.Read(files...)
}
