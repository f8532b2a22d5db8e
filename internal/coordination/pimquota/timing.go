package pimquota

import "time"

const (
	// lease is how long a lent share stays with its owner after the request that lent it was sent.
	lease = time.Second
	// grantValidity is how long a grant may be used. It is shorter than a lease minus borrowPeriod and maxEchoAge,
	// so that the leases behind a grant outlast it.
	grantValidity = 500 * time.Millisecond
	// borrowPeriod is the time between two requests to an owner without urgent demand.
	borrowPeriod = 200 * time.Millisecond
	// maxEchoAge is the largest age of an owner's last answer at which a member still lends; an owner that failed holds the
	// share for at most maxEchoAge plus one lease after its last answer.
	maxEchoAge = 250 * time.Millisecond
	// replyTimeout is the time after which a new request follows the first unanswered one.
	replyTimeout = 50 * time.Millisecond
	// minGap is the shortest time between two requests for urgent demand; the gap doubles while the owner has no
	// permits.
	minGap = 2 * time.Millisecond
	// levelPeriod is how long an owner uses the fair level of the demands; it is short against demandWindow, and sorting
	// the demands of hundreds of members for every request would cost most of the owner's time.
	levelPeriod = 20 * time.Millisecond
	// renewBefore is the remaining time of a lease at which the owner solicits its renewal. A lease must outlast
	// grantValidity to back a grant, so that there is time to send a lost solicitation again.
	renewBefore = 700 * time.Millisecond
	// renewEarly is the remaining time at which a lease is renewed together with that of another contract of the
	// same VM.
	renewEarly = 900 * time.Millisecond
	// renewAlways is the remaining time at which the lease of a member is renewed though its own requests may do so.
	renewAlways = 590 * time.Millisecond
	// solicitPeriod is the time between two solicitation rounds; a pool that lacks permits does not wait for the
	// next one.
	solicitPeriod = 50 * time.Millisecond
	// solicitTimeout is the time after which an unanswered solicitation counts as lost.
	solicitTimeout = 100 * time.Millisecond
	// refusalTTL is how long a VM that lent nothing is not asked again for the contract, unless owner.meanHold is
	// longer.
	refusalTTL = 500 * time.Millisecond
	// maxSolicitBackoff is the longest time for which a VM that does not answer solicitations is not asked.
	maxSolicitBackoff = 5 * time.Second
	// demandTTL is how long an owner counts the demand of a member that no longer asks.
	demandTTL = time.Second
)

// rateDepth is the depth in permits from which a member gets a rate of its own. Below it, random arrivals would
// exceed the depth too often, so the permits stay at the owner, where the demand of all members averages out.
const rateDepth = 8
