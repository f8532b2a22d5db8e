package pimconfig

import (
	"sync"
	"sync/atomic"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Settings adjust a Store; the zero value is usable.
type Settings struct {
	// LogBytes is the largest size of the event log in bytes; zero means DefaultLogBytes.
	LogBytes int
	// CheckContract refuses a contract that decodes but is not valid; nil accepts all.
	CheckContract func(pimcontract.Contract) error
	// OnBadValue is called without locks for each value that was not decoded; nil ignores them.
	OnBadValue func(*ValueError)
}

// DefaultLogBytes is the default bound of the event log in bytes.
const DefaultLogBytes = 1 << 20

// Store holds the configuration at one revision and its decoded view; it is safe for concurrent use.
type Store struct {
	cfg  Settings
	view atomic.Pointer[pimview.View]

	mu      sync.Mutex
	digest  Digest
	buckets [bucketCount]bucket
	packer  packer
	log     eventLog
	decoder *decoder
	counts  Counters
}

// NewStore returns an empty store at revision 0.
func NewStore(cfg Settings) *Store {
	if cfg.LogBytes == 0 {
		cfg.LogBytes = DefaultLogBytes
	}
	s := &Store{cfg: cfg, log: eventLog{limit: cfg.LogBytes}}
	s.decoder = newDecoder(cfg.CheckContract)
	s.view.Store(s.decoder.view)
	return s
}

// View returns the decoded state; it is never nil, and a view never changes once it was returned.
func (s *Store) View() *pimview.View { return s.view.Load() }

// Revision returns the current revision.
func (s *Store) Revision() pimid.Revision { return s.View().Revision }

// Digest returns the revision and the hash over all keys and values.
func (s *Store) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest
}

// Counters returns the counts since the store was created.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// BadValues returns the values that are not in force because they could not be decoded, by key.
func (s *Store) BadValues() map[string]*ValueError {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decoder.badValues()
}

// Apply applies a batch that starts at the current revision; others fail with a RevisionError and change nothing.
func (s *Store) Apply(b Batch) (err error) {
	defer func() { err = oops.In("pimconfig").Wrapf(err, "apply batch") }()
	s.mu.Lock()
	bad, err := s.apply(b)
	s.mu.Unlock()
	s.report(bad)
	return err
}

func (s *Store) apply(b Batch) (bad []*ValueError, err error) {
	have := s.digest.Revision
	if b.To <= have {
		s.counts.Stale++
		return nil, &RevisionError{Have: have, From: b.From, To: b.To, Err: ErrStale}
	}
	if b.From != have {
		s.counts.Gaps++
		return nil, &RevisionError{Have: have, From: b.From, To: b.To, Err: ErrNotContiguous}
	}
	if !ordered(b) {
		s.counts.Disorder++
		return nil, &RevisionError{Have: have, From: b.From, To: b.To, Err: ErrDisorder}
	}
	if !validKeys(b.Events) {
		s.counts.Disorder++
		return nil, &RevisionError{Have: have, From: b.From, To: b.To, Err: ErrBadKey}
	}
	p, err := s.prepare(b.Events)
	if err != nil {
		return nil, err
	}
	s.commit(p)
	s.log.add(b)
	s.counts.Applied++
	return s.publish(b.To, b.Events), nil
}

// Restore replaces the state by a snapshot of a higher revision; others fail with a RevisionError and change nothing.
func (s *Store) Restore(snap Snapshot) (err error) {
	defer func() { err = oops.In("pimconfig").Wrapf(err, "restore snapshot") }()
	s.mu.Lock()
	bad, err := s.restore(snap)
	s.mu.Unlock()
	s.report(bad)
	return err
}

func (s *Store) restore(snap Snapshot) (bad []*ValueError, err error) {
	have := s.digest.Revision
	if snap.Revision <= have {
		s.counts.Stale++
		return nil, &RevisionError{Have: have, From: snap.Revision, To: snap.Revision, Err: ErrStale}
	}
	if !validKeys(snap.Entries) {
		s.counts.Disorder++
		return nil, &RevisionError{Have: have, From: snap.Revision, To: snap.Revision, Err: ErrBadKey}
	}
	changes, err := s.difference(snap)
	if err != nil {
		return nil, err
	}
	p, err := s.prepare(changes)
	if err != nil {
		return nil, err
	}
	s.commit(p)
	s.log.reset(snap.Revision)
	s.counts.Restored++
	return s.publish(snap.Revision, changes), nil
}

// Observe compares the digest of a peer with that of the store and reports whether the peer has a higher revision. Two
// different states at one revision are counted as a divergence; the platform orders all changes, so that this must not
// happen.
func (s *Store) Observe(d Digest) (newer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.Revision == s.digest.Revision && d.Hash != s.digest.Hash {
		s.counts.Divergences++
	}
	return d.Revision > s.digest.Revision
}

// publish replaces the view and returns the values that could not be decoded.
func (s *Store) publish(to pimid.Revision, changes []Event) []*ValueError {
	s.digest.Revision = to
	bad := s.decoder.apply(to, changes)
	s.counts.BadValues += uint64(len(bad))
	s.view.Store(s.decoder.view)
	return bad
}

func (s *Store) report(bad []*ValueError) {
	if s.cfg.OnBadValue == nil {
		return
	}
	for _, e := range bad {
		s.cfg.OnBadValue(e)
	}
}

// ordered reports whether the events of a batch are in order of revision, and after From and not after To.
func ordered(b Batch) bool {
	last := b.From
	for i, e := range b.Events {
		if e.Revision < last || e.Revision > b.To || i == 0 && e.Revision == last {
			return false
		}
		last = e.Revision
	}
	return true
}
