package pimplatform

import (
	"encoding/json"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

type keysResponse struct {
	// Era is the number of times that the platform was restored from an older copy.
	Era      pimid.Era  `json:"era"`
	Revision uint64     `json:"revision"`
	Keys     []keyValue `json:"keys"`
}

type keyValue struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

type watchResponse struct {
	Era      pimid.Era    `json:"era"`
	Revision uint64       `json:"revision"`
	Events   []watchEvent `json:"events"`
}

type watchEvent struct {
	Revision uint64          `json:"revision"`
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// VMList is the list of VMs that the platform keeps; a higher version is newer.
type VMList struct {
	Version uint64         `json:"version"`
	VMs     []pimview.Node `json:"vms"`
}
