package main

import (
	"context"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimslot"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

type slotsCommand struct {
	out       *output
	Hosts     []int `long:"hosts" default:"6" default:"24" default:"96" description:"number of owned hosts"`
	Contracts []int `long:"contracts" default:"10" default:"100" default:"1000" description:"contracts per service"`
	Rounds    int   `long:"rounds" default:"500" description:"rounds in which all slots are acquired and released"`
}

// slotTick is the interval at which a VM calls Tick.
const slotTick = 5 * time.Millisecond

// slotsPerHost is the number of slots of a backend server at the design scale.
const slotsPerHost = 2

// Execute runs the measurements and prints each quantity with its fitted line.
func (c *slotsCommand) Execute([]string) error {
	var hosts, contracts slotCosts
	for _, n := range c.Hosts {
		if err := hosts.measure(float64(n), n, c.Contracts[0], c.Rounds); err != nil {
			return err
		}
	}
	for _, n := range c.Contracts {
		if err := contracts.measure(float64(n), c.Hosts[0], n, c.Rounds); err != nil {
			return err
		}
	}
	return c.out.print(append(hosts.series("hosts"), contracts.series("contracts")...))
}

// slotCosts are the measured costs of slot owners of several sizes.
type slotCosts struct {
	sizes, bytes, acquire, release, tick []float64
}

func (s *slotCosts) measure(size float64, hosts, contracts, rounds int) error {
	clock := &pimclock.Manual{}
	var owner *pimslot.Owner
	var cleanup func()
	total := liveBytes(func() *pimslot.Owner {
		owner, cleanup = newSlotOwner(clock, hosts, contracts)
		return owner
	})
	defer cleanup()
	acquire, release, err := cycle(owner, clock, hosts, rounds)
	if err != nil {
		return err
	}
	tick := perOp(rounds, func(int) {
		clock.Advance(slotTick)
		owner.Tick()
	})
	s.sizes, s.bytes = append(s.sizes, size), append(s.bytes, total)
	s.acquire, s.release, s.tick = append(s.acquire, acquire), append(s.release, release), append(s.tick, tick)
	return nil
}

func (s *slotCosts) series(of string) []series {
	return []series{
		newSeries("slot owner", "B", of, s.sizes, s.bytes),
		newSeries("one Acquire of a free slot", "ns", of, s.sizes, s.acquire),
		newSeries("one Release", "ns", of, s.sizes, s.release),
		newSeries("one Tick at rest", "ns", of, s.sizes, s.tick),
	}
}

// newSlotOwner returns an owner whose hosts belong to different services, as is usual with 8,900 services and 6 hosts
// per VM.
func newSlotOwner(clock pimclock.Clock, hosts, contracts int) (o *pimslot.Owner, cleanup func()) {
	o, cleanup = pimslot.NewOwner(pimslot.DefaultConfig(), clock)
	list := make([]pimslot.Host, hosts)
	for i := range list {
		service := pimid.ServiceID(i + 1)
		o.SetPolicy(pimslot.Policy{Service: service, TotalSlots: slotsPerHost, Contracts: slotTerms(contracts)})
		list[i] = pimslot.Host{ID: pimid.BackendID(i + 1), Generation: 1, Service: service, Slots: slotsPerHost}
	}
	o.SetHosts(list)
	return o, cleanup
}

func slotTerms(n int) []pimslot.ContractTerms {
	list := make([]pimslot.ContractTerms, n)
	for i := range list {
		terms := pimcontract.Terms{BorrowLimit: slotsPerHost, ShareWeight: 1}
		list[i] = pimslot.ContractTerms{ID: pimid.ContractID(i + 1), Terms: terms}
	}
	return list
}

// cycle acquires and releases all slots several times. It returns the mean times of Acquire and Release in nanoseconds.
func cycle(o *pimslot.Owner, clock *pimclock.Manual, hosts, rounds int) (acquire, release float64, err error) {
	grants := make([]pimslot.GrantID, hosts*slotsPerHost)
	for range rounds {
		deadline := clock.Now().Add(time.Second)
		acquire += perOp(len(grants), func(i int) {
			r := pimslot.SlotRequest{Service: pimid.ServiceID(1 + i%hosts), Contract: 1, Deadline: deadline}
			g, acquireErr := o.Acquire(context.Background(), r)
			if acquireErr != nil {
				err = acquireErr
			}
			grants[i] = g.ID
		})
		clock.Advance(slotTick)
		release += perOp(len(grants), func(i int) {
			result := pimslot.Result{Outcome: pimedge.OutcomeAnswered, Duration: slotTick}
			if releaseErr := o.Release(grants[i], result); releaseErr != nil {
				err = releaseErr
			}
		})
		if err != nil {
			return 0, 0, err
		}
	}
	return acquire / float64(rounds), release / float64(rounds), nil
}
