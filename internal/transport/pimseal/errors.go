package pimseal

import "errors"

// The errors of this package.
var (
	// ErrSecret means that the cluster secret is shorter than MinSecret bytes.
	ErrSecret = errors.New("cluster secret is too short")
	// ErrShort means that a datagram is shorter than the header and the authentication tag.
	ErrShort = errors.New("datagram is truncated")
	// ErrVersion means that a datagram has an unknown format.
	ErrVersion = errors.New("datagram has an unknown version")
	// ErrForged means that a datagram was not sealed with the cluster secret.
	ErrForged = errors.New("datagram is not authentic")
	// ErrReplayed means that a datagram was received before, is older than the replay window, belongs to an older
	// incarnation, or comes from a VM beyond the limit of known senders.
	ErrReplayed = errors.New("datagram was replayed")
	// ErrTime means that the send time of a datagram differs from the local clock by more than 10 s.
	ErrTime = errors.New("datagram is outside the time window")
	// ErrTooLarge means that a message does not fit into one datagram of MaxDatagram bytes.
	ErrTooLarge = errors.New("message does not fit into a datagram")
)

// Reason returns the name of an error of Open for metrics; other errors are named content.
func Reason(err error) string {
	for reason, target := range map[string]error{
		"truncated": ErrShort, "version": ErrVersion, "forged": ErrForged, "replayed": ErrReplayed, "time": ErrTime,
	} {
		if errors.Is(err, target) {
			return reason
		}
	}
	return "content"
}
