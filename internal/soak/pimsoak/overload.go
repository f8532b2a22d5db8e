package pimsoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/platform/platformtest"
)

// batchService has an urgent and a lower route. Only bursts and evacuations concern its backend servers.
const batchService = "batch"

// The backend servers of batchService, as in the deployments in operation: together they serve 200 requests per second.
const (
	batchHosts       = 2
	batchSlots       = 2
	batchQueue       = 8
	batchServiceTime = 20 * time.Millisecond
)

// The calls per second: in a burst, the lower route alone offers twice what the backend servers can serve. The urgent route offers a
// fifth of it all the time.
const (
	urgentRate     = 40
	lowRate        = 20
	burstRate      = 400
	burstLength    = 2 * time.Second
	callAttempts   = 3
	attemptPause   = 100 * time.Millisecond
	attemptTimeout = 1500 * time.Millisecond
)

const (
	// minUrgentShare is the least share of the urgent calls of a burst that must be answered. The urgent route alone would never fill
	// the backend servers, and each call has three attempts: less means that of the attempts more than a third (0.05^(1/3)) find full
	// queues.
	minUrgentShare = 0.95
	// minNormalShare is the least share of the calls of each route that must be answered once a burst is over: only one or two of those
	// of a window of normalLength may be lost, for instance with a datagram.
	minNormalShare = 0.95
	// normalAfter is the longest time for which requests of a burst may still run and queue, given attemptTimeout.
	normalAfter  = 2 * time.Second
	normalLength = 2 * time.Second
)

// The routes of batchService.
var (
	urgentRoute = netip.MustParseAddrPort("198.18.0.3:443")
	lowRoute    = netip.MustParseAddrPort("198.18.0.3:8443")
)

// call is one call with all its attempts.
type call struct {
	route    netip.AddrPort
	began    time.Time
	answered bool
	// failures are the errors of the attempts that were not answered.
	failures []string
}

// burst is a period in which the lower route offers too much.
type burst struct {
	from, to time.Time
	// counts and countsAfter are set if no VM was disturbed and the data centre not evacuated, during the burst and in the window after it.
	counts, countsAfter bool
}

// share returns the share of the calls of a route begun in a period that were answered, and the number of these calls.
func share(calls []call, route netip.AddrPort, from, to time.Time) (answered float64, n int) {
	for _, c := range calls {
		if c.route != route || c.began.Before(from) || !c.began.Before(to) {
			continue
		}
		n++
		if c.answered {
			answered++
		}
	}
	return answered / float64(max(1, n)), n
}

// lost describes the calls of a route begun in a period that were not answered.
func lost(calls []call, route netip.AddrPort, from, to time.Time) string {
	var texts []string
	for _, c := range calls {
		if c.route == route && !c.answered && !c.began.Before(from) && c.began.Before(to) {
			texts = append(texts, fmt.Sprintf("%d ms (%s)", c.began.Sub(from).Milliseconds(), strings.Join(c.failures, ", ")))
		}
	}
	return strings.Join(texts, "; ")
}

// check calls violated if calls during or after the burst were not answered as they should be, and counted for each check.
func (b *burst) check(calls []call, violated func(kind, format string, args ...any), counted func(what string)) {
	check := func(kind, name string, route netip.AddrPort, from, to time.Time, least float64) {
		counted(kind + " " + name)
		if got, n := share(calls, route, from, to); n == 0 || got < least {
			violated(kind, "%.3f of %d calls of the %s route were answered, at least %.2f should be; not answered, by their start in the period: %s",
				got, n, name, least, lost(calls, route, from, to))
		}
	}
	if b.counts {
		check("burst", "urgent", urgentRoute, b.from, b.to, minUrgentShare)
	}
	if b.countsAfter {
		from := b.to.Add(normalAfter)
		check("after_burst", "urgent", urgentRoute, from, from.Add(normalLength), minNormalShare)
		check("after_burst", "lower", lowRoute, from, from.Add(normalLength), minNormalShare)
	}
}

