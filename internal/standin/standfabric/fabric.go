package standfabric

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Fabric delivers the datagrams of callers to VMs.
type Fabric struct {
	cfg     Config
	chooser *chooser
	routes  map[pimid.ServiceID]*route
	vms     atomic.Pointer[[]netip.Addr]
	wg      sync.WaitGroup

	fromCallers, toCallers, lost, duplicated, unroutable atomic.Uint64
}

// Stats holds totals of datagrams since the start.
type Stats struct {
	FromCallers uint64 `json:"from_callers"`
	ToCallers   uint64 `json:"to_callers"`
	Lost        uint64 `json:"lost"`
	Duplicated  uint64 `json:"duplicated"`
	// Unroutable counts datagrams that found no live VM.
	Unroutable uint64 `json:"unroutable"`
}

// Start opens a socket on each published address; it returns the error of a socket. The cleanup function closes all
// sockets.
func Start(cfg Config) (f *Fabric, cleanup func(), err error) {
	defer func() {
		if err != nil {
			err = oops.Wrapf(err, "start fabric")
		}
	}()
	cfg = cfg.withDefaults()
	f = &Fabric{cfg: cfg, chooser: newChooser(cfg.Seed, cfg.Impairment), routes: make(map[pimid.ServiceID]*route)}
	f.SetVMs(cfg.VMs)
	ctx, cancel := context.WithCancel(context.Background())
	cleanup = func() {
		cancel()
		f.close()
		f.wg.Wait()
	}
	for _, r := range cfg.Routes {
		if err = f.openRoute(r); err != nil {
			cleanup()
			return nil, nil, err
		}
	}
	if cfg.ListURL != "" {
		p := newPoller(f)
		f.wg.Go(func() { p.run(ctx) })
	}
	return f, cleanup, nil
}

// SetVMs replaces the list of VMs.
func (f *Fabric) SetVMs(vms []netip.Addr) {
	list := slices.Clone(vms)
	f.vms.Store(&list)
}

// Address returns the bound address of a service; ok is false for an unknown service.
func (f *Fabric) Address(id pimid.ServiceID) (addr netip.AddrPort, ok bool) {
	r, ok := f.routes[id]
	if !ok {
		return netip.AddrPort{}, false
	}
	return r.address(), true
}

// Stats returns the totals since the start.
func (f *Fabric) Stats() Stats {
	return Stats{
		FromCallers: f.fromCallers.Load(),
		ToCallers:   f.toCallers.Load(),
		Lost:        f.lost.Load(),
		Duplicated:  f.duplicated.Load(),
		Unroutable:  f.unroutable.Load(),
	}
}

// target chooses a random VM for one datagram and returns its address for the service; ok is false without a live VM.
func (f *Fabric) target(r *route) (addr netip.AddrPort, ok bool) {
	if targets := f.cfg.Targets[r.cfg.Service]; len(targets) > 0 {
		return targets[f.chooser.pick(len(targets))], true
	}
	vms := *f.vms.Load()
	if len(vms) == 0 {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(vms[f.chooser.pick(len(vms))], r.edgePort()), true
}

func (f *Fabric) close() {
	for _, r := range f.routes {
		r.close()
	}
}
