package pimseal

import (
	"crypto/cipher"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	// windowMillis is the largest age of a datagram. It bounds what can be replayed to a VM that restarted and has
	// no sequence numbers, and it tolerates clocks that differ by some seconds.
	windowMillis = 10_000
	// windowBits is how far datagrams may be reordered, in sequence numbers.
	windowBits = 256
	// maxSenders bounds the state; there is one entry per authenticated VM.
	maxSenders = 1 << 16
)

// sender is the replay state of the newest run of one VM.
type sender struct {
	incarnation pimid.Incarnation
	aead        cipher.AEAD
	highest     uint64
	seen        [windowBits / 64]uint64
}

// aeadOf returns the cipher of a run; it is remembered only after a datagram proved to be authentic, so that forged
// headers use no memory.
func (s *Sealer) aeadOf(id Identity) (cipher.AEAD, error) {
	s.mu.Lock()
	known, ok := s.senders[id.Node]
	s.mu.Unlock()
	if ok && known.incarnation == id.Incarnation {
		return known.aead, nil
	}
	return s.aead(id)
}

// accept records a sequence number and reports whether it is new. Datagrams of an older run are replays.
func (s *Sealer) accept(id Identity, sequence uint64, aead cipher.AEAD) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.senders[id.Node]
	if ok && id.Incarnation < known.incarnation {
		return false
	}
	if !ok || id.Incarnation > known.incarnation {
		if !ok && len(s.senders) >= maxSenders {
			return false
		}
		known = &sender{incarnation: id.Incarnation, aead: aead}
		s.senders[id.Node] = known
	}
	return known.accept(sequence)
}

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

// advance clears the bits between the old and the new highest number.
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
