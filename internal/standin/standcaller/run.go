package standcaller

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/pkg/pimcaller"
)

// seedStream separates this generator from others with the same seed.
const seedStream = 0x63616c6c6572

// run is the state of one call of Run.
type run struct {
	cfg    Config
	caller *pimcaller.Caller
	rand   *rand.Rand
	tally  *tally
	wg     sync.WaitGroup
}

// Run opens the flows, sends requests until the duration or ctx ends, waits for their answers and returns the summary.
// It returns the error of the socket.
func Run(ctx context.Context, cfg Config) (sum Summary, err error) {
	defer func() {
		if err != nil {
			err = oops.Wrapf(err, "run callers")
		}
	}()
	cfg = cfg.withDefaults()
	caller, cleanup, err := pimcaller.Dial(callerConfig(cfg))
	if err != nil {
		return Summary{}, err
	}
	defer cleanup()
	r := &run{cfg: cfg, caller: caller, rand: rand.New(rand.NewPCG(cfg.Seed, seedStream)), tally: newTally()}
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	r.wg.Go(func() { r.openFlows(ctx) })
	r.sendLoop(ctx)
	r.wg.Wait()
	return r.tally.summary(caller.Stats()), nil
}

func callerConfig(cfg Config) pimcaller.Config {
	c := pimcaller.Config{
		Service:        cfg.Service,
		Timeout:        cfg.Timeout,
		AckTimeout:     cfg.AckTimeout,
		Refresh:        cfg.Refresh,
		SilenceTimeout: cfg.SilenceTimeout,
		Rand:           rand.New(rand.NewPCG(cfg.Seed, seedStream+1)),
	}
	if cfg.Local.IsValid() {
		c.Local = netip.AddrPortFrom(cfg.Local, 0)
	}
	return c
}

// sendLoop sends requests on schedule. After a late wake-up it sends the overdue requests at once, so that the offered
// rate stays the same on a busy machine.
func (r *run) sendLoop(ctx context.Context) {
	if r.cfg.Rate <= 0 {
		<-ctx.Done()
		return
	}
	start := time.Now()
	interval := time.Duration(float64(time.Second) / r.cfg.Rate)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; n++ {
		timer.Reset(max(time.Until(start.Add(time.Duration(n)*interval)), 0))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		q := r.newRequest(n)
		r.wg.Go(func() { q.run(r) })
	}
}
