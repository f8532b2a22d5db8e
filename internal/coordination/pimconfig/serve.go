package pimconfig

import (
	"math/rand/v2"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// DefaultPullBytes bounds the size of a pull reply in bytes, also if the request names no bound or a higher one; it
// is below the message limit of drpc.
const DefaultPullBytes = 64_000

// Server answers PullConfig requests from a store within a byte budget; it is safe for concurrent use.
type Server struct {
	store  *Store
	budget *Budget
}

// NewServer returns a server for one store.
func NewServer(store *Store, budget *Budget) *Server { return &Server{store: store, budget: budget} }

// Pull answers with a batch if the log reaches back to the revision of the request, else with snapshot chunks. If the
// budget is spent, the reply is empty with More set, and the receiver tries another VM. Chunks are in random order, so
// that pulls from several VMs return different chunks.
func (s *Server) Pull(now pimclock.Instant, rng *rand.Rand, req *pimpb.PullConfigRequest) (
	reply *pimpb.PullConfigReply,
) {
	limit := int(req.GetMaxBytes())
	if limit <= 0 || limit > DefaultPullBytes {
		limit = DefaultPullBytes
	}
	if limit = min(limit, s.budget.Available(now)); limit <= 0 {
		return &pimpb.PullConfigReply{Revision: req.GetFromRevision(), More: true}
	}
	if reply = s.batch(pimid.Revision(req.GetFromRevision()), limit); reply == nil {
		reply = s.snapshot(rng, req, limit)
	}
	s.budget.Take(now, replySize(reply))
	return reply
}

// batch returns a reply from the log, or nil if the log does not reach back to the revision.
func (s *Server) batch(from pimid.Revision, limit int) *pimpb.PullConfigReply {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if from >= s.store.digest.Revision {
		return &pimpb.PullConfigReply{Revision: uint64(s.store.digest.Revision)}
	}
	b, ok := s.store.log.since(from, limit)
	if !ok {
		return nil
	}
	return &pimpb.PullConfigReply{
		Revision: uint64(b.To), Events: toProto(b.Events), More: b.To < s.store.digest.Revision,
	}
}

// snapshot returns a reply with the hashes of all chunks, and as many missing chunks as fit the limit; the first chunk
// may exceed it.
func (s *Server) snapshot(rng *rand.Rand, req *pimpb.PullConfigRequest, limit int) *pimpb.PullConfigReply {
	have := map[string]bool{}
	for _, h := range req.GetHaveChunks() {
		have[string(h)] = true
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	reply := &pimpb.PullConfigReply{Revision: uint64(s.store.digest.Revision)}
	missing := s.missing(have, reply)
	if len(have) == 0 && req.GetFromRevision() > 0 {
		// The receiver has a state: it needs the hashes first, so that its next request can name the chunks it has.
		reply.More = true
		return reply
	}
	rng.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	size := HashSize * len(reply.GetChunkHashes())
	for _, b := range missing {
		if size >= limit {
			break
		}
		if len(reply.Chunks) > 0 && size+len(b.packed) > limit {
			break
		}
		reply.Chunks = append(reply.Chunks, b.packed)
		size += len(b.packed)
	}
	reply.More = len(reply.Chunks) < len(missing)
	return reply
}

// missing adds the hashes of all chunks to the reply and returns the buckets that the receiver does not have.
func (s *Server) missing(have map[string]bool, reply *pimpb.PullConfigReply) (missing []*bucket) {
	for i := range s.store.buckets {
		b := &s.store.buckets[i]
		if b.empty() {
			continue
		}
		reply.ChunkHashes = append(reply.ChunkHashes, b.hash[:])
		if !have[string(b.hash[:])] {
			missing = append(missing, b)
		}
	}
	if len(reply.ChunkHashes) == 0 {
		// The list must not be empty, since a reply without hashes is a batch.
		reply.ChunkHashes = append(reply.ChunkHashes, emptyHash[:])
	}
	return missing
}

// replySize estimates the encoded size of a reply in bytes.
func replySize(r *pimpb.PullConfigReply) int {
	size := HashSize * len(r.GetChunkHashes())
	for _, c := range r.GetChunks() {
		size += len(c)
	}
	for _, e := range r.GetEvents() {
		size += len(e.GetKey()) + len(e.GetValue()) + 16
	}
	return size + 16
}
