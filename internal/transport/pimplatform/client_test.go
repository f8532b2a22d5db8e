package pimplatform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/standin/standplatform"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimfollow"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

func platform(t *testing.T, hold time.Duration) (*standplatform.State, *standplatform.Server, *Client) {
	t.Helper()
	state := standplatform.NewState()
	server := standplatform.NewServer(state, hold)
	return state, server, client(t, server, Settings{})
}

func client(t *testing.T, h http.Handler, cfg Settings) *Client {
	t.Helper()
	web := httptest.NewServer(h)
	t.Cleanup(web.Close)
	cfg.Address = web.URL
	c, cleanup, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return c
}

// Guards against a client that interprets the protocol differently from the stand-in platform.
func TestReadsOfAHealthyPlatform(t *testing.T) {
	is := is.New(t)
	state, server, c := platform(t, time.Millisecond)
	state.Put("services/1", []byte(`{"id":1}`))
	state.Put("services/2", []byte(`{"id":2}`))
	state.SetVM(pimview.Node{ID: 3, DataCentre: "ikeja", State: pimview.NodeLeaving})
	snap, err := c.Snapshot(t.Context())
	is.NoErr(err)
	is.Equal(snap.Revision, pimid.Revision(2))
	is.Equal(len(snap.Entries), 2)
	is.Equal(string(snap.Entries[0].Value), `{"id":1}`)
	state.Delete("services/1")
	b, err := c.Watch(t.Context(), 2, 0)
	is.NoErr(err)
	is.Equal(b, pimconfig.Batch{From: 2, To: 3, Events: []pimconfig.Event{{Revision: 3, Key: "services/1", Deleted: true}}})
	b, err = c.Watch(t.Context(), 3, 0) // the server holds the watch until its limit
	is.NoErr(err)
	is.Equal(b, pimconfig.Batch{From: 3, To: 3})
	list, err := c.VMs(t.Context())
	is.NoErr(err)
	is.Equal(list.Version, uint64(1))
	is.Equal(list.VMs[0].State, pimview.NodeLeaving)
	is.Equal(server.Calls(), standplatform.Calls{Keys: 1, Watch: 2, VMs: 1})
}

// Guards against failures of the platform that callers cannot distinguish by type.
func TestFailuresHaveTypes(t *testing.T) {
	text := func(s string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(s)) }
	}
	for name, tc := range map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"malformed":     {text(`{"revision":`), ErrMalformed},
		"unknown field": {text(`{"revision":1,"colour":2}`), ErrMalformed},
		"trailing":      {text(`{"revision":1} 5`), ErrMalformed},
		"large":         {text(`{"revision":1,"keys":[` + strings.Repeat(" ", 2000) + `]}`), ErrTooLarge},
		"gone":          {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGone) }, pimfollow.ErrCompacted},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := client(t, tc.handler, Settings{MaxBytes: 1000}).Snapshot(t.Context())
			is.True(errors.Is(err, tc.want))
		})
	}
	is := is.New(t)
	_, server, c := platform(t, time.Millisecond)
	server.SetMode(standplatform.Mode{Down: true})
	_, err := c.Watch(t.Context(), 1, 0)
	var status *StatusError
	is.True(errors.As(err, &status))
	is.Equal(status.Status, http.StatusServiceUnavailable)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Snapshot(ctx)
	is.True(errors.Is(err, ErrUnreachable))
	for _, address := range []string{"", "ftp://127.0.0.1", "http://", "::"} {
		_, _, err = New(Settings{Address: address})
		is.True(errors.Is(err, ErrAddress))
	}
}

// Guards against a VM that never receives a large configuration, because reading it ends by a timeout although the platform
// keeps sending.
func TestLargeResponseMayTakeLongerThanTheTimeout(t *testing.T) {
	is := is.New(t)
	const (
		timeout = 2 * time.Second
		gap     = 20 * time.Millisecond
		parts   = 110
	)
	slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		tick := time.NewTicker(gap)
		defer tick.Stop()
		for range parts {
			_, err := w.Write([]byte(strings.Repeat(" ", 1000)))
			is.NoErr(err)
			is.NoErr(http.NewResponseController(w).Flush())
			<-tick.C
		}
		_, err := w.Write([]byte(`{"revision":7}`))
		is.NoErr(err)
	})
	snap, err := client(t, slow, Settings{Timeout: timeout}).Snapshot(t.Context())
	is.NoErr(err)
	is.Equal(snap.Revision, pimid.Revision(7))
}

