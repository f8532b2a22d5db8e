package pimcaller

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// Guards against a retransmission that differs from the first datagram: the home VM could not recognise it as a
// duplicate.
func TestPostRetransmitsTheSameDatagram(t *testing.T) {
	is := is.New(t)
	c, s := serve(t, Config{}, func(n int, m message.Message) []message.Message {
		if n < 4 {
			return nil // lost
		}
		return []message.Message{reply(m, codes.Content, "done")}
	})
	res := c.Post(context.Background(), "/orders/a%2Fb?id=1", []byte("order"))
	is.Equal(res.Outcome, Answered)
	is.Equal(string(res.Body), "done")
	got := s.withToken()
	is.True(len(got) >= 4 && res.Sent >= 4)
	for _, datagram := range got {
		is.Equal(datagram, got[0])
	}
	next := c.Post(context.Background(), "/", nil)
	is.Equal(next.Outcome, Answered)
	different := make(map[string]bool)
	for _, datagram := range s.withToken() {
		different[string(datagram)] = true
	}
	is.Equal(len(different), 2) // another request has another tag
}

// Guards against an answer that is taken for that of another request.
func TestLateAndMismatchedAnswersAreIgnored(t *testing.T) {
	is := is.New(t)
	c, _ := serve(t, Config{}, func(_ int, m message.Message) []message.Message {
		crossed := reply(m, codes.Content, "crossed")
		crossed.Token = []byte("othertok")
		late := reply(m, codes.Content, "late")
		late.MessageID = (m.MessageID + 1) % 65536
		short := reply(m, codes.Content, "short token")
		short.Token = m.Token[:4]
		ack := reply(m, codes.Empty, "")
		ack.Token = nil
		return []message.Message{crossed, late, short, ack, reply(m, codes.Content, "mine")}
	})
	res := c.Post(context.Background(), "/", nil)
	is.Equal(string(res.Body), "mine")
	is.True(c.Stats().Late >= 4)
}

// Guards against a POST request that runs twice: if a VM asks for a new token, an earlier datagram may have reached
// another VM that accepts the old one and runs the request.
func TestPostIsNotRetriedWithANewToken(t *testing.T) {
	is := is.New(t)
	c, s := serve(t, Config{AckTimeout: time.Minute}, func(_ int, m message.Message) []message.Message {
		return []message.Message{offer(m, "token-2")}
	})
	res := c.Post(context.Background(), "/", nil)
	is.Equal(res.Outcome, Unknown)
	is.Equal(len(s.withToken()), 1)
	is.Equal(string(c.tokens.get()), "token-2") // later requests use the new token
}

// Guards against an idempotent request that fails because a VM asks for a new token.
func TestGetIsRetriedWithANewToken(t *testing.T) {
	is := is.New(t)
	c, _ := serve(t, Config{AckTimeout: time.Minute}, func(n int, m message.Message) []message.Message {
		if n == 1 {
			return []message.Message{offer(m, "token-2")}
		}
		echo, _ := m.Options.GetBytes(message.Echo)
		return []message.Message{reply(m, codes.Content, string(echo))}
	})
	is.Equal(string(c.Get(context.Background(), "/").Body), "token-2")
}

// Guards against a wrong outcome, above all not_run or answered for a request that may have run.
func TestOutcomes(t *testing.T) {
	withJSON := func(code codes.Code, body string) func(m message.Message) message.Message {
		return func(m message.Message) message.Message { return jsonReply(m, code, body) }
	}
	withText := func(code codes.Code) func(m message.Message) message.Message {
		return func(m message.Message) message.Message { return reply(m, code, "x") }
	}
	cases := map[string]struct {
		reply   func(m message.Message) message.Message
		outcome Outcome
		reason  string
		retry   time.Duration
	}{
		"content":           {withText(codes.Content), Answered, "", 0},
		"backend not found": {withText(codes.NotFound), Answered, "", 0},
		"json content":      {withJSON(codes.Content, `{"a":1}`), Answered, "", 0},
		"backend error":     {withText(codes.InternalServerError), Failed, "backend_error", 0},
		"refused": {
			withJSON(codes.ServiceUnavailable, `{"outcome":"not_run","reason":"no_slot","retry_after_ms":1500}`),
			NotRun, "no_slot", 1500 * time.Millisecond,
		},
		"unknown":              {withJSON(codes.GatewayTimeout, `{"outcome":"unknown","reason":"home_lost"}`), Unknown, "home_lost", 0},
		"too large":            {withJSON(codes.InternalServerError, `{"outcome":"failed","reason":"too_large"}`), Failed, "too_large", 0},
		"unreadable":           {withJSON(codes.ServiceUnavailable, `{`), Unknown, ReasonMalformed, 0},
		"unknown key":          {withJSON(codes.ServiceUnavailable, `{"outcome":"not_run","x":1}`), Unknown, ReasonMalformed, 0},
		"outcome answered":     {withJSON(codes.ServiceUnavailable, `{"outcome":"answered"}`), Unknown, ReasonMalformed, 0},
		"code without a class": {withText(codes.Code(7 << 5)), Unknown, ReasonMalformed, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, _ := serve(t, Config{AckTimeout: time.Minute}, func(_ int, m message.Message) []message.Message {
				return []message.Message{tc.reply(m)}
			})
			res := c.Post(context.Background(), "/", nil)
			is.Equal(res.Outcome, tc.outcome)
			is.Equal(res.Reason, tc.reason)
			is.Equal(res.RetryAfter, tc.retry)
		})
	}
}

// Guards against not_run for a request that was sent, and against unknown for one that never was.
func TestOutcomeAtTheDeadline(t *testing.T) {
	is := is.New(t)
	sent := make(chan struct{}, 100)
	c, _ := serve(t, Config{AckTimeout: time.Minute}, func(int, message.Message) []message.Message {
		sent <- struct{}{}
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-sent
		cancel()
	}()
	res := c.Post(ctx, "/", nil)
	is.Equal(res.Outcome, Unknown)
	is.Equal(res.Reason, ReasonNoAnswer)
	res = c.Post(ctx, "/", nil) // cancelled before the send
	is.Equal(res.Outcome, NotRun)
	is.Equal(res.Reason, ReasonDeadline)
	res = c.Post(context.Background(), "/", make([]byte, maxBody+1))
	is.Equal(res.Reason, ReasonInvalid)
	res = c.Post(context.Background(), "/"+strings.Repeat("p", maxOptionValue+1), nil)
	is.Equal(res.Reason, ReasonInvalid)
	is.Equal(res.Outcome, NotRun)
}

// Guards against panics for any datagram, and against an outcome other than answered without a reason, except in
// an error reply of a VM.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, datagram []byte) {
		r, err := decode(datagram)
		if err != nil {
			return
		}
		if res := r.result(); res.Outcome == "" || res.Outcome != Answered && res.Reason == "" && !r.json {
			t.Fatalf("outcome without reason: %+v", res)
		}
	})
}
