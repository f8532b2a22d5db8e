package pimfleet

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Options describes a simulated fleet.
type Options struct {
	Seed uint64
	// DataCentres is the number of data centres, PerDataCentre the number of VMs in each. The ids of the VMs start at 1
	// and are consecutive in a data centre.
	DataCentres   int
	PerDataCentre int
	// Loss is the probability that a datagram is lost, and that a request or reply of a call is delayed by 200 ms
	// because a segment was lost and sent again.
	Loss float64
	// Delay is the smallest one-way delay between data centres, LocalDelay the one inside a data centre. Up to half of
	// it is added at random to each message.
	Delay      time.Duration
	LocalDelay time.Duration
	// Member holds the settings of the failure detector; identity, data centre, address and seeds are set for each VM.
	Member pimmember.Settings
	// Restore replaces the way in which a VM applies a snapshot of the platform; nil means Store.Restore.
	Restore func(vm *VM, snap pimconfig.Snapshot) error
	// NoSync keeps VMs from pulling configuration from each other.
	NoSync bool
	// Drop reports whether to drop a datagram, in addition to losses and partitions; nil drops none.
	Drop func(from *VM, to pimid.NodeID, g *pimpb.Gossip) bool
}

const (
	// tickInterval is the interval at which each VM runs its timers.
	tickInterval = 50 * time.Millisecond
	// resendDelay is the additional delay of a request or reply of which a segment was lost.
	resendDelay = 200 * time.Millisecond
	// sealBytes is the overhead of sealing, UDP and IPv4 for a datagram: 35 + 8 + 20 bytes.
	sealBytes = 63
	// callBytes is the estimated overhead of drpc, TLS, TCP and IPv4 for a message and its acknowledgement.
	callBytes = 160
)
