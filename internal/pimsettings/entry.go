package pimsettings

import (
	"net/netip"
	"os"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/pimtoml"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Entry are the settings of a VM that steers opaque flows.
type Entry struct {
	Node     EntryNode     `toml:"node"`
	Edge     EntryEdge     `toml:"edge"`
	Platform EntryPlatform `toml:"platform"`
	Peer     EntryPeer     `toml:"peer"`
	Cluster  Cluster       `toml:"cluster"`
	Operator Operator      `toml:"operator"`
	Log      Log           `toml:"log"`
	Drain    EntryDrain    `toml:"drain"`
}

// EntryNode says who and where this VM is.
type EntryNode struct {
	Name       string           `toml:"name"`
	DataCentre pimid.DataCentre `toml:"data_centre"`
}

// EntryEdge says where the fabric reaches this VM.
type EntryEdge struct {
	// PacketAddress receives the packets of callers; its port is also that of the callers.
	PacketAddress netip.AddrPort `toml:"packet_address"`
	// ReadinessAddress answers the readiness check of the fabric.
	ReadinessAddress netip.AddrPort `toml:"check_address"`
}

// EntryPlatform says where the published configuration is.
type EntryPlatform struct {
	Address netip.AddrPort `toml:"address"`
	// Timeout bounds one call that does not wait for a change.
	Timeout pimcontract.Duration `toml:"timeout"`
	// InForceWithin is the time within which a change has to be in force. How long a call may wait for a change, and
	// when another VM steps in for the one that reads, follow from it.
	InForceWithin pimcontract.Duration `toml:"in_force_within"`
}

// EntryPeer says how this VM finds the others.
type EntryPeer struct {
	// Address receives the messages of other VMs; all VMs use the same port.
	Address netip.AddrPort `toml:"address"`
	// Seeds are the operator addresses of VMs that may know others.
	Seeds []netip.AddrPort `toml:"seeds"`
}

// SeedAddresses returns where the seeds receive messages.
func (p EntryPeer) SeedAddresses() (addresses []netip.AddrPort) {
	for _, s := range p.Seeds {
		addresses = append(addresses, netip.AddrPortFrom(s.Addr(), p.Address.Port()))
	}
	return addresses
}

// EntryDrain says how a planned stop goes.
type EntryDrain struct {
	// Linger is how long a stopping VM goes on to forward packets after it has told the fabric.
	Linger pimcontract.Duration `toml:"linger"`
}

// DefaultEntry returns the settings that apply where a file says nothing.
func DefaultEntry() Entry {
	return Entry{
		Platform: EntryPlatform{
			Timeout: pimcontract.Duration(time.Second),
			// The shortest bound of the deployments in operation.
			InForceWithin: pimcontract.Duration(3 * time.Second),
		},
		Log: Log{Level: "info"},
		// The fabric asks twice a second and takes a VM out after two misses.
		Drain: EntryDrain{Linger: pimcontract.Duration(1600 * time.Millisecond)},
	}
}

// ReadEntry reads, decodes and validates the settings of a VM that steers opaque flows; the error is pimtoml.Faults if
// the content of the file is wrong.
func ReadEntry(file string) (s Entry, err error) {
	defer func() { err = oops.In("pimsettings").Wrap(err) }()
	data, err := os.ReadFile(file)
	if err != nil {
		return s, err
	}
	s, faults := DecodeEntry(file, data)
	return s, faults.Err()
}

// DecodeEntry decodes and validates settings and returns every fault found.
func DecodeEntry(file string, data []byte) (s Entry, faults pimtoml.Faults) {
	s = DefaultEntry()
	doc, faults := pimtoml.Decode(file, data, &s)
	v := validator{doc: doc, faults: faults}
	if !doc.Broken() {
		v.entry(&s)
	}
	v.faults.Sort()
	return s, v.faults
}
