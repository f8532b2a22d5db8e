package pimnode

import (
	"context"
	"errors"
	"sync"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimslot"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// ErrNotOwner means that this VM owns no backend server that could grant a slot of the service; another slot owner has
// to be asked.
var ErrNotOwner = errors.New("VM owns no usable backend server of the service")

// ownership ends the wait for slots of a service when this VM owns no usable backend server of the service any longer:
// the last one has another owner by now, or drains. Without it, a waiting request would stay until its deadline and
// delay a planned stop.
type ownership struct {
	mu *sync.Mutex
	// periods holds the services with a usable backend server that this VM owns.
	periods map[pimid.ServiceID]ownershipPeriod
}

// ownershipPeriod is cancelled when this VM owns no usable backend server of the service any longer.
type ownershipPeriod struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newOwnership() ownership {
	return ownership{mu: &sync.Mutex{}, periods: map[pimid.ServiceID]ownershipPeriod{}}
}

// set replaces the owned backend servers; those that drain are not usable.
func (o *ownership) set(hosts []pimslot.Host) {
	usable := map[pimid.ServiceID]bool{}
	for _, h := range hosts {
		if !h.Draining {
			usable[h.Service] = true
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, p := range o.periods {
		if !usable[id] {
			p.cancel(ErrNotOwner)
			delete(o.periods, id)
		}
	}
	for id := range usable {
		if _, ok := o.periods[id]; !ok {
			ctx, cancel := context.WithCancelCause(context.Background())
			o.periods[id] = ownershipPeriod{ctx: ctx, cancel: cancel}
		}
	}
}

// bind returns a context that also ends when this VM owns no usable backend server of the service any longer; it fails
// with ErrNotOwner if it owns none now.
func (o *ownership) bind(ctx context.Context, service pimid.ServiceID) (context.Context, context.CancelFunc, error) {
	o.mu.Lock()
	p, ok := o.periods[service]
	o.mu.Unlock()
	if !ok {
		return nil, nil, ErrNotOwner
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(p.ctx, func() { cancel(ErrNotOwner) })
	return ctx, func() {
		stop()
		cancel(nil)
	}, nil
}

// acquireOwned waits for a slot of a backend server that this VM owns; it fails with ErrNotOwner if it owns none that
// is usable.
func (n *Node) acquireOwned(ctx context.Context, r pimslot.SlotRequest) (g pimslot.Grant, err error) {
	ctx, cancel, err := n.ownership.bind(ctx, r.Service)
	if err != nil {
		return g, err
	}
	defer cancel()
	return n.slots.Acquire(ctx, r)
}
