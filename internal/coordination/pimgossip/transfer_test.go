package pimgossip

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

var (
	senderA  = netip.MustParseAddrPort("10.1.0.2:7720")
	senderB  = netip.MustParseAddrPort("10.1.0.3:7720")
	dataSeed = [32]byte{1}
)

// link carries chunks from two VMs to a receiver whose socket queue holds few of them.
type link struct {
	t        *testing.T
	rng      *rand.Rand
	now      pimclock.Instant
	receiver *Mesh
	view     View
	outboxes map[netip.AddrPort]*Outbox
	// data is the encoded delta of each sender; a sender without one is dead.
	data map[netip.AddrPort][]byte
	to   pimid.Revision
	// queue holds the datagrams on their way to the receiver; those beyond queueLimit are lost, and so is a share.
	queue      []queued
	queueLimit int
	loss       float64
	sent       int
	received   []byte
}

// queued is a chunk on its way from a VM.
type queued struct {
	from  netip.AddrPort
	chunk pimmesh.Chunk
}

// queueLimit is the number of chunks in the socket queue of a small VM.
const queueLimit = 48

// newLink returns a link to a receiver at revision 5, with senders that have a delta of n bytes up to revision 9.
func newLink(t *testing.T, n int, seed uint64) *link {
	t.Helper()
	cfg := DefaultSettings(inForceWithin)
	cfg.Name, cfg.DataCentre, cfg.Address = "vm-1", "ikeja", netip.MustParseAddrPort("10.1.0.1:7720")
	l := &link{
		t: t, rng: rand.New(rand.NewPCG(seed, 6)), now: pimclock.Instant(time.Hour), receiver: New(cfg, rand.New(rand.NewPCG(seed, 7))),
		view: View{Revision: 5, Base: 1, Config: 5}, to: 9, queueLimit: queueLimit,
		outboxes: map[netip.AddrPort]*Outbox{senderA: {}, senderB: {}}, data: map[netip.AddrPort][]byte{},
	}
	for i, sender := range []netip.AddrPort{senderA, senderB} {
		data := make([]byte, n)
		_, err := rand.NewChaCha8([32]byte{dataSeed[0], byte(i)}).Read(data)
		is.New(t).NoErr(err)
		l.data[sender] = data
	}
	return l
}

// run lets both senders send heartbeats with a newer revision, and delivers what is under way, until the delta has
// arrived or the time is over.
func (l *link) run(limit time.Duration) {
	heartbeats := 0
	for end := l.now.Add(limit); l.received == nil && l.now.Before(end); l.now = l.now.Add(step) {
		if l.now.Sub(0)%(5*step) == 0 {
			heartbeats++
			from := []netip.AddrPort{senderA, senderB}[heartbeats%2]
			if l.data[from] == nil {
				continue
			}
			h := l.receiver.Receive(l.now, &pimmesh.Heartbeat{
				Name: from.String(), DataCentre: "ikeja", Address: from, Revision: l.to, SentAt: time.Duration(l.now), Incarnation: 1,
			}, l.view)
			l.send(h.Out)
		}
		l.send(l.receiver.Tick(l.now, l.view))
		l.deliver()
	}
}

// send passes pulls to the senders and puts their answers into the queue of the receiver.
func (l *link) send(out []Outgoing) {
	for _, o := range out {
		p := o.Message.Pull
		if p == nil || l.data[o.To] == nil {
			continue
		}
		chunks, err := l.outboxes[o.To].Answer(l.now, p, func() (EncodedDelta, error) {
			return EncodedDelta{From: p.Since, To: l.to, Data: l.data[o.To]}, nil
		})
		is.New(l.t).NoErr(err)
		l.sent += len(chunks)
		for _, c := range chunks {
			if len(l.queue) < l.queueLimit && l.rng.Float64() >= l.loss {
				l.queue = append(l.queue, queued{from: o.To, chunk: c})
			}
		}
	}
}

// deliver passes the chunks in the queue to the receiver.
func (l *link) deliver() {
	queue := l.queue
	l.queue = nil
	for _, q := range queue {
		data, out := l.receiver.ReceiveChunk(l.now, &q.chunk, q.from, l.view)
		l.send(out)
		if data != nil {
			l.received = data
		}
	}
}

// Guards against a delta that never arrives because it is longer than the socket queue of the receiver, whether or not
// some datagrams are lost besides.
func TestDeltaLongerThanTheSocketQueueArrives(t *testing.T) {
	for _, loss := range []float64{0, 0.02} {
		for seed := range uint64(10) {
			is := is.New(t)
			l := newLink(t, 800*pimmesh.MaxChunk, seed)
			l.loss = loss
			l.run(inForceWithin)
			is.Equal(l.received != nil, true)
			is.True(string(l.received) == string(l.data[senderA]) || string(l.received) == string(l.data[senderB]))
			is.True(l.sent < 2*800)
		}
	}
}

