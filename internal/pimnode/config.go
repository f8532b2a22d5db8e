package pimnode

import "time"

const (
	// slotTick is the interval at which slot grants and waiting requests expire.
	slotTick = 5 * time.Millisecond
	// quotaTick is the interval at which requests for permits are sent.
	quotaTick = 10 * time.Millisecond
	// memberTick is the interval of the failure detector.
	memberTick = 50 * time.Millisecond
	// refreshInterval is the longest time between two recomputations of ownership, limits and terms.
	refreshInterval = 500 * time.Millisecond
	// confirmAge is the age of the last message of a peer up to which its announced revision counts; probes come every
	// second.
	confirmAge = 5 * time.Second
	// pullInterval is the interval at which a newer revision of a peer is looked for.
	pullInterval = 200 * time.Millisecond
	// hostPollInterval is the interval at which the owner of a backend server reads its health and load.
	hostPollInterval = time.Second
	// callTimeout bounds a call to a peer that does not carry a request of a caller.
	callTimeout = 2 * time.Second
	// permitWait is the longest time for which a request waits for permits of the pool owner.
	permitWait = 250 * time.Millisecond
	// extendedPermitWait is the same while the pool owner does not answer: the lease of 1 s and the time to notice.
	extendedPermitWait = 1500 * time.Millisecond
	// maxFlowRelays bounds the flow packets that wait for a VM with a newer view; at 2 KB each they use at most 8 MB.
	maxFlowRelays = 4096
	// relayGrace is added to the deadline of a relayed request, so that the answer of the home VM still arrives.
	relayGrace = 100 * time.Millisecond
	// ownerBackoff is how long a slot owner that did not answer is avoided.
	ownerBackoff = time.Second
	// ownerRetryDelay is the time after which slot owners are asked again if none could be reached.
	ownerRetryDelay = 100 * time.Millisecond
	// maxOwnerTries is the number of slot owners that one attempt asks.
	maxOwnerTries = 2
	// maxTimeout bounds the deadline of a request; records are kept for 300 s.
	maxTimeout = 60 * time.Second
	// defaultTimeout applies if neither the caller nor the contract names a deadline.
	defaultTimeout = 5 * time.Second
	// startPeerWait is the longest time for which a starting VM waits for its peers before it serves callers.
	startPeerWait = 3 * time.Second
	// viewBehindRetryAfter is the retry time of a caller whose token is newer than the view of this VM.
	viewBehindRetryAfter = time.Second
	// handoverTimeout bounds the transfer of the records to the successor.
	handoverTimeout = 10 * time.Second
	// lingerTime is how long a stopping VM goes on forwarding and relaying after the handover; the fabric learns of the
	// stop within this time.
	lingerTime = 2 * time.Second
	// pollFailureThreshold is the number of failed health checks after which an owner reports a backend server as failed.
	pollFailureThreshold = 2
)
