package pimconfig

import (
	"sync"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Puller turns replies to PullConfig into batches and snapshots of one store. It keeps chunks between replies, also
// of different VMs, until a snapshot is complete. It is safe for concurrent use.
type Puller struct {
	store *Store

	mu     sync.Mutex
	chunks map[[HashSize]byte][]byte
	// listed is set after a list of hashes was received, until the snapshot is complete.
	listed bool
}

// NewPuller returns a puller for one store.
func NewPuller(store *Store) *Puller {
	return &Puller{store: store, chunks: map[[HashSize]byte][]byte{}}
}

// Request returns the next request; it names the chunks that the receiver holds already.
func (p *Puller) Request(maxBytes int) (req *pimpb.PullConfigRequest, err error) {
	defer func() { err = oops.In("pimconfig").Wrapf(err, "build pull request") }()
	p.mu.Lock()
	defer p.mu.Unlock()
	req = &pimpb.PullConfigRequest{MaxBytes: uint32(maxBytes)}
	for h := range p.chunks {
		req.HaveChunks = append(req.HaveChunks, h[:])
	}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	req.FromRevision = uint64(p.store.digest.Revision)
	if !p.listed {
		// The own chunks are named only during a snapshot, since most pulls are answered from the log.
		return req, nil
	}
	if err = p.store.rehash(); err != nil {
		return nil, err
	}
	for i := range p.store.buckets {
		if b := &p.store.buckets[i]; len(b.keys) > 0 {
			req.HaveChunks = append(req.HaveChunks, b.hash[:])
		}
	}
	return req, nil
}

// Accept applies a reply and reports whether another request makes sense at once.
func (p *Puller) Accept(req *pimpb.PullConfigRequest, reply *pimpb.PullConfigReply) (more bool, err error) {
	defer func() { err = oops.In("pimconfig").Wrapf(err, "accept pull reply") }()
	if len(reply.GetChunkHashes()) > 0 {
		return p.acceptChunks(reply)
	}
	if reply.GetRevision() <= req.GetFromRevision() {
		return false, nil
	}
	b := Batch{
		From:   pimid.Revision(req.GetFromRevision()),
		To:     pimid.Revision(reply.GetRevision()),
		Events: fromProto(reply.GetEvents()),
	}
	if err = p.store.Apply(b); err != nil {
		return false, err
	}
	p.reset()
	return reply.GetMore(), nil
}

func (p *Puller) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chunks, p.listed = map[[HashSize]byte][]byte{}, false
}

func (p *Puller) acceptChunks(reply *pimpb.PullConfigReply) (more bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range reply.GetChunks() {
		raw, err := decompress(c)
		if err != nil {
			return false, err
		}
		p.chunks[contentHash(raw)] = c
	}
	snap := Snapshot{Revision: pimid.Revision(reply.GetRevision())}
	own, err := p.ownChunks(reply.GetChunkHashes())
	if err != nil {
		return false, err
	}
	first := !p.listed
	p.listed = true
	if !p.complete(reply.GetChunkHashes(), own) {
		// A later reply without a chunk means that the sender's budget is spent.
		return first || len(reply.GetChunks()) > 0, nil
	}
	for _, h := range reply.GetChunkHashes() {
		events, err := p.events([HashSize]byte(h), own)
		if err != nil {
			return false, err
		}
		snap.Entries = append(snap.Entries, events...)
	}
	p.chunks, p.listed = map[[HashSize]byte][]byte{}, false
	return false, p.store.Restore(snap)
}

// ownChunks returns those chunks of the own state that the list names.
func (p *Puller) ownChunks(hashes [][]byte) (own map[[HashSize]byte][]byte, err error) {
	want := map[[HashSize]byte]bool{}
	for _, h := range hashes {
		if len(h) != HashSize {
			return nil, ErrBadChunk
		}
		want[[HashSize]byte(h)] = true
	}
	s := p.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err = s.rehash(); err != nil {
		return nil, err
	}
	own = map[[HashSize]byte][]byte{}
	for i := range s.buckets {
		b := &s.buckets[i]
		if !want[b.hash] {
			continue
		}
		if own[b.hash], err = s.chunk(b); err != nil {
			return nil, err
		}
	}
	return own, nil
}

func (p *Puller) complete(hashes [][]byte, own map[[HashSize]byte][]byte) bool {
	for _, h := range hashes {
		_, isOwn := own[[HashSize]byte(h)]
		_, isPulled := p.chunks[[HashSize]byte(h)]
		if !isOwn && !isPulled && [HashSize]byte(h) != emptyHash {
			return false
		}
	}
	return true
}

func (p *Puller) events(h [HashSize]byte, own map[[HashSize]byte][]byte) (events []Event, err error) {
	if raw, ok := own[h]; ok {
		return decodeChunk(raw)
	}
	c, ok := p.chunks[h]
	if !ok {
		return nil, nil
	}
	raw, err := decompress(c)
	if err != nil {
		return nil, err
	}
	return decodeChunk(raw)
}
