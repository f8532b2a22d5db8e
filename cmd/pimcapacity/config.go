package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

type configCommand struct {
	out      *output
	Backends []int `long:"backends" default:"4125" default:"16500" default:"33000" description:"number of backend servers"`
	Services []int `long:"services" default:"1112" default:"4450" default:"8900" description:"number of services and contracts"`
	Changes  int   `long:"changes" default:"200" description:"changes to average over"`
	Batch    int   `long:"batch" default:"50" description:"changes in one batch"`
	Batches  int   `long:"batches" default:"10" description:"batches to average over"`
	// store is the store under measurement.
	store *pimconfig.Store
}

// Execute runs the measurements and prints each quantity with its fitted line.
func (c *configCommand) Execute([]string) error {
	backends, err := c.measure("backend server", "backends/", c.Backends, backend)
	if err != nil {
		return err
	}
	services, err := c.measure("service", "services/", c.Services, service)
	if err != nil {
		return err
	}
	contracts, err := c.measure("contract", "contracts/", c.Services, contract)
	if err != nil {
		return err
	}
	return c.out.print(append(append(backends, services...), contracts...))
}

// measure fills stores of several sizes with keys of one kind. For each size, it measures the heap bytes of the store
// and the time of a change, both on its own and as a part of a batch.
func (c *configCommand) measure(kind, prefix string, counts []int, value func(i int) any) ([]series, error) {
	var sizes, bytes, change, batched []float64
	for _, n := range counts {
		var err error
		total := liveBytes(func() *pimconfig.Store {
			c.store, err = newStore(prefix, n, value)
			return c.store
		})
		if err != nil {
			return nil, err
		}
		ns, err := c.changeTime(prefix, value, c.Changes, 1)
		if err != nil {
			return nil, err
		}
		nsBatched, err := c.changeTime(prefix, value, c.Batches, c.Batch)
		if err != nil {
			return nil, err
		}
		batched = append(batched, nsBatched/float64(c.Batch))
		sizes, bytes, change = append(sizes, float64(n)), append(bytes, total), append(change, ns)
		c.store = nil
	}
	of := kind + "s"
	return []series{
		newSeries("store and view", "B", of, sizes, bytes),
		newSeries("one change of a "+kind, "ns", of, sizes, change),
		newSeries("change of a "+kind+" in a batch", "ns", of, sizes, batched),
	}, nil
}

// newStore returns a store with n keys of one kind.
func newStore(prefix string, n int, value func(i int) any) (*pimconfig.Store, error) {
	snap := pimconfig.Snapshot{Revision: pimid.Revision(n)}
	for i := 1; i <= n; i++ {
		p, err := json.Marshal(value(i))
		if err != nil {
			return nil, err
		}
		key := fmt.Sprintf("%s%d", prefix, i)
		snap.Entries = append(snap.Entries, pimconfig.Event{Revision: pimid.Revision(i), Key: key, Value: p})
	}
	s := pimconfig.NewStore(pimconfig.Settings{})
	if err := s.Restore(snap); err != nil {
		return nil, err
	}
	if bad := len(s.BadValues()); bad > 0 {
		return nil, fmt.Errorf("%d values of the generated snapshot could not be decoded", bad)
	}
	return s, nil
}

// changeTime returns the mean time in nanoseconds of a batch that changes the first size keys.
func (c *configCommand) changeTime(prefix string, value func(i int) any, times, size int) (ns float64, err error) {
	s := c.store
	var events []pimconfig.Event
	for i := 1; i <= size; i++ {
		p, err := json.Marshal(value(i))
		if err != nil {
			return 0, err
		}
		events = append(events, pimconfig.Event{Key: fmt.Sprintf("%s%d", prefix, i), Value: p})
	}
	ns = perOp(times, func(int) {
		r := s.Revision()
		for i := range events {
			events[i].Revision = r + 1
		}
		b := pimconfig.Batch{From: r, To: r + 1, Events: slices.Clone(events)}
		if applyErr := s.Apply(b); applyErr != nil {
			err = applyErr
		}
	})
	return ns, err
}

func backend(i int) any {
	a := netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
	return pimview.Backend{
		ID: pimid.BackendID(i), Generation: 1, Service: pimid.ServiceID(1 + i%8900), DataCentre: "dc1",
		FlowAddress: netip.AddrPortFrom(a, 5555), HTTPAddress: netip.AddrPortFrom(a, 8080), Slots: 2,
		MaxConnections: 2000, State: pimview.BackendLive,
	}
}

func service(i int) any {
	a := netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)})
	return pimview.Service{ID: pimid.ServiceID(i), Name: fmt.Sprintf("service_%d", i), Address: netip.AddrPortFrom(a, 5683)}
}

func contract(i int) any {
	terms := pimcontract.Terms{
		RateLimit: 100, Burst: 20, FlowLimit: 1000, GuaranteedSlots: 4, LendLimit: 2, BorrowLimit: 4, ShareWeight: 1,
	}
	return pimcontract.Contract{
		ID: pimid.ContractID(i), Customer: pimid.Customer(fmt.Sprintf("customer_%d", i)),
		Service: pimid.ServiceID(i), Terms: terms, DefaultTimeout: pimcontract.Duration(time.Second),
		Sources: []netip.Prefix{netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 32)},
	}
}
