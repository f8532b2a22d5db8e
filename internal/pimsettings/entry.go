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

// Entry holds the settings of a VM that forwards opaque flows (program pimentry).
type Entry struct {
	Node     EntryNode     `toml:"node"`
	Edge     EntryEdge     `toml:"edge"`
	Platform EntryPlatform `toml:"platform"`
	Peer     EntryPeer     `toml:"peer"`
	Cluster  Cluster       `toml:"cluster"`
	Operator Operator      `toml:"operator"`
	Log      Log           `toml:"log"`
	Drain    EntryDrain    `toml:"drain"`
	// SlowStart is nil if backend servers in slow start have no limit.
	SlowStart *EntrySlowStart `toml:"slow_start"`
	// Admission applies to the services whose routes have different priorities.
	Admission EntryAdmission `toml:"admission"`
}

// EntryNode is the name and the data centre of this VM.
type EntryNode struct {
	Name       string           `toml:"name"`
	DataCentre pimid.DataCentre `toml:"data_centre"`
}

// EntryEdge holds the addresses at which the fabric reaches this VM.
type EntryEdge struct {
	// PacketAddress receives the packets of callers; resets to callers go to the same port.
	PacketAddress netip.AddrPort `toml:"packet_address"`
	// ReadinessAddress answers the readiness check of the fabric.
	ReadinessAddress netip.AddrPort `toml:"check_address"`
}

// EntryPlatform holds the address and the time limits of the platform, which serves the published configuration.
type EntryPlatform struct {
	Address netip.AddrPort `toml:"address"`
	// Timeout is the longest time without progress of a call, in addition to the time for which it waits for a change.
	Timeout pimcontract.Duration `toml:"timeout"`
	// InForceWithin is the time within which a change has to be in force on all VMs. How long a call may wait for a
	// change, and when another VM takes over from the reader of the platform, are derived from it.
	InForceWithin pimcontract.Duration `toml:"in_force_within"`
	// EvacuatedWithin is the time within which new flows must leave a data centre that is evacuated; zero means no bound.
	EvacuatedWithin pimcontract.Duration `toml:"evacuated_within"`
}

// ConfirmWithin returns the time within which a VM must have its view confirmed: the shortest of the bounds.
func (p EntryPlatform) ConfirmWithin() time.Duration {
	if p.EvacuatedWithin > 0 {
		return time.Duration(min(p.InForceWithin, p.EvacuatedWithin))
	}
	return time.Duration(p.InForceWithin)
}

// EntryPeer holds the addresses with which this VM finds the others.
type EntryPeer struct {
	// Address receives the messages of other VMs; all VMs use the same port.
	Address netip.AddrPort `toml:"address"`
	// Seeds are the operator addresses of VMs that this VM contacts to learn of further VMs.
	Seeds []netip.AddrPort `toml:"seeds"`
}

// SeedAddresses returns the addresses at which the seeds receive messages: their IP addresses with the port of Address.
func (p EntryPeer) SeedAddresses() (addresses []netip.AddrPort) {
	for _, s := range p.Seeds {
		addresses = append(addresses, netip.AddrPortFrom(s.Addr(), p.Address.Port()))
	}
	return addresses
}

// EntryDrain configures a planned stop.
type EntryDrain struct {
	// Linger is the time for which a stopping VM still forwards packets after its readiness check has begun to fail.
	Linger pimcontract.Duration `toml:"linger"`
}

// EntrySlowStart bounds the opening packets to a backend server in slow start: if it can handle n requests a second meanwhile, it gets
// at most n*Overage+Slack of them in any second, from all VMs together.
type EntrySlowStart struct {
	Overage float64 `toml:"overage"`
	Slack   float64 `toml:"slack"`
}

// EntryAdmission configures which new flows are refused when backend servers are nearly full.
type EntryAdmission struct {
	// QueuePerSlot is the number of requests that a backend server queues for each slot, which it does not publish; zero means that no
	// flow is refused for lack of room.
	QueuePerSlot float64 `toml:"queue_per_slot"`
	// Reserve is the part of the slots and queues that only the most urgent routes of a service may fill.
	Reserve float64 `toml:"reserve"`
}

// DefaultEntry returns the values of the settings that a file does not set.
func DefaultEntry() Entry {
	return Entry{
		Platform: EntryPlatform{
			Timeout: pimcontract.Duration(time.Second),
			// The shortest bound that a deployment in operation requires.
			InForceWithin: pimcontract.Duration(3 * time.Second),
		},
		Log: Log{Level: "info"},
		// The fabric checks readiness twice a second and stops sending to a VM after two failed checks.
		Drain: EntryDrain{Linger: pimcontract.Duration(1600 * time.Millisecond)},
		// The backend servers of the deployments in operation have 2 slots and queue 8 requests.
		Admission: EntryAdmission{QueuePerSlot: 4, Reserve: 0.4},
	}
}

// ReadEntry reads, decodes and validates the settings of a VM that forwards opaque flows; the error is pimtoml.Faults
// if the content of the file is wrong.
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