// sink sends the result of each Apply and Restore to the channel results.
type sink struct {
	*pimconfig.Store
	results chan error
}

func (s *sink) Apply(b pimconfig.Batch) error {
	err := s.Store.Apply(b)
	s.results <- err
	return err
}

func (s *sink) Restore(snap pimconfig.Snapshot) error {
	err := s.Store.Restore(snap)
	s.results <- err
	return err
}

// Guards against a follower that stops after an outage, accepts the older state of a stale replica, or misses changes
// after an outage with compaction.
func TestFollowerSurvivesOutageStaleReplicaAndCompaction(t *testing.T) {
	is := is.New(t)
	state, server, c := platform(t, time.Millisecond)
	state.Put("services/1", []byte(`{"id":1}`))
	s := &sink{Store: pimconfig.NewStore(pimconfig.Settings{}), results: make(chan error)}
	follow := func(c *Client) func() {
		backoff := pimfollow.NewBackoff(time.Millisecond, 2*time.Millisecond, rand.New(rand.NewPCG(1, 1)))
		_, cleanup := pimfollow.New(t.Context(), pimfollow.Config[pimconfig.Batch, pimconfig.Snapshot]{
			Source: c, Sink: s, Backoff: backoff, Log: zerolog.Nop(),
		})
		return cleanup
	}
	cleanup := follow(c)
	is.NoErr(<-s.results)
	is.Equal(s.Revision(), pimid.Revision(1))

	old := state.Clone()
	state.Put("services/1", []byte(`{"id":1,"name":"second"}`))
	is.NoErr(<-s.results)

	server.SetMode(standplatform.Mode{Down: true})
	state.Put("services/2", []byte(`{"id":2}`))
	state.Compact()
	server.SetMode(standplatform.Mode{})
	is.NoErr(<-s.results)
	is.Equal(s.Revision(), pimid.Revision(3))

	cleanupBehind := follow(client(t, standplatform.NewServer(old, time.Millisecond), Settings{}))
	is.True(errors.Is(<-s.results, pimconfig.ErrStale))
	is.Equal(s.Revision(), pimid.Revision(3))
	go func() {
		// The followers end only after their last result was received.
		for err := range s.results {
			_ = err
		}
	}()
	cleanup()
	cleanupBehind()
	close(s.results)
}

// Guards against changes that are refused as old, and against a configuration that goes back for a moment, after the platform
// was restored from a copy.
func TestFollowerTakesARestoredPlatform(t *testing.T) {
	is := is.New(t)
	const key, latest = "services/1", `{"id":1,"name":"third"}`
	state := standplatform.NewState()
	state.Put(key, []byte(`{"id":1}`))
	copied := state.Clone()
	state.Put(key, []byte(`{"id":1,"name":"second"}`))
	state.Put("services/2", []byte(`{"id":2}`))
	s := &sink{Store: pimconfig.NewStore(pimconfig.Settings{}), results: make(chan error)}
	c := client(t, standplatform.NewServer(state, time.Millisecond), Settings{RestoreDelay: 2 * time.Second})
	backoff := pimfollow.NewBackoff(time.Millisecond, 2*time.Millisecond, rand.New(rand.NewPCG(1, 1)))
	_, cleanup := pimfollow.New(t.Context(), pimfollow.Config[pimconfig.Batch, pimconfig.Snapshot]{
		Source: c, Sink: s, Backoff: backoff, Log: zerolog.Nop(),
	})
	is.NoErr(<-s.results)
	is.Equal(len(s.View().Services), 2)

	state.Restore(copied)
	state.Put("services/2", []byte(`{"id":2}`)) // written again, in another order
	state.Put(key, []byte(latest))
	is.NoErr(<-s.results)
	is.Equal(s.Revision().Era(), pimid.Era(1))
	is.Equal(len(s.View().Services), 2)
	state.Put("services/3", []byte(`{"id":3}`))
	is.NoErr(<-s.results)
	is.Equal(len(s.View().Services), 3)
	go func() {
		// The follower ends only after its last result was received.
		for err := range s.results {
			_ = err
		}
	}()
	cleanup()
	close(s.results)
}

