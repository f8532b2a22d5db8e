package pimquota

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// link is the member's exchange with one owner.
type link struct {
	// sent is the time of the last request; answered reports whether its reply has arrived.
	sent     pimclock.Instant
	sequence uint64
	answered bool
	// timeout is how long the member waits for a reply before it sends a new request; it doubles while no reply arrives.
	timeout time.Duration

	// echo is the owner's time stamp in its newest reply, which arrived at echoAt.
	echo   pimclock.Instant
	echoAt pimclock.Instant
	// incarnation is that of the owner in its newest reply; known is set once there is one.
	incarnation pimid.Incarnation
	known       bool
}

func (l *link) send(now pimclock.Instant, sequence uint64) {
	if l.sequence > 0 && !l.answered {
		l.timeout = min(2*l.timeout, borrowPeriod)
	}
	l.sent, l.sequence, l.answered = now, sequence, false
}

// receive records a reply and reports whether it answers the last request.
func (l *link) receive(now pimclock.Instant, reply *pimpb.BorrowQuotaReply) bool {
	incarnation, stamp := pimid.Incarnation(reply.GetOwnerIncarnation()), pimclock.Instant(reply.GetStampNs())
	if incarnation < l.incarnation || incarnation == l.incarnation && stamp < l.echo {
		return false
	}
	l.known, l.incarnation, l.echo, l.echoAt = true, incarnation, stamp, now
	if l.answered || reply.GetSequence() != l.sequence {
		return false
	}
	l.answered, l.timeout = true, replyTimeout
	return true
}

// due reports whether it is time for the next request.
func (l *link) due(now pimclock.Instant, urgent bool) bool {
	age := now.Sub(l.sent)
	switch {
	case l.sequence == 0:
		return true
	case !l.answered:
		return age >= l.timeout
	case urgent:
		return true
	default:
		return age >= borrowPeriod
	}
}

// responsive reports whether the owner answered so recently that the member may lend its share.
func (l *link) responsive(now pimclock.Instant) bool {
	return l.known && now.Sub(l.echoAt) <= maxEchoAge
}
