package pimedge

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// describe formats the parts of a datagram that callers evaluate.
func describe(t *testing.T, raw []byte) string {
	t.Helper()
	m := message.Message{Options: make(message.Options, 0, maxOptions)}
	if _, err := coder.DefaultCoder.Decode(raw, &m); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d.%02d type=%d id=%d token=%q", m.Code>>5, m.Code&31, m.Type, m.MessageID, m.Token)
	for _, o := range m.Options {
		fmt.Fprintf(&b, " %s=%x", o.ID, o.Value)
	}
	if len(m.Payload) < 100 {
		fmt.Fprintf(&b, " body=%s", m.Payload)
	} else {
		fmt.Fprintf(&b, " body of %d bytes", len(m.Payload))
	}
	return b.String()
}

// Guards against unintended changes of the encoding, above all against a refusal that a caller takes for an answer.
func TestEncodeReplyGolden(t *testing.T) {
	is := is.New(t)
	refusal := func(reason Reason, retry time.Duration) Reply {
		return Reply{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retry}
	}
	answer := func(status int) Reply { return Reply{Outcome: OutcomeAnswered, Status: status, Body: []byte("b")} }
	failure := func(status int) Reply { return Reply{Outcome: OutcomeFailed, Status: status, Body: []byte("e")} }
	cases := []struct {
		name  string
		reply Reply
	}{
		{"answered", answer(200)},
		{"answered without body", Reply{Outcome: OutcomeAnswered, Status: 204}},
		{"answered 401", answer(401)},
		{"answered 404", answer(404)},
		{"answered 418", answer(418)},
		{"answered 429", answer(429)},
		{"answered with new token", Reply{Outcome: OutcomeAnswered, Status: 200, Token: []byte("t")}},
		{"failed 500", failure(500)},
		{"failed 503", failure(503)},
		{"failed 504", failure(504)},
		{"largest answer", Reply{Outcome: OutcomeAnswered, Status: 200, Body: make([]byte, MaxBody)}},
		{"too large", Reply{Outcome: OutcomeAnswered, Status: 200, Body: make([]byte, MaxBody+1)}},
		{"no token", Reply{Outcome: OutcomeNotRun, Reason: ReasonNoToken, Token: bytes.Repeat([]byte{1}, 40)}},
		{"bad token with new one", Reply{Outcome: OutcomeNotRun, Reason: ReasonBadToken, Token: []byte("t")}},
		{"bad token", refusal(ReasonBadToken, 0)},
		{"rate limit 1 ns", refusal(ReasonRateLimit, 1)},
		{"flow limit 1001 ms", refusal(ReasonFlowLimit, 1001*time.Millisecond)},
		{"no slot 2 s", refusal(ReasonNoSlot, 2*time.Second)},
		{"backend gone", refusal(ReasonBackendGone, 0)},
		{"longest retry", refusal(ReasonOverload, 1<<62)},
		{"unknown", Reply{Outcome: OutcomeUnknown, Reason: ReasonHomeLost, Token: []byte("t")}},
		{"zero reply", Reply{}},
		{"bad input", BadInput()},
	}
	var b strings.Builder
	for _, c := range cases {
		raw, err := EncodeReply(nil, NewExchange(7, []byte("tok"), true), c.reply)
		is.NoErr(err)
		fmt.Fprintf(&b, "%s: %s\n", c.name, describe(t, raw))
	}
	raw, err := EncodeReply([]byte("prefix"), NewExchange(8, nil, false), answer(200))
	is.NoErr(err)
	fmt.Fprintf(&b, "non-confirmable: %s\n", describe(t, raw[len("prefix"):]))
	golden := filepath.Join("testdata", "replies.golden")
	if *update {
		is.NoErr(os.WriteFile(golden, []byte(b.String()), 0o600))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(b.String(), string(want))
}
