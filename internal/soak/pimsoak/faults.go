package pimsoak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/platform/platformtest"
)

// fault injects one kind of fault. It returns a function that ends the fault, or nil if there is nothing to end.
type fault func(r *run, rng *rand.Rand) (heal func())

// faults contains all kinds of faults by name; several may be active at the same time.
var faults = map[string]fault{
	"kill": func(r *run, rng *rand.Rand) func() {
		v := r.randomVM(rng)
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		return func() { r.restart(v) }
	},
	"kill_all": func(r *run, _ *rand.Rand) func() {
		for _, v := range r.vms {
			v.signal(syscall.SIGCONT)
			v.signal(syscall.SIGKILL)
		}
		return func() {
			for _, v := range r.vms {
				r.restart(v)
			}
		}
	},
	"pause": func(r *run, rng *rand.Rand) func() {
		v := r.randomVM(rng)
		v.signal(syscall.SIGSTOP)
		return func() { v.signal(syscall.SIGCONT) }
	},
	"planned_stop": func(r *run, rng *rand.Rand) func() {
		v := r.randomVM(rng)
		v.signal(syscall.SIGTERM)
		return func() { r.restart(v) }
	},
	"rolling_restart": func(r *run, rng *rand.Rand) func() {
		const between = 400 * time.Millisecond // shorter than a planned stop, so that these overlap
		var wg sync.WaitGroup
		for i, n := range rng.Perm(len(r.vms)) {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * between)
				r.vms[n].signal(syscall.SIGTERM)
				r.restart(r.vms[n])
			})
		}
		return wg.Wait
	},
	"reader_handover": func(r *run, rng *rand.Rand) func() {
		v := r.reader(rng)
		r.addHost(services[rng.IntN(len(services))]) // its entry is under way when the reader stops
		v.signal(syscall.SIGTERM)
		return func() { r.restart(v) }
	},
	"hangup": func(r *run, rng *rand.Rand) func() {
		for range 1 + rng.IntN(5) {
			if v := r.randomVM(rng); v.awaitHangupHandled() {
				v.signal(syscall.SIGHUP)
			}
		}
		return nil
	},
	"platform_busy":   platformFault(platformtest.Fault{Busy: true}),
	"platform_silent": platformFault(platformtest.Fault{Silent: true}),
	"platform_reset":  platformFault(platformtest.Fault{Reset: true}),
	"platform_slow":   platformFault(platformtest.Fault{Delay: 300 * time.Millisecond}),
	"platform_compact": func(r *run, _ *rand.Rand) func() {
		r.env.Store.Compact()
		return nil
	},
	"platform_restored": func(r *run, _ *rand.Rand) func() {
		older := r.copyStore()
		r.setPlatformFault(platformtest.Fault{Reset: true})
		return func() { r.restoreStore(older) }
	},
	"delay":    proxyFault(impairment{Delay: 200 * time.Millisecond}),
	"refuse":   proxyFault(impairment{Refuse: true}),
	"cut_up":   proxyFault(impairment{DropUp: true}),
	"cut_down": proxyFault(impairment{DropDown: true}),
	"cut":      proxyFault(impairment{DropUp: true, DropDown: true}),
	"refuse_some": func(r *run, rng *rand.Rand) func() {
		// The platform turns half of the VMs away, possibly its reader, and serves the others.
		var refused []*vm
		for _, i := range rng.Perm(len(r.vms))[:len(r.vms)/2] {
			r.impair(r.vms[i], impairment{Refuse: true})
			refused = append(refused, r.vms[i])
		}
		return func() {
			for _, v := range refused {
				r.impair(v, impairment{})
			}
		}
	},
	"odd_entry": func(r *run, rng *rand.Rand) func() {
		h := r.randomHost(rng)
		if h == nil {
			return nil
		}
		entries := platformtest.OddEntries(h)
		keys := slices.Sorted(maps.Keys(entries))
		key := keys[rng.IntN(len(keys))]
		r.env.Store.Put(key, entries[key])
		return func() { r.env.Store.Delete(key) }
	},
	"reset": func(r *run, rng *rand.Rand) func() {
		v := r.randomVM(rng)
		v.proxy.reset()
		r.parts.touch(linkPart+v.address.String(), time.Now())
		return nil
	},
	"silent_connections": func(r *run, _ *rand.Rand) func() {
		for _, v := range r.vms {
			v.proxy.silence()
			r.parts.touch(linkPart+v.address.String(), time.Now())
		}
		return nil
	},
	"host_crash": func(r *run, rng *rand.Rand) func() {
		h := r.randomHost(rng)
		if h == nil {
			return nil
		}
		r.env.Crash(h)
		r.hostChanged(h)
		return func() {
			r.env.Store.Delete("servers/" + h.Name())
			r.addHost(h.Service())
		}
	},
	"host_leaves": func(r *run, rng *rand.Rand) func() {
		h := r.randomHost(rng)
		if h == nil {
			return nil
		}
		r.drain(h)
		r.addHost(h.Service())
		return func() {
			r.env.Store.Delete("servers/" + h.Name())
			r.env.Crash(h)
			r.hostChanged(h)
		}
	},
	"evacuate": func(r *run, rng *rand.Rand) func() { return r.evacuate(rng) },
	"overload": func(r *run, rng *rand.Rand) func() { return r.startBurst(rng) },
	"config":   func(r *run, rng *rand.Rand) func() { r.changeConfig(rng); return nil },
	"garbage":  func(r *run, _ *rand.Rand) func() { r.sendGarbage(); return nil },
}

