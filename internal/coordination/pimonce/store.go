package pimonce

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// store holds records and refusals until they expire; it never drops one earlier to make room.
type store struct {
	cfg     Config
	records map[recordKey]*record
	refused map[recordKey]refusal
	usages  usages
	// bytes is the accounted size of all records.
	bytes int
	// buckets lists the keys by the second in which their entries expire; lastSwept is the last second that sweep has
	// looked at.
	buckets   map[int64][]recordKey
	lastSwept int64
}

func newStore(cfg Config) *store {
	return &store{
		cfg: cfg, records: map[recordKey]*record{}, refused: map[recordKey]refusal{}, usages: usages{},
		buckets: map[int64][]recordKey{},
	}
}

// hasRoom reports whether one more request of the contract may be recorded, including the reserve for its answer;
// contract 0 stands for imported records and has no limit of its own.
func (s *store) hasRoom(c pimid.ContractID) bool {
	underLimit := c == 0 || s.usages[c].records < max(s.cfg.MaxRecords/contractDivisor, 1)
	return underLimit && len(s.records) < s.cfg.MaxRecords && s.bytes+recordBytes+s.cfg.AnswerReserve <= s.cfg.MaxBytes
}

func (s *store) add(r *record) {
	s.records[r.key] = r
	s.usages.add(r.contract, 1, 0)
	s.bytes += s.accountedBytes(r)
	s.schedule(r.key, r.expires)
}

func (s *store) remove(r *record) {
	delete(s.records, r.key)
	s.usages.add(r.contract, -1, 0)
	s.bytes -= s.accountedBytes(r)
}

// accountedBytes returns the accounted size of a record with the reserve of a running request or the answer of a finished
// one.
func (s *store) accountedBytes(r *record) int {
	if r.phase == phaseDone {
		return r.size()
	}
	return recordBytes + s.cfg.AnswerReserve
}

// conclude makes the reply of a record final; a refusal moves to the table of refusals if that has room.
func (s *store) conclude(r *record, reply pimedge.Reply) {
	if isRefusal(reply) && s.hasRefusalRoom(r.contract) {
		s.remove(r)
		r.phase, r.reply = phaseDone, reply
		s.addRefusal(r.key, r.contract, r.expires, reply)
		return
	}
	s.bytes -= s.accountedBytes(r)
	r.phase, r.reply = phaseDone, reply
	s.bytes += s.accountedBytes(r)
}

// bucketOf returns the second of an instant, rounded up so that no record is dropped before it expires.
func bucketOf(t pimclock.Instant) int64 {
	return int64((time.Duration(t) + time.Second - 1) / time.Second)
}

func (s *store) schedule(k recordKey, expires pimclock.Instant) {
	b := max(bucketOf(expires), s.lastSwept+1)
	s.buckets[b] = append(s.buckets[b], k)
}

// sweep drops the finished records and the refusals that have expired.
func (s *store) sweep(now pimclock.Instant) {
	until := int64(time.Duration(now) / time.Second)
	if until <= s.lastSwept {
		return
	}
	var due []recordKey
	if until-s.lastSwept > int64(len(s.buckets)) {
		due = s.takeBuckets(until)
	} else {
		for b := s.lastSwept + 1; b <= until; b++ {
			due = append(due, s.buckets[b]...)
			delete(s.buckets, b)
		}
	}
	s.lastSwept = until
	for _, k := range due {
		s.expire(now, k)
	}
}

// takeBuckets removes all buckets up to a second and returns their keys; it is for sweeps after so long a time that there
// are fewer buckets than seconds to look at.
func (s *store) takeBuckets(until int64) (due []recordKey) {
	for b, keys := range s.buckets {
		if b <= until {
			due = append(due, keys...)
			delete(s.buckets, b)
		}
	}
	return due
}

// expire drops one record or refusal if it is finished and has expired, and else schedules it again.
func (s *store) expire(now pimclock.Instant, k recordKey) {
	r := s.records[k]
	switch {
	case r == nil:
		s.expireRefusal(now, k)
	case r.phase != phaseDone || now.Before(r.expires):
		s.schedule(k, r.expires)
	default:
		s.remove(r)
	}
}
