package pimseal

import (
	"crypto/cipher"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	// windowMillis is the largest difference between the send time of a datagram and the local clock. It limits what
	// can be replayed to a VM that has restarted and knows no sequence numbers, and tolerates clocks that differ by
	// a few seconds.
	windowMillis = 10_000
	// windowBits is the size of the replay window: datagrams may be reordered by fewer sequence numbers than this.
	windowBits = 256
	// maxSenders limits the replay state, which has one entry per authenticated VM.
	maxSenders = 1 << 16
)

// supersedeMillis is how long an incarnation must be silent before an older one is accepted: by then, each datagram that was sent
// before the last accepted one is outside the time window.
const supersedeMillis = 2 * windowMillis

// sender is the replay state of the present incarnation of one VM.
type sender struct {
	incarnation pimid.Incarnation
	aead        cipher.AEAD
	// acceptedAt is when the last datagram was accepted, in Unix milliseconds.
	acceptedAt int64
	// highest is the highest accepted sequence number.
	highest uint64
	// seen is a bitmap of the last windowBits sequence numbers, used as a ring.
	seen [windowBits / 64]uint64
}

// aeadOf returns the cipher of an incarnation. The cipher is stored only by accept, after a datagram proved to be
// authentic, so that forged headers use no memory.
func (s *Sealer) aeadOf(id Identity) (cipher.AEAD, error) {
	s.mu.Lock()
	known, ok := s.senders[id.Node]
	s.mu.Unlock()
	if ok && known.incarnation == id.Incarnation {
		return known.aead, nil
	}
	return s.aead(id)
}

// accept records a sequence number and reports whether it is new. Datagrams of an older incarnation count as replays while the
// present one is heard; afterwards they are from a VM whose clock was set back between two starts. A VM beyond maxSenders is
// refused.
func (s *Sealer) accept(nowUnixMilli int64, id Identity, sequence uint64, aead cipher.AEAD) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.senders[id.Node]
	if ok && id.Incarnation < known.incarnation && nowUnixMilli-known.acceptedAt <= supersedeMillis {
		return false
	}
	if !ok || id.Incarnation != known.incarnation {
		if !ok && len(s.senders) >= maxSenders {
			return false
		}
		known = &sender{incarnation: id.Incarnation, aead: aead}
		s.senders[id.Node] = known
	}
	if !known.accept(sequence) {
		return false
	}
	known.acceptedAt = nowUnixMilli
	return true
}

// accept reports whether the sequence number is new and within the window, and records it.
func (s *sender) accept(sequence uint64) bool {
	if sequence > s.highest {
		s.advance(sequence)
	} else if s.highest-sequence >= windowBits {
		return false
	}
	word, bit := sequence/64%uint64(len(s.seen)), uint64(1)<<(sequence%64)
	if s.seen[word]&bit != 0 {
		return false
	}
	s.seen[word] |= bit
	return true
}

// advance moves the window: it clears the bits after the old highest number up to the new one.
func (s *sender) advance(sequence uint64) {
	if sequence-s.highest >= windowBits {
		clear(s.seen[:])
	} else {
		for n := s.highest + 1; n <= sequence; n++ {
			s.seen[n/64%uint64(len(s.seen))] &^= 1 << (n % 64)
		}
	}
	s.highest = sequence
}