// overload holds the calls to batchService and the bursts; it is safe for concurrent use.
type overload struct {
	mu sync.Mutex
	// busy is set from the start of a burst until the window after it has ended, burst only during the burst.
	busy, burst bool
	calls       []call
	bursts      []burst
}

// begin begins a burst; it returns false if the last one, or the window after it, has not ended.
func (o *overload) begin() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy {
		return false
	}
	o.busy, o.burst = true, true
	return true
}

func (o *overload) endBurst() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.burst = false
}

// add adds a burst whose window has ended.
func (o *overload) add(b burst) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.busy = false
	o.bursts = append(o.bursts, b)
}

func (o *overload) lowRate() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.burst {
		return burstRate
	}
	return lowRate
}

// runCalls calls a route at a rate, whether earlier calls have ended or not, and returns when all have ended.
func (r *run) runCalls(ctx context.Context, caller *platformtest.Caller, route netip.AddrPort, name string, rate func() float64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for next := time.Now(); ctx.Err() == nil; pimclock.Sleep(ctx, time.Until(next)) {
		next = next.Add(time.Duration(float64(time.Second) / rate()))
		wg.Go(func() {
			c := call{route: route, began: time.Now()}
			c.answered, c.failures = r.callBatch(caller, route, name)
			r.overload.mu.Lock()
			defer r.overload.mu.Unlock()
			r.overload.calls = append(r.overload.calls, c)
		})
	}
}

// errBusy means that a backend server found its queue full.
var errBusy = errors.New("queue full")

// callBatch calls batchService and reports whether it has answered within callAttempts, and the errors of the attempts.
func (r *run) callBatch(caller *platformtest.Caller, route netip.AddrPort, name string) (answered bool, failures []string) {
	for n := range callAttempts {
		if n > 0 {
			time.Sleep(attemptPause)
		}
		err := r.attempt(caller, route)
		r.count(fmt.Sprintf("%s route, attempt %d", name, n+1), err)
		if err == nil {
			return true, failures
		}
		failures = append(failures, err.Error())
	}
	return false, failures
}

// attempt sends one request on a new flow.
func (r *run) attempt(caller *platformtest.Caller, route netip.AddrPort) error {
	flow, err := caller.Open(route)
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	defer flow.Close()
	answer, err := flow.Request([]byte("call"), attemptTimeout)
	switch text := string(answer); {
	case err != nil:
		return err
	case strings.HasPrefix(text, platformtest.Busy+" "):
		return errBusy
	case text != batchService+" call":
		r.addViolation("wrong_answer", "a call of service %s got the answer %q", batchService, text)
	}
	return nil
}

// startBurst begins a burst, unless there is one. The function that ends it returns after the window in which the shares must be normal.
func (r *run) startBurst(*rand.Rand) (end func()) {
	if !r.overload.begin() {
		return nil
	}
	b := burst{from: time.Now()}
	r.addNote("burst", "begins")
	return func() {
		time.Sleep(burstLength)
		r.overload.endBurst()
		r.addNote("burst", "ends")
		b.to = time.Now()
		b.counts = r.wasCalm(b.from)
		time.Sleep(normalAfter + normalLength)
		b.countsAfter = r.wasCalm(b.from)
		r.overload.add(b)
	}
}

// wasCalm reports whether no VM was disturbed, and the data centre of batchService not evacuated, since calmAfter before a time.
func (r *run) wasCalm(from time.Time) bool {
	names := []string{zones[0]}
	for _, v := range r.vms {
		names = append(names, processPart+v.address.String())
	}
	since, ok := r.parts.undisturbedSince(names...)
	return ok && from.Sub(since) >= calmAfter
}

// checkBursts checks all bursts after the load has ended.
func (r *run) checkBursts() {
	for i := range r.overload.bursts {
		r.overload.bursts[i].check(r.overload.calls, r.addViolation, r.countOK)
	}
}
