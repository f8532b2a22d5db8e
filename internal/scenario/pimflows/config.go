package pimflows

// Config describes one run.
type Config struct {
	Seed uint64
	// VMs, Hosts and Flows are the numbers of VMs, of backend servers per service and of flows, which stay constant:
	// whatever ends is replaced.
	VMs, Hosts, Flows int
	// Seconds is the duration of the run.
	Seconds int
	// MaxViewDelay is the largest time from the publication of a view until a VM applies it, in seconds.
	MaxViewDelay int
	// ChangeEvery is the time between two changes of the fleet, in seconds; a change replaces VMs, backend servers and
	// the token key.
	ChangeEvery int
	// Deaths makes VMs and backend servers stop without notice at a change instead of being replaced as planned.
	Deaths bool
	// Stuck makes one VM apply no new view for twice ChangeEvery after each change. Since this outlasts the next change,
	// the VM applies none from the first change on, except after a longer Idle.
	Stuck bool
	// Idle is the length of a pause of all callers in the middle of the run, in seconds.
	Idle int64
	// ReuseAfter is the time from the removal of a backend server until a backend server of the other service gets its
	// address, in seconds.
	ReuseAfter int
}

// Report holds the counters of a run.
type Report struct {
	// Packets counts all packets of callers, Opened the opened flows and Ended the flows that their callers ended.
	Packets, Opened, Ended int
	// BrokenPlanned counts flows that broke although their backend server had not died, BrokenDeath those whose backend
	// server had died.
	BrokenPlanned, BrokenDeath int
	// Delayed counts packets that were refused with view_behind, so that the caller sends them again later. Relayed
	// counts packets that a VM relayed to another VM.
	Delayed, Relayed int
	// Reissued counts new tokens for open flows.
	Reissued int
	// Lost counts packets to VMs and backend servers that no longer run.
	Lost int
	// Misrouted counts packets, also late ones of ended flows, that were sent to the address of a backend server of
	// another service. That backend server discards them, since the inner destination is not its own address.
	Misrouted int
	// Attacks counts packets with a forged or truncated token, or with the token of another source or service. Accepted
	// counts those of them that were forwarded.
	Attacks, Accepted int
	// Rendezvous, Maglev and Stateful count the flows that the baselines broke in the same run, each flow once.
	Rendezvous, Maglev, Stateful int
}
