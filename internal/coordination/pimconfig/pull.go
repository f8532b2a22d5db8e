package pimconfig

import (
	"sync"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Puller applies PullConfig replies, which hold a batch or a part of a snapshot, to one store. It keeps chunks from
// several replies, also of different VMs, until a snapshot is complete. It is safe for concurrent use.
type Puller struct {
	store *Store

	mu sync.Mutex
	// chunks holds the compressed chunks of the snapshot so far, by the hash of their content.
	chunks map[[HashSize]byte][]byte
	// hasHashList is set from the first list of chunk hashes until the snapshot is complete or a batch was applied.
	hasHashList bool
}

// NewPuller returns a puller for one store.
func NewPuller(store *Store) *Puller {
	return &Puller{store: store, chunks: map[[HashSize]byte][]byte{}}
}

// Request returns the next request; during a snapshot it names the chunks that this VM already has.
func (p *Puller) Request(maxBytes int) *pimpb.PullConfigRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	req := &pimpb.PullConfigRequest{MaxBytes: uint32(maxBytes)}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	req.FromRevision = uint64(p.store.digest.Revision)
	if !p.hasHashList {
		// Most pulls are answered from the log of the sender, which needs no chunk hashes.
		return req
	}
	for h := range p.chunks {
		req.HaveChunks = append(req.HaveChunks, h[:])
	}
	for i := range p.store.buckets {
		if b := &p.store.buckets[i]; !b.empty() {
			req.HaveChunks = append(req.HaveChunks, b.hash[:])
		}
	}
	return req
}

// Accept applies a reply and reports whether another request should follow at once.
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
	p.chunks, p.hasHashList = map[[HashSize]byte][]byte{}, false
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
	if err = p.addOwnChunks(reply.GetChunkHashes()); err != nil {
		return false, err
	}
	first := !p.hasHashList
	p.hasHashList = true
	if !p.complete(reply.GetChunkHashes()) {
		// A reply without chunks, after the first list, means that the budget of the sender allows none at present.
		return first || len(reply.GetChunks()) > 0, nil
	}
	for _, h := range reply.GetChunkHashes() {
		c, ok := p.chunks[[HashSize]byte(h)]
		if !ok {
			continue
		}
		events, err := unpack(c)
		if err != nil {
			return false, err
		}
		snap.Entries = append(snap.Entries, events...)
	}
	p.chunks, p.hasHashList = map[[HashSize]byte][]byte{}, false
	return false, p.store.Restore(snap)
}

// addOwnChunks adds the chunks of the current state whose hashes are in a list.
func (p *Puller) addOwnChunks(hashes [][]byte) error {
	want := map[[HashSize]byte]bool{}
	for _, h := range hashes {
		if len(h) != HashSize {
			return ErrBadChunk
		}
		want[[HashSize]byte(h)] = true
	}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	for i := range p.store.buckets {
		if b := &p.store.buckets[i]; !b.empty() && want[b.hash] {
			p.chunks[b.hash] = b.packed
		}
	}
	return nil
}

// complete reports whether all chunks of a list are present.
func (p *Puller) complete(hashes [][]byte) bool {
	for _, h := range hashes {
		if _, ok := p.chunks[[HashSize]byte(h)]; !ok && [HashSize]byte(h) != emptyHash {
			return false
		}
	}
	return true
}