// platformFault makes the metadata store fail for all VMs.
func platformFault(f platformtest.Fault) fault {
	return func(r *run, _ *rand.Rand) func() {
		r.setPlatformFault(f)
		return func() { r.setPlatformFault(platformtest.Fault{}) }
	}
}

// proxyFault impairs the connections between a random VM and the platform.
func proxyFault(imp impairment) fault {
	return func(r *run, rng *rand.Rand) func() {
		v := r.randomVM(rng)
		r.impair(v, imp)
		return func() { r.impair(v, impairment{}) }
	}
}

// impair sets the impairment of the connections between a VM and the platform.
func (r *run) impair(v *vm, imp impairment) {
	v.proxy.set(imp)
	r.parts.set(linkPart+v.address.String(), imp != impairment{}, time.Now())
}

// setPlatformFault sets the fault of the metadata store. One that is only slow still answers, so that bounds apply.
func (r *run) setPlatformFault(f platformtest.Fault) {
	r.env.Store.SetFault(f)
	r.parts.set(platformPart, f.Busy || f.Silent || f.Reset, time.Now())
}

// PlannedFaults are the kinds of planned work.
var PlannedFaults = []string{
	"config", "evacuate", "hangup", "host_leaves", "overload", "planned_stop", "reader_handover", "rolling_restart",
}

// excusesNothing contains the kinds that do not excuse a reset of an open flow, neither at their start nor at their end.
var excusesNothing = map[string]bool{"evacuate": true, "overload": true}

// FaultNames returns the names of all kinds of faults, sorted.
func FaultNames() (names []string) {
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// A new fault starts every 500 ms on average and lasts for up to 3 s, so that faults overlap.
const (
	meanFaultInterval = 500 * time.Millisecond
	maxFaultDuration  = 3 * time.Second
)

// runFaults injects faults until the context ends, and returns after all of them have ended.
func (r *run) runFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	names := r.cfg.Faults
	switch {
	case len(names) > 0:
	case r.cfg.Planned:
		names = PlannedFaults
	default:
		// Evacuations last long, so that few would reach their bound.
		names = append(FaultNames(), "evacuate", "evacuate")
	}
	var waits []func()
	for ctx.Err() == nil {
		pimclock.Sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanFaultInterval)))
		name := names[rng.IntN(len(names))]
		length := time.Duration(rng.Float64() * float64(maxFaultDuration))
		note := r.addFaultNote
		if excusesNothing[name] {
			note = r.addNote
		}
		note("fault", fmt.Sprintf("%s for %v", name, length.Round(time.Millisecond)))
		heal := faults[name](r, rng)
		if heal == nil {
			continue
		}
		ended := make(chan struct{})
		waits = append(waits, func() { <-ended })
		go func() {
			defer close(ended)
			pimclock.Sleep(ctx, length)
			heal()
			note("healed", name)
		}()
	}
	for _, wait := range waits {
		wait()
	}
}
