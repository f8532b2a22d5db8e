package pimnode

import "time"

const (
	// slotTick is the interval at which slot grants and waiting requests that have expired are ended.
	slotTick = 5 * time.Millisecond
	// quotaTick is the interval at which due requests for rate-limit permits are sent.
	quotaTick = 10 * time.Millisecond
	// memberTick is the interval of the failure detector.
	memberTick = 50 * time.Millisecond
	// refreshInterval is the longest time between two recomputations of ownership, limits and terms.
	refreshInterval = 500 * time.Millisecond
	// confirmAge is the greatest age of the last answered ping at which the view may still be confirmed as the newest one; pings are
	// sent every second.
	confirmAge = 5 * time.Second
	// pullInterval is the interval at which this VM checks whether a peer has announced a newer revision.
	pullInterval = 200 * time.Millisecond
	// hostPollInterval is the interval at which the owner of a backend server polls its load; the poll is its health
	// check, too.
	hostPollInterval = time.Second
	// callTimeout bounds a call to a peer that does not carry a request of a caller.
	callTimeout = 2 * time.Second
	// permitWait is the longest time for which a request waits for rate-limit permits of the pool owner.
	permitWait = 250 * time.Millisecond
	// extendedPermitWait replaces permitWait while the pool owner does not answer or still solicits shares: a lease of
	// 1 s, after which the own share can be used, and the time until the lack of an answer is detected.
	extendedPermitWait = 1500 * time.Millisecond
	// maxFlowRelays bounds the flow packets that wait for a VM with a newer view; at 2 KB each they use at most 8 MB.
	maxFlowRelays = 4096
	// relayGrace is added to the deadline of a relayed request, so that the answer of the home VM still arrives.
	relayGrace = 100 * time.Millisecond
	// ownerBackoff is how long a slot owner that did not answer is avoided.
	ownerBackoff = time.Second
	// ownerRetryDelay is the time between two attempts to get a slot while no slot owner grants or refuses one.
	ownerRetryDelay = 100 * time.Millisecond
	// maxOwnerTries is the largest number of slot owners that one attempt asks.
	maxOwnerTries = 2
	// maxTimeout bounds the time until the deadline of a request; it is well below the 300 s for which records are
	// kept.
	maxTimeout = 60 * time.Second
	// defaultTimeout applies if neither the caller nor the contract sets a timeout.
	defaultTimeout = 5 * time.Second
	// startPeerWait is the longest time for which a starting VM waits until its peers are known before it serves
	// callers.
	startPeerWait = 3 * time.Second
	// viewBehindRetryAfter is the time after which a caller may retry if its packet needs a newer view than this VM has,
	// for example because its token is newer than the view, and could not be relayed to a VM with such a view.
	viewBehindRetryAfter = time.Second
	// handoverTimeout bounds the transfer of the records to the successor.
	handoverTimeout = 10 * time.Second
	// lingerTime is how long a stopping VM continues to forward and relay after the handover; within this time, the
	// fabric detects the stop and sends no more packets to this VM.
	lingerTime = 2 * time.Second
	// pollFailureThreshold is the number of consecutive failed polls after which the owner of a backend server reports it
	// as failed.
	pollFailureThreshold = 2
)
