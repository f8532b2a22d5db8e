package pimseal

import "errors"

// The errors of this package.
var (
	// ErrSecret means that the cluster secret is shorter than MinSecret bytes.
	ErrSecret = errors.New("cluster secret is too short")
	// ErrShort means that a datagram is shorter than its header and tag.
	ErrShort = errors.New("datagram is truncated")
	// ErrVersion means that a datagram has an unknown format.
	ErrVersion = errors.New("datagram has an unknown version")
	// ErrForged means that a datagram was not sealed with the cluster secret.
	ErrForged = errors.New("datagram is not authentic")
	// ErrReplayed means that a datagram was received before or belongs to an older incarnation.
	ErrReplayed = errors.New("datagram was replayed")
	// ErrTime means that a datagram was sent outside the time window.
	ErrTime = errors.New("datagram is outside the time window")
	// ErrTooLarge means that a message does not fit one datagram.
	ErrTooLarge = errors.New("message does not fit a datagram")
)

// Reason names the error of Open in metrics.
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
