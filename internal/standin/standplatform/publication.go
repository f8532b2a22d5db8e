package standplatform

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
)

// publicationAge is how long ago the VM list and the token key of a publication were published, as their times state it.
// VMs use their shares at once if the list is at least 16 s old.
const publicationAge = time.Hour

// LoadPublication reads contract and fleet files and publishes them with one token key of 16 bytes.
func LoadPublication(now time.Time, key []byte, files ...string) (s *State, err error) {
	defer func() { err = oops.In("standplatform").Wrapf(err, "load publication") }()
	pub, err := pimcontract.Read(files...)
	if err != nil {
		return nil, err
	}
	values, err := pub.Values()
	if err != nil {
		return nil, err
	}
	s = NewState()
	for k, v := range values {
		s.Put(k, v)
	}
	published := now.Add(-publicationAge)
	for _, n := range pub.Nodes {
		if err = s.putNode(n, published); err != nil {
			return nil, err
		}
	}
	value, err := json.Marshal(pimview.Key{ID: 1, Secret: key, PublishedAt: published})
	if err != nil {
		return nil, err
	}
	s.Put("keys/1", value)
	return s, nil
}

// putNode publishes a VM under its key and on the list.
func (s *State) putNode(n pimcontract.Node, published time.Time) error {
	n.PublishedAt = published
	value, err := json.Marshal(n)
	if err != nil {
		return err
	}
	s.Put(fmt.Sprintf("nodes/%d", n.ID), value)
	s.SetVM(n)
	return nil
}