// Guards against delays outside the bounds, without growth or without jitter.
func TestBackoffGrowsWithJitterWithinBounds(t *testing.T) {
	is := is.New(t)
	b := pimfollow.NewBackoff(100*time.Millisecond, 10*time.Second, rand.New(rand.NewPCG(1, 1)))
	var waits []time.Duration
	for range 200 {
		waits = append(waits, b.Next())
	}
	is.Equal(waits[0], 100*time.Millisecond)
	distinct, long := map[time.Duration]bool{}, 0
	for _, w := range waits {
		is.True(w >= 100*time.Millisecond && w <= 10*time.Second)
		distinct[w] = true
		if w > 5*time.Second {
			long++
		}
	}
	is.True(len(distinct) > 150 && long > 50)
	b.Reset()
	is.Equal(b.Next(), 100*time.Millisecond)
}

// Guards against a list or a watch that cannot be read because the value of one entry, left by another writer, is very deeply
// nested or has a number that is too large: no VM would receive a change any more.
func TestOddValueDoesNotHideTheOthers(t *testing.T) {
	const levels = 100_000
	for name, value := range map[string]string{
		"arrays":           strings.Repeat("[", levels) + strings.Repeat("]", levels),
		"objects":          strings.Repeat(`{"a":`, levels) + `"]}\\"` + strings.Repeat("}", levels),
		"text of brackets": `"` + strings.Repeat("[", levels) + `"`, "number": "1e999",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := client(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				list := "keys"
				if r.URL.Path == "/v1/watch" {
					list = "events"
				}
				// A lost connection fails the call.
				_, _ = fmt.Fprintf(w, `{"revision":9,%q:[{"key":"backends/1","revision":8,"value":{"id":1}},`+
					`{"key":"backends/2","revision":9,"value":%s},{"key":"backends/3","revision":9,"value":{"id":3}}]}`, list, value)
			}), Settings{})
			snap, err := c.Snapshot(t.Context())
			is.NoErr(err)
			b, err := c.Watch(t.Context(), 7, 0)
			is.NoErr(err)
			for _, entries := range [][]pimconfig.Event{snap.Entries, b.Events} {
				is.Equal(len(entries), 3)
				is.Equal(string(entries[0].Value), `{"id":1}`)
				is.Equal(string(entries[2].Value), `{"id":3}`)
				store := pimconfig.NewStore(pimconfig.Settings{})
				is.NoErr(store.Restore(pimconfig.Snapshot{Revision: 9, Entries: entries}))
				is.Equal(len(store.View().Backends), 2)
				is.Equal(len(store.BadValues()), 1)
			}
		})
	}
}

// Guards against text that is changed although it is not nested too deeply.
func TestNestingUpToTheLimitIsKept(t *testing.T) {
	is := is.New(t)
	nested := func(levels int, inner string) string {
		return strings.Repeat(`[{"\\\"[{":`, levels/2) + inner + strings.Repeat("}]", levels/2)
	}
	shortened := func(text string) string {
		got, err := io.ReadAll(&nestingReader{r: iotest.OneByteReader(strings.NewReader(text))})
		is.NoErr(err)
		return string(got)
	}
	deepest := nested(maxNesting, `"]}"`)
	is.Equal(shortened(deepest+deepest), deepest+deepest)
	is.Equal(shortened(nested(maxNesting+6, `"]}\\"`)), nested(maxNesting, "0"))
}

// FuzzDecode guards against a crash on any response and against a response above the limit being accepted.
func FuzzDecode(f *testing.F) {
	f.Add(`{"revision":1,"events":[{"revision":1,"key":"services/1","value":{"id":1}}]}`)
	f.Add(`{"revision":1,"keys":[]}`)
	f.Add(`{}`)
	f.Fuzz(func(t *testing.T, body string) {
		const limit = 200
		var r watchResponse
		if err := decode(strings.NewReader(body), limit, &r); err == nil && len(body) > limit {
			t.Fatal("accepted a response above the limit")
		}
	})
}
