package pimfleet

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Options describe a simulated fleet.
type Options struct {
	Seed uint64
	// DataCentres and PerDataCentre give the number of VMs; ids start at 1 and are consecutive in a data centre.
	DataCentres   int
	PerDataCentre int
	// Loss is the probability that a datagram is lost, and that a segment of a call is sent again after 200 ms.
	Loss float64
	// Delay is the one-way delay between data centres; inside a data centre it is LocalDelay. Each delay varies by
	// up to half of its value.
	Delay      time.Duration
	LocalDelay time.Duration
	// Member replaces the settings of the detector, apart from the identity.
	Member pimmember.Settings
	// Restore replaces how a VM takes a snapshot of the platform; nil means Store.Restore.
	Restore func(vm *VM, snap pimconfig.Snapshot) error
	// NoSync keeps VMs from pulling configuration from each other.
	NoSync bool
	// Drop decides about each datagram in addition to losses and partitions; nil drops none.
	Drop func(from *VM, to pimid.NodeID, g *pimpb.Gossip) bool
}

const (
	// tickInterval is how often each VM runs its timers.
	tickInterval = 50 * time.Millisecond
	// resendDelay is the delay of a call of which a segment was lost.
	resendDelay = 200 * time.Millisecond
	// sealBytes is what sealing, UDP and IPv4 add to a datagram: 35 + 8 + 20 bytes.
	sealBytes = 63
	// callBytes estimates what drpc, TLS, TCP and IPv4 add to a message and its acknowledgement.
	callBytes = 160
)
