package pimhistory

import (
	"fmt"

	"github.com/anishathalye/porcupine"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// History records the executions by backend servers and the replies that callers received.
type History struct {
	ops int
	// opOf maps a request to its operation; the retries of an operation are different requests.
	opOf map[pimonce.Key]int
	// runs counts the executions of each request.
	runs    map[pimonce.Key]int
	replies []receivedReply
	events  []porcupine.Operation
}

// receivedReply is one reply that reached a caller.
type receivedReply struct {
	key   pimonce.Key
	reply pimedge.Reply
}

// Counts holds the numbers of operations and executions, and of replies by outcome; Unknown includes failed.
type Counts struct {
	Operations, Runs, Answered, NotRun, Unknown int
}

// begin starts a new operation and returns its number.
func (h *History) begin() int {
	h.ops++
	return h.ops
}

// tag records the operation that a request belongs to.
func (h *History) tag(op int, k pimonce.Key) {
	if h.opOf == nil {
		h.opOf, h.runs = map[pimonce.Key]int{}, map[pimonce.Key]int{}
	}
	h.opOf[k] = op
}

// ran records an execution of a request by a backend server.
func (h *History) ran(k pimonce.Key, now pimclock.Instant) {
	h.runs[k]++
	h.events = append(h.events, porcupine.Operation{Input: k, Output: ranEvent, Call: int64(now), Return: int64(now)})
}

// replied records a reply to a packet that was sent at the given instant.
func (h *History) replied(k pimonce.Key, p pimedge.Reply, sent, now pimclock.Instant) {
	h.replies = append(h.replies, receivedReply{k, p})
	h.events = append(h.events, porcupine.Operation{Input: k, Output: p.Outcome, Call: int64(sent), Return: int64(now)})
}

// Counts returns the numbers of operations, executions and replies.
func (h *History) Counts() (c Counts) {
	c.Operations = h.ops
	for _, n := range h.runs {
		c.Runs += n
	}
	for _, t := range h.replies {
		switch t.reply.Outcome {
		case pimedge.OutcomeAnswered:
			c.Answered++
		case pimedge.OutcomeNotRun:
			c.NotRun++
		case pimedge.OutcomeUnknown, pimedge.OutcomeFailed:
			c.Unknown++
		}
	}
	return c
}

// Violations returns a message for each request or operation that ran more than once, each request that was reported as
// not run and ran, and each answer that belongs to another request.
func (h *History) Violations() (v []string) {
	perOp := map[int]int{}
	for k, n := range h.runs {
		perOp[h.opOf[k]] += n
		if n > 1 {
			v = append(v, fmt.Sprintf("request %v ran %d times", k, n))
		}
	}
	for op, n := range perOp {
		if n > 1 {
			v = append(v, fmt.Sprintf("operation %d ran %d times", op, n))
		}
	}
	for _, t := range h.replies {
		switch {
		case t.reply.Outcome == pimedge.OutcomeNotRun && h.runs[t.key] > 0:
			v = append(v, fmt.Sprintf("request %v was reported as not run and ran", t.key))
		case t.reply.Outcome == pimedge.OutcomeAnswered && string(t.reply.Body) != expectedAnswer(t.key):
			v = append(v, fmt.Sprintf("request %v received the answer %s", t.key, t.reply.Body))
		}
	}
	return v
}
