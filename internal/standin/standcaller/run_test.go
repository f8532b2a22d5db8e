package standcaller

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/standin/standfabric"
)

// Guards against requests that are lost, executed twice or answered with the answer of another request, and against
// broken flows, on the whole path from caller to backend server. Datagrams go to random VMs and are lost, duplicated
// and reordered. The deadline is long enough for every request to be answered.
func TestWholePathUnderImpairment(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3, standfabric.Impairment{Loss: 0.1, Duplication: 0.1, MaxDelay: 5 * time.Millisecond})
	cfg := s.config()
	cfg.Flows = 20
	cfg.Refresh = 20 * time.Millisecond
	cfg.SilenceTimeout = time.Minute
	sum, err := Run(context.Background(), cfg)
	is.NoErr(err)
	is.True(sum.Requests > 0)
	is.Equal(sum.Outcomes["answered"], sum.Requests)
	is.Equal(sum.Mismatched, 0)
	is.Equal(sum.BrokenFlows, 0)
	posts := 0
	for _, b := range s.backends {
		st := b.Stats()
		is.Equal(st.Repeated, 0)
		is.Equal(st.Misrouted+st.Malformed, int64(0))
		posts += st.Posts
	}
	is.True(posts > 0 && posts < sum.Requests)
	stats := s.fabric.Stats()
	is.True(stats.Lost > 0 && stats.Duplicated > 0)
	is.Equal(stats.Unroutable, uint64(0))
}

// Guards against a check of answers that never fails: each request gets the answer of another request.
func TestMismatchIsCounted(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 1, standfabric.Impairment{})
	s.edge.swapReplies = true
	cfg := s.config()
	cfg.PostShare = 0
	sum, err := Run(context.Background(), cfg)
	is.NoErr(err)
	is.True(sum.Mismatched > 0)
	is.Equal(sum.Mismatched, sum.Outcomes["answered"])
}

// logEvents receives the lines of a log, so that a test can wait for them.
type logEvents chan string

func (e logEvents) Write(line []byte) (int, error) {
	e <- string(line)
	return len(line), nil
}

func (e logEvents) await(message string, n int) {
	for n > 0 {
		if strings.Contains(<-e, message) {
			n--
		}
	}
}

// Guards against broken flows that the summary does not count.
func TestBrokenFlowsAreCounted(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 2, standfabric.Impairment{})
	cfg := s.config()
	cfg.Rate, cfg.Duration = 0, time.Minute
	cfg.Flows = 10
	cfg.Refresh = 10 * time.Millisecond
	events := make(logEvents, 100)
	cfg.Log = zerolog.New(events)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan Summary)
	go func() {
		sum, _ := Run(ctx, cfg)
		done <- sum
	}()
	events.await("flow opened", cfg.Flows)
	s.edge.moveFlows()
	events.await("flow broken", cfg.Flows)
	cancel()
	sum := <-done
	is.Equal(sum.FlowsOpened, 10)
	is.Equal(sum.BrokenFlows, 10)
	is.Equal(sum.BrokenReasons["moved"], 10)
}
