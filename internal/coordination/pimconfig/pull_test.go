package pimconfig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// filledStore returns a store with n backend servers whose log starts at its revision.
func filledStore(n int) *Store {
	s := NewStore(Settings{})
	snap := Snapshot{Revision: pimid.Revision(n)}
	for i := 1; i <= n; i++ {
		snap.Entries = append(snap.Entries, set(pimid.Revision(i), fmt.Sprintf("backends/%d", i), fmt.Sprintf(`{"id":%d}`, i)))
	}
	if err := s.Restore(snap); err != nil {
		panic(err)
	}
	return s
}

func unlimited() *Budget { return NewBudget(0, 1e12, 1e12) }

// pullAll pulls until the receiver has nothing more to ask for and returns the bytes of all replies.
func pullAll(is *is.I, p *Puller, servers ...*Server) (bytes int) {
	rng := rand.New(rand.NewPCG(1, 1))
	for i, more := 0, true; more; i++ {
		is.True(i < 1000) // the pull must end
		req := p.Request(DefaultPullBytes)
		reply := servers[i%len(servers)].Pull(0, rng, req)
		bytes += replySize(reply)
		var err error
		more, err = p.Accept(req, reply)
		is.NoErr(err)
	}
	return bytes
}

// Guards against snapshots that are not restored exactly when their chunks come from several VMs, and against sending
// chunks that the receiver already has.
func TestSnapshotFromSeveralVMsAndOnlyChangedChunks(t *testing.T) {
	is := is.New(t)
	a, b := filledStore(5000), filledStore(5000)
	receiver := NewStore(Settings{})
	p := NewPuller(receiver)
	fullBytes := pullAll(is, p, NewServer(a, unlimited()), NewServer(b, unlimited()))
	is.Equal(receiver.Digest(), a.Digest())
	is.Equal(len(receiver.View().Backends), 5000)
	next, err := a.Snapshot()
	is.NoErr(err)
	next.Revision, next.Entries = 5001, append(next.Entries, set(5001, "backends/6000", `{"id":6000}`))
	is.NoErr(a.Restore(next))
	changeBytes := pullAll(is, p, NewServer(a, unlimited()))
	is.Equal(receiver.Digest(), a.Digest())
	t.Logf("whole snapshot %d bytes, after one change %d bytes", fullBytes, changeBytes)
	is.True(changeBytes < fullBytes/4) // two lists of hashes and one chunk
}

// Guards against batches that end between two events of one revision, or that leave a gap for the receiver.
func TestBatchesCutOnlyBetweenRevisions(t *testing.T) {
	is := is.New(t)
	s := NewStore(Settings{})
	value := `{"id":1,"name":"` + strings.Repeat("x", 900) + `"}`
	for r := pimid.Revision(1); r <= 30; r++ {
		is.NoErr(s.Apply(batch(r-1, r, set(r, "services/1", value), set(r, "services/2", `{"id":2}`))))
	}
	receiver := NewStore(Settings{})
	p, server := NewPuller(receiver), NewServer(s, unlimited())
	rounds := 0
	for more := true; more; rounds++ {
		req := p.Request(2500)
		reply := server.Pull(0, rand.New(rand.NewPCG(1, 1)), req)
		var err error
		is.True(len(reply.GetEvents())%2 == 0)
		more, err = p.Accept(req, reply)
		is.NoErr(err)
	}
	is.True(rounds > 5)
	is.Equal(receiver.Digest(), s.Digest())
}

// Guards against a receiver that keeps deleted keys if the state of the sender is empty and its log starts at a later
// revision.
func TestEmptySnapshotDeletes(t *testing.T) {
	is := is.New(t)
	s, receiver := NewStore(Settings{}), filledStore(3)
	is.NoErr(s.Restore(Snapshot{Revision: 10}))
	pullAll(is, NewPuller(receiver), NewServer(s, unlimited()))
	is.Equal(len(receiver.View().Backends), 0)
	is.Equal(receiver.Revision(), pimid.Revision(10))
}

// Guards against accepting replies with damaged chunks.
func TestDamagedChunksAreRefused(t *testing.T) {
	is := is.New(t)
	receiver := NewStore(Settings{})
	p := NewPuller(receiver)
	for _, reply := range []*pimpb.PullConfigReply{
		{Revision: 5, ChunkHashes: [][]byte{{1, 2}}},
		{Revision: 5, ChunkHashes: [][]byte{make([]byte, HashSize)}, Chunks: [][]byte{{0xff, 0xff}}},
	} {
		_, err := p.Accept(&pimpb.PullConfigRequest{}, reply)
		is.True(errors.Is(err, ErrBadChunk))
	}
	is.Equal(receiver.Revision(), pimid.Revision(0))
}

// Guards against a sender that exceeds its byte budget, and against a value above the burst that is never sent.
func TestBudgetBoundsAndAllowsLargeMessages(t *testing.T) {
	is := is.New(t)
	var clock pimclock.Manual
	b := NewBudget(clock.Now(), BudgetRate, BudgetBurst)
	sent := 0
	for range 600 {
		for b.Take(clock.Now(), 1000) {
			sent += 1000
		}
		clock.Advance(100 * time.Millisecond)
	}
	is.True(sent <= BudgetBurst+60*BudgetRate+1000)
	is.True(sent >= BudgetBurst+59*BudgetRate)
	is.True(!b.Take(clock.Now(), 1_000_000))
	clock.Advance(b.Wait(clock.Now(), 1_000_000))
	clock.Advance(time.Millisecond)
	is.True(b.Take(clock.Now(), 1_000_000))
	is.True(b.Available(clock.Now()) < 0)
	b = NewBudget(clock.Now(), BudgetRate, BudgetBurst)
	b.Charge(clock.Now(), BudgetBurst-10) // gossip leaves 10 bytes for pulls
	is.Equal(b.Available(clock.Now()), 10)
	is.True(!b.Take(clock.Now(), 11))
}

// Guards against a syncer that keeps pulling from a VM that fails or has no budget left.
func TestSyncerAvoidsVMsThatFail(t *testing.T) {
	is := is.New(t)
	s := NewSyncer(NewStore(Settings{}), rand.New(rand.NewPCG(1, 1)))
	ahead := []pimid.NodeID{1, 2}
	seen := map[pimid.NodeID]int{}
	for range 2 {
		peer, req, ok := s.Next(0, ahead)
		is.True(ok)
		seen[peer]++
		_, _, again := s.Next(0, ahead)
		is.True(!again) // one pull at a time
		_, err := s.Done(0, peer, req, nil, errors.New("refused"))
		is.NoErr(err)
	}
	is.Equal(len(seen), 2)
	_, _, ok := s.Next(0, ahead)
	is.True(!ok)
	_, _, ok = s.Next(pimclock.Instant(2*minPeerBackoff), ahead)
	is.True(ok)
}
