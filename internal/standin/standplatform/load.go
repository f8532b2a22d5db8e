package standplatform

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
)

// ErrFormat means that a file is neither TOML nor JSON.
var ErrFormat = errors.New("file is neither .toml nor .json")

// file is the content of a file that holds the whole state: the values by prefix and id, and the VMs.
type file struct {
	Services  map[string]any `toml:"services" json:"services"`
	Backends  map[string]any `toml:"backends" json:"backends"`
	Contracts map[string]any `toml:"contracts" json:"contracts"`
	Nodes     map[string]any `toml:"nodes" json:"nodes"`
	Keys      map[string]any `toml:"keys" json:"keys"`
	VMs       []any          `toml:"vms" json:"vms"`
}

// Load reads a TOML or JSON file, or a directory with one file per key such as contracts/1.toml and vms/1.json. A file
// with another extension gives ErrFormat.
func Load(path string) (s *State, err error) {
	defer func() { err = oops.In("standplatform").Wrapf(err, "load %s", path) }()
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	s = NewState()
	if info.IsDir() {
		return s, s.loadDir(path)
	}
	return s, s.loadFile(path)
}

func (s *State) loadFile(path string) error {
	var f file
	if err := decodeFile(path, &f); err != nil {
		return err
	}
	groups := []struct {
		prefix string
		values map[string]any
	}{
		{"services/", f.Services},
		{"backends/", f.Backends},
		{"contracts/", f.Contracts},
		{"nodes/", f.Nodes},
		{"keys/", f.Keys},
	}
	for _, g := range groups {
		for _, id := range sortedIDs(g.values) {
			if err := s.putAny(g.prefix+id, g.values[id]); err != nil {
				return err
			}
		}
	}
	for _, vm := range f.VMs {
		if err := s.putVM(vm); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) loadDir(root string) error {
	return filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		var v any
		if err = decodeFile(path, &v); err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		key := strings.TrimSuffix(filepath.ToSlash(rel), filepath.Ext(rel))
		if strings.HasPrefix(key, "vms/") {
			return s.putVM(v)
		}
		return s.putAny(key, v)
	})
}

func decodeFile(path string, target any) error {
	p, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	switch filepath.Ext(path) {
	case ".toml":
		return toml.NewDecoder(bytes.NewReader(p)).DisallowUnknownFields().Decode(target)
	case ".json":
		dec := json.NewDecoder(bytes.NewReader(p))
		dec.DisallowUnknownFields()
		return dec.Decode(target)
	}
	return ErrFormat
}

func (s *State) putAny(key string, v any) error {
	p, err := json.Marshal(v)
	if err != nil {
		return err
	}
	s.Put(key, p)
	return nil
}

func (s *State) putVM(v any) error {
	p, err := json.Marshal(v)
	if err != nil {
		return err
	}
	var n pimview.Node
	dec := json.NewDecoder(bytes.NewReader(p))
	dec.DisallowUnknownFields()
	if err = dec.Decode(&n); err != nil {
		return err
	}
	s.SetVM(n)
	return nil
}

func sortedIDs(m map[string]any) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
