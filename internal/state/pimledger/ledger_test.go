package pimledger

import (
	"bytes"
	"encoding/json"
	"flag"
	"math/rand/v2"
	"os"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// recordRandom records n pieces of random work and leaves one ticket in ten open.
func recordRandom(l *Ledger, seed uint64, n int) {
	rng := rand.New(rand.NewPCG(seed, 0))
	for range n {
		a := l.Account(pimid.ContractID(1 + rng.IntN(2)))
		if rng.IntN(4) == 0 {
			a.Refuse("rate_limit")
			continue
		}
		ticket := a.Admit()
		switch rng.IntN(10) {
		case 0:
		case 1:
			ticket.Failed()
		case 2:
			ticket.Unknown()
		case 3:
			ticket.NotRun("no_slot")
		default:
			ticket.Answered()
			ticket.Unknown() // has no effect, since the work has ended
		}
	}
}

// Guards against snapshots that show only a part of an update of several counters, and against lost updates.
func TestSnapshotsAreBalanced(t *testing.T) {
	is := is.New(t)
	const workers, operations = 8, 5000
	l := New()
	var wg sync.WaitGroup
	for seed := range workers {
		wg.Go(func() { recordRandom(l, uint64(seed), operations) })
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		for _, totals := range l.Snapshot() {
			is.True(totals.Balanced())
		}
	}
	s := l.Snapshot()
	is.Equal(s[1].Offered+s[2].Offered, uint64(workers*operations))
}

// Guards against metrics or JSON in which a counter is missing or a name that operators use has changed.
func TestExport(t *testing.T) {
	is := is.New(t)
	l := New()
	recordRandom(l, 1, 200)
	set := metrics.NewSet()
	l.Register(set)
	var got bytes.Buffer
	set.WritePrometheus(&got)
	enc := json.NewEncoder(&got)
	enc.SetIndent("", "  ")
	is.NoErr(enc.Encode(l.Snapshot()))
	if *update {
		is.NoErr(os.WriteFile("testdata/export.golden", got.Bytes(), 0o600))
	}
	want, err := os.ReadFile("testdata/export.golden")
	is.NoErr(err)
	is.Equal(got.String(), string(want))
}

func BenchmarkAdmitAndAnswer(b *testing.B) {
	l := New()
	b.RunParallel(func(pb *testing.PB) {
		a := l.Account(1)
		for pb.Next() {
			a.Admit().Answered()
		}
	})
}