// Guards against a VM that waits for the rest of a delta whose sender has died.
func TestTransferIsTakenOverWhenTheSenderDies(t *testing.T) {
	is := is.New(t)
	l := newLink(t, 800*pimmesh.MaxChunk, 1)
	for l.receiver.pulls.transfer.arrived < 100 {
		l.run(step)
	}
	dead := l.receiver.pulls.transfer.from
	l.data[dead] = nil
	l.run(inForceWithin)
	is.True(l.received != nil)
	is.Equal(l.receiver.DiscardedTransfers(), 1)
}

// Guards against a delta that mixes the chunks of two encodings or of two VMs, and against chunks with invalid counts or
// indexes.
func TestChunksOfTwoDeltasAreNotMixed(t *testing.T) {
	is := is.New(t)
	l := newLink(t, 3*pimmesh.MaxChunk, 1)
	pullAll := func(from netip.AddrPort) []pimmesh.Chunk {
		chunks, err := l.outboxes[from].Answer(l.now, &pimmesh.Pull{Since: 5}, func() (EncodedDelta, error) {
			return EncodedDelta{From: 5, To: 9, Data: l.data[from]}, nil
		})
		is.NoErr(err)
		return chunks
	}
	a, b := pullAll(senderA), pullAll(senderB)
	receive := func(c pimmesh.Chunk, from netip.AddrPort) []byte {
		data, _ := l.receiver.ReceiveChunk(l.now, &c, from, l.view)
		return data
	}
	for _, bad := range []pimmesh.Chunk{{To: 9}, {To: 9, Count: 1 << 30}, {To: 9, Count: 2, Index: 2}, {To: 9, Count: 2, Index: -1}, {To: 5, Count: 1}} {
		is.Equal(receive(bad, senderA), nil)
	}
	is.Equal(receive(a[0], senderA), nil)
	is.Equal(receive(b[1], senderB), nil)
	is.Equal(receive(b[2], senderA), nil)
	is.Equal(receive(a[1], senderA), nil)
	is.Equal(receive(a[2], senderA), l.data[senderA])

	forged := pimmesh.Chunk{From: 5, To: 9, Count: 1, Data: []byte("x"), Sum: 3}
	is.Equal(receive(forged, senderA), nil)
	is.Equal(receive(b[0], senderB), nil)
	is.Equal(receive(b[1], senderB), nil)
	is.Equal(receive(b[2], senderB), l.data[senderB])
}

// Guards against a delta that is encoded again for each VM that pulls it, against one that is sent with old times, and
// against memory that grows with the pulls.
func TestOutboxKeepsDeltas(t *testing.T) {
	is := is.New(t)
	var o Outbox
	encoded := 0
	answer := func(now pimclock.Instant, p *pimmesh.Pull) []pimmesh.Chunk {
		chunks, err := o.Answer(now, p, func() (EncodedDelta, error) {
			encoded++
			return EncodedDelta{From: p.Since, To: 9, Data: make([]byte, 3*pimmesh.MaxChunk+encoded)}, nil
		})
		is.NoErr(err)
		return chunks
	}
	first := answer(0, &pimmesh.Pull{Since: 5, Count: 2})
	is.Equal(len(first), 2)
	is.Equal(len(answer(0, &pimmesh.Pull{Since: 5})), 4)
	is.Equal(encoded, 1)
	rest := answer(pimclock.Instant(time.Second), &pimmesh.Pull{Since: 5, Sum: first[0].Sum, Chunks: []int{2, 3, 4, -1}})
	is.Equal(len(rest), 2)
	is.Equal(rest[1].Index, 3)
	is.Equal(encoded, 1)
	answer(pimclock.Instant(time.Second), &pimmesh.Pull{Since: 5})
	is.Equal(encoded, 2)
	for since := range pimid.Revision(100) {
		answer(pimclock.Instant(time.Second), &pimmesh.Pull{Since: since + 10})
	}
	is.Equal(len(o.deltas), outboxSize)
	answer(pimclock.Instant(time.Minute), &pimmesh.Pull{Since: 200})
	is.Equal(len(o.deltas), 1)
	errEncode := errors.New("encode")
	_, err := o.Answer(0, &pimmesh.Pull{Since: 300}, func() (EncodedDelta, error) { return EncodedDelta{}, errEncode })
	is.True(errors.Is(err, errEncode))
}

// Guards against a VM that ends because it waits for chunks while it knows no other running VM of its data centre and hellos are
// due.
func TestHellosOfAnIsolatedVMThatWaitsForChunks(t *testing.T) {
	is := is.New(t)
	cfg := DefaultSettings(inForceWithin)
	cfg.Seeds = []netip.AddrPort{netip.MustParseAddrPort("10.1.0.9:7720")}
	m := New(cfg, rand.New(rand.NewPCG(1, 1)))
	now, sender := pimclock.Instant(time.Hour), netip.MustParseAddrPort("10.1.0.1:7720")
	_, _ = m.ReceiveChunk(now, &pimmesh.Chunk{To: 5, Count: 3, Data: []byte{1}, Sum: 7}, sender, View{})
	out := m.Tick(now.Add(cfg.PullTimeout), View{})
	is.Equal(len(out), 2) // the chunks once more, and a hello to the seed
	is.True(out[0].Message.Pull != nil)
	is.True(out[1].Message.Heartbeat.Hello)
}
