package pimonce

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// store holds records until they expire; it never drops one early.
type store struct {
	cfg      Config
	records  map[recordKey]*record
	bytes    int
	refusals int
	// buckets lists the keys by the second in which their records expire; swept is the last second looked at.
	buckets map[int64][]recordKey
	swept   int64
}

func newStore(cfg Config) *store {
	return &store{cfg: cfg, records: map[recordKey]*record{}, buckets: map[int64][]recordKey{}}
}

// hasRoom reports whether one more request may be recorded, with room reserved for its answer.
func (s *store) hasRoom() bool {
	return len(s.records)-s.refusals < s.cfg.MaxRecords && s.bytes+recordBytes+s.cfg.AnswerReserve <= s.cfg.MaxBytes
}

// hasRefusalRoom reports whether one more refusal may be recorded.
func (s *store) hasRefusalRoom() bool { return s.refusals < s.cfg.MaxRefusals }

func (s *store) add(k recordKey, r *record) {
	s.records[k] = r
	s.schedule(k, r.expires)
	if r.refusal {
		s.refusals++
		return
	}
	s.bytes += s.weigh(r)
}

// weigh returns the accounted size: a running request holds the reserve, a finished one its answer.
func (s *store) weigh(r *record) int {
	if r.phase == phaseDone {
		return r.size()
	}
	return recordBytes + s.cfg.AnswerReserve
}

// change applies f to a record and keeps the accounted size.
func (s *store) change(r *record, f func()) {
	before := s.weigh(r)
	f()
	s.bytes += s.weigh(r) - before
}

// bucketOf rounds up, so that no record is dropped before it expires.
func bucketOf(t pimclock.Instant) int64 {
	return int64((time.Duration(t) + time.Second - 1) / time.Second)
}

func (s *store) schedule(k recordKey, expires pimclock.Instant) {
	b := max(bucketOf(expires), s.swept+1)
	s.buckets[b] = append(s.buckets[b], k)
}

// sweep drops the finished records that have expired.
func (s *store) sweep(now pimclock.Instant) {
	until := int64(time.Duration(now) / time.Second)
	if until <= s.swept {
		return
	}
	var due []recordKey
	if until-s.swept > int64(len(s.buckets)) {
		due = s.collect(until)
	} else {
		for b := s.swept + 1; b <= until; b++ {
			due = append(due, s.buckets[b]...)
			delete(s.buckets, b)
		}
	}
	s.swept = until
	for _, k := range due {
		s.expire(now, k)
	}
}

// collect removes all buckets up to a second; it serves long steps of the clock.
func (s *store) collect(until int64) (due []recordKey) {
	for b, keys := range s.buckets {
		if b <= until {
			due = append(due, keys...)
			delete(s.buckets, b)
		}
	}
	return due
}

func (s *store) expire(now pimclock.Instant, k recordKey) {
	r := s.records[k]
	if r == nil {
		return
	}
	if r.phase != phaseDone || now.Before(r.expires) {
		s.schedule(k, r.expires)
		return
	}
	delete(s.records, k)
	if r.refusal {
		s.refusals--
		return
	}
	s.bytes -= r.size()
}
