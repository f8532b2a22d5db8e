package pimgossip

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// urgentHeartbeat is the heartbeat of sender A at a revision, with backend servers up to another one.
func (l *link) urgentHeartbeat(revision, urgent, base pimid.Revision) (pulls []*pimmesh.Pull) {
	h := l.receiver.Receive(l.now, &pimmesh.Heartbeat{
		Name: "a", DataCentre: "ikeja", Address: senderA, Revision: revision, Urgent: urgent, Base: base,
		SentAt: time.Duration(l.now), Incarnation: 1,
	}, l.view)
	for _, o := range h.Out {
		if o.Message.Pull != nil {
			pulls = append(pulls, o.Message.Pull)
		}
	}
	return pulls
}

// Guards against changes of backend servers that another VM has ahead of others and that are not pulled, are pulled twice, or are pulled
// from a VM that cannot send them alone or may not know all of them.
func TestUrgentChangesArePulledAhead(t *testing.T) {
	is := is.New(t)
	l := newLink(t, 1, 1)
	is.Equal(l.urgentHeartbeat(5, 0, 1), nil) // a VM of an earlier release
	is.Equal(l.urgentHeartbeat(5, 5, 1), nil)
	is.Equal(l.urgentHeartbeat(5, 8, 7), nil) // it has listed the platform since
	pulls := l.urgentHeartbeat(5, 8, 1)
	is.Equal(len(pulls), 1)
	is.Equal(pulls[0].Urgent, pimid.Revision(5))
	is.Equal(l.urgentHeartbeat(5, 8, 1), nil) // it is under way
	l.now = l.now.Add(DefaultSettings(inForceWithin).PullTimeout)
	is.Equal(len(l.urgentHeartbeat(5, 8, 1)), 1) // it was lost
	l.view.Urgent = 8
	is.Equal(l.urgentHeartbeat(5, 8, 1), nil)
	pulls = l.urgentHeartbeat(9, 9, 1)
	is.Equal(len(pulls), 1)
	is.Equal(pulls[0].Urgent, pimid.Revision(0)) // they come with all other changes

	era, err := pimid.NewRevision(1, 3)
	is.NoErr(err)
	is.Equal(newLink(t, 1, 1).urgentHeartbeat(5, era, 1), nil)
}

// Guards against changes of backend servers that wait for a large answer with all changes, or that discard it.
func TestUrgentChangesDoNotWaitForALargeAnswer(t *testing.T) {
	is := is.New(t)
	l := newLink(t, 800*pimmesh.MaxChunk, 1)
	for l.receiver.pulls.transfer.arrived < 100 {
		l.run(step)
	}
	l.now = l.now.Add(time.Millisecond)
	pulls := l.urgentHeartbeat(10, 10, 1)
	is.Equal(len(pulls), 1)
	is.Equal(pulls[0].Urgent, l.view.Revision)

	var outbox Outbox
	chunks, err := outbox.Answer(l.now, pulls[0], func() (EncodedDelta, error) {
		return EncodedDelta{From: 5, To: 10, Data: []byte("leaving"), Urgent: true}, nil
	})
	is.NoErr(err)
	data, out := l.receiver.ReceiveChunk(l.now, &chunks[0], senderA, l.view)
	is.Equal(string(data), "leaving")
	is.Equal(len(out), 0)
	l.view.Urgent = 10
	data, _ = l.receiver.ReceiveChunk(l.now, &chunks[0], senderA, l.view) // once more
	is.Equal(data, nil)
	is.Equal(l.urgentHeartbeat(10, 10, 1), nil)

	l.run(inForceWithin)
	is.Equal(len(l.received), 800*pimmesh.MaxChunk)
	is.Equal(l.receiver.DiscardedTransfers(), 0)
}

// Guards against an answer with all changes to a pull of backend servers alone, and the reverse, since both begin at the same revision.
func TestOutboxTellsUrgentPulls(t *testing.T) {
	is := is.New(t)
	var outbox Outbox
	l := newLink(t, 1, 1)
	answer := func(p pimmesh.Pull, data string) string {
		chunks, err := outbox.Answer(l.now, &p, func() (EncodedDelta, error) {
			return EncodedDelta{From: 5, To: 9, Data: []byte(data), Urgent: p.Urgent > 0}, nil
		})
		is.NoErr(err)
		is.Equal(chunks[0].Urgent, p.Urgent > 0)
		return string(chunks[0].Data)
	}
	is.Equal(answer(pimmesh.Pull{Since: 5}, "all"), "all")
	is.Equal(answer(pimmesh.Pull{Since: 5, Urgent: 5}, "backend servers"), "backend servers")
	is.Equal(answer(pimmesh.Pull{Since: 5, Urgent: 6}, "later"), "later")
	is.Equal(answer(pimmesh.Pull{Since: 5}, "again"), "all")
}

// Guards against a long delta of backend servers of which lost chunks are never pulled again, or are pulled from the other delta.
func TestLongUrgentDeltaArrives(t *testing.T) {
	is := is.New(t)
	l := newLink(t, 3*pimmesh.MaxChunk, 1)
	pulls := l.urgentHeartbeat(5, 8, 1)
	is.Equal(len(pulls), 1)
	var outbox Outbox
	answer := func(p *pimmesh.Pull) []pimmesh.Chunk {
		chunks, err := outbox.Answer(l.now, p, func() (EncodedDelta, error) {
			return EncodedDelta{From: 5, To: 8, Data: l.data[senderA], Urgent: true}, nil
		})
		is.NoErr(err)
		return chunks
	}
	chunks := answer(pulls[0])
	is.Equal(len(chunks), 3)
	for _, i := range []int{0, 2} {
		data, _ := l.receiver.ReceiveChunk(l.now, &chunks[i], senderA, l.view)
		is.Equal(data, nil)
	}
	l.now = l.now.Add(DefaultSettings(inForceWithin).PullTimeout)
	var data []byte
	for _, o := range l.receiver.Tick(l.now, l.view) {
		if o.Message.Pull == nil {
			continue
		}
		is.Equal(o.Message.Pull.Chunks, []int{1})
		is.Equal(o.Message.Pull.Urgent, pimid.Revision(5))
		again := answer(o.Message.Pull)
		data, _ = l.receiver.ReceiveChunk(l.now, &again[0], senderA, l.view)
	}
	is.Equal(string(data), string(l.data[senderA]))
}
