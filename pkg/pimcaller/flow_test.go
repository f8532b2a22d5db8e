package pimcaller

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// fast sets short refresh and retransmission times. The results of the tests depend on what the server sends, not on
// how long it takes.
var fast = Config{
	Refresh:        5 * time.Millisecond,
	SilenceTimeout: time.Minute,
	AckTimeout:     5 * time.Millisecond,
	MaxAckTimeout:  5 * time.Millisecond,
}

func openFlow(t *testing.T, c *Caller) *Flow {
	t.Helper()
	f, err := c.Open(context.Background(), "/feed")
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Guards against broken flows that are not noticed, and against flows that count as broken although they are not.
func TestFlowEnds(t *testing.T) {
	gone := `{"outcome":"not_run","reason":"backend_gone","retry_after_ms":0}`
	silent := fast
	silent.SilenceTimeout = 30 * time.Millisecond
	cases := map[string]struct {
		cfg Config
		// after answers the third and later messages; the first two are answered by backend server "a".
		after func(m message.Message) []message.Message
		want  error
	}{
		"moved": {fast, func(m message.Message) []message.Message {
			return []message.Message{notification(m, "b", 9)}
		}, ErrFlowMoved},
		"silent": {silent, func(message.Message) []message.Message { return nil }, ErrFlowSilent},
		"backend gone": {fast, func(m message.Message) []message.Message {
			return []message.Message{jsonReply(m, codes.ServiceUnavailable, gone)}
		}, ErrFlowRefused},
		"not known": {fast, func(m message.Message) []message.Message {
			return []message.Message{reply(m, codes.NotFound, "")}
		}, ErrFlowRefused},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, _ := serve(t, tc.cfg, func(n int, m message.Message) []message.Message {
				if n <= 2 {
					return []message.Message{notification(m, "a", byte(n))}
				}
				return tc.after(m)
			})
			f := openFlow(t, c)
			<-f.Done()
			is.True(errors.Is(f.Err(), tc.want))
			is.Equal(f.Identity(), "61")
			is.Equal(c.Stats().FlowsBroken, uint64(1))
		})
	}
}

// Guards against an open flow that replaces its token because one VM has an old view or refuses for a while, and
// against notifications that are delivered in the wrong order.
func TestFlowSurvivesTemporaryRefusals(t *testing.T) {
	is := is.New(t)
	behind := `{"outcome":"not_run","reason":"view_behind","retry_after_ms":1000}`
	renewed := make(chan struct{})
	var once sync.Once
	c, s := serve(t, fast, func(n int, m message.Message) []message.Message {
		if echo, _ := m.Options.GetBytes(message.Echo); string(echo) == "token-3" {
			once.Do(func() { close(renewed) })
		}
		switch n {
		case 2, 3:
			return []message.Message{offer(m, "token-2")}
		case 4:
			return []message.Message{jsonReply(m, codes.ServiceUnavailable, behind)}
		case 6:
			return []message.Message{with(reply(m, codeTokenRenewed, ""), message.Echo, "token-3")}
		case 8:
			return []message.Message{notification(m, "a", 1)} // older than the last one
		}
		return []message.Message{notification(m, "a", byte(n))}
	})
	f := openFlow(t, c)
	last := uint32(0)
	for last < 9 {
		u, ok := <-f.Updates()
		is.True(ok)
		is.True(u.Sequence > last)
		last = u.Sequence
	}
	<-renewed
	f.Close()
	is.True(errors.Is(f.Err(), ErrFlowClosed))
	is.Equal(c.Stats().FlowsBroken, uint64(0))
	for _, datagram := range s.withToken() {
		r, err := decode(datagram)
		is.NoErr(err)
		is.True(string(r.echo) != "token-2") // two offers are not enough
	}
}

// Guards against flow data that another backend server answers and that the caller takes for delivered.
func TestFlowSendDetectsAnotherBackend(t *testing.T) {
	is := is.New(t)
	cfg := fast
	cfg.Refresh, cfg.AckTimeout = time.Minute, time.Minute
	c, _ := serve(t, cfg, func(n int, m message.Message) []message.Message {
		if m.Code == codes.PUT {
			identity := map[int]string{2: "a", 3: "b"}[n]
			return []message.Message{with(reply(m, codes.Changed, ""), message.ETag, identity)}
		}
		return []message.Message{notification(m, "a", byte(n))}
	})
	f := openFlow(t, c)
	is.Equal(f.Send(context.Background(), []byte("move")).Outcome, Answered)
	is.Equal(f.Send(context.Background(), []byte("move")).Outcome, Failed)
}

// Guards against a refusal that is reported as an open flow.
func TestOpenReportsRefusal(t *testing.T) {
	is := is.New(t)
	body := `{"outcome":"not_run","reason":"flow_limit","retry_after_ms":2000}`
	c, _ := serve(t, fast, func(_ int, m message.Message) []message.Message {
		return []message.Message{jsonReply(m, codes.TooManyRequests, body)}
	})
	_, err := c.Open(context.Background(), "/feed")
	var refused *RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Result.Reason, "flow_limit")
	is.Equal(refused.Result.RetryAfter, 2*time.Second)
	is.Equal(c.Stats().FlowsOpened, uint64(0))
}

// Guards against a wrong order at the wrap-around of the sequence number.
func TestSequenceOrder(t *testing.T) {
	is := is.New(t)
	is.True(isNewer(1, 2))
	is.True(!isNewer(2, 1) && !isNewer(2, 2))
	is.True(isNewer(1<<24-1, 0))
	is.True(!isNewer(0, 1<<24-1))
}
