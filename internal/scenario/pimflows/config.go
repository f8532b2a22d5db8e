package pimflows

// Config is one simulated run.
type Config struct {
	Seed uint64
	// VMs, Hosts (per service) and Flows are the sizes that are kept up during the run.
	VMs, Hosts, Flows int
	// Seconds is the duration of the run.
	Seconds int
	// MaxViewDelay is the largest delay of a view change at a VM, in seconds.
	MaxViewDelay int
	// ChangeEvery is the time between two moments of change, in seconds.
	ChangeEvery int
	// Deaths makes VMs and backend servers die at the moments of change instead of being replaced as planned.
	Deaths bool
	// Stuck makes one VM keep its view for two moments of change.
	Stuck bool
	// Idle is a pause of all callers in the middle of the run, in seconds.
	Idle int64
	// ReuseAfter is the time from the removal of a backend server to the reuse of its address by the other service, in
	// seconds.
	ReuseAfter int
}

// Report is what a run has counted.
type Report struct {
	// Packets are all packets of callers; Opened and Ended count flows.
	Packets, Opened, Ended int
	// BrokenPlanned are flows that broke although their backend server was up; BrokenDeath are those whose backend
	// server died.
	BrokenPlanned, BrokenDeath int
	// Delayed are packets that were told to come back because of a view that is behind; Relayed went through a peer.
	Delayed, Relayed int
	// Reissued are flows that received a new token.
	Reissued int
	// Lost are packets for dead VMs and dead backend servers.
	Lost int
	// Misrouted are packets, also late ones of ended flows, that were sent to the address of a backend server of
	// another service. It discards them, since the inner destination is not its own address.
	Misrouted int
	// Attacks are forged, replayed, truncated and foreign packets; Accepted are those that were forwarded.
	Attacks, Accepted int
	// Rendezvous, Maglev and Stateful are the flows that the baselines broke in the same run, each counted once.
	Rendezvous, Maglev, Stateful int
}
