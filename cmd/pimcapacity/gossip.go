package main

import (
	"fmt"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/internal/scenario/pimfleet"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
)

type gossipCommand struct {
	out      *output
	Sizes    []int   `long:"size" default:"64" default:"256" default:"1024" description:"number of VMs of the data centre"`
	Seconds  int     `long:"seconds" default:"20" description:"simulated time per size"`
	Loss     float64 `long:"loss" default:"0.02" description:"probability that a datagram is lost"`
	Seed     uint64  `long:"seed" default:"1" description:"seed of the simulation"`
	Converge int     `long:"converge-limit" default:"60" description:"simulated seconds to wait for each event"`
}

// Execute runs the measurements and prints each quantity with its fitted line.
func (c *gossipCommand) Execute([]string) error {
	var sizes, idle, busy, messages, drain, config, failure []float64
	for _, n := range c.Sizes {
		f := pimfleet.New(pimfleet.Options{
			Seed: c.Seed, DataCentres: 1, PerDataCentre: n, Loss: c.Loss, Delay: 5 * time.Millisecond,
			LocalDelay: 500 * time.Microsecond,
		})
		f.Run(10 * time.Second)
		sizes = append(sizes, float64(n))
		b, msgs := c.rates(f)
		idle, messages = append(idle, b), append(messages, msgs)
		took, err := c.events(f, n)
		if err != nil {
			return err
		}
		drain, config, failure = append(drain, took[0]), append(config, took[1]), append(failure, took[2])
		f.VM(4).Kill()
		f.Put("services/1", pimview.Service{ID: 1, Name: "changed"})
		b, _ = c.rates(f)
		busy = append(busy, b)
	}
	return c.out.print([]series{
		newSeries("sent by a VM at rest", "B/s", "VMs", sizes, idle),
		newSeries("messages of a VM at rest", "1/s", "VMs", sizes, messages),
		newSeries("sent by a VM with a change and a failure", "B/s", "VMs", sizes, busy),
		newSeries("drain known by all VMs", "ms", "VMs", sizes, drain),
		newSeries("change in force on all VMs", "ms", "VMs", sizes, config),
		newSeries("failure known by all VMs", "ms", "VMs", sizes, failure),
	})
}

// rates runs the fleet and returns the mean bytes and messages that a VM sends per second.
func (c *gossipCommand) rates(f *pimfleet.Fleet) (bytes, messages float64) {
	bytes0, messages0 := totals(f)
	f.Run(time.Duration(c.Seconds) * time.Second)
	bytes1, messages1 := totals(f)
	per := float64(c.Seconds * len(f.VMs()))
	return float64(bytes1-bytes0) / per, float64(messages1-messages0) / per
}

func totals(f *pimfleet.Fleet) (bytes, messages uint64) {
	for _, vm := range f.VMs() {
		bytes += vm.Bytes
		messages += vm.Messages
	}
	return bytes, messages
}

// events causes a drain, a configuration change and a failure of a VM, one after the other. It returns the simulated
// milliseconds until all VMs know each of them.
func (c *gossipCommand) events(f *pimfleet.Fleet, n int) (ms [3]float64, err error) {
	f.VM(2).Members.ReportBackend(9, pimmember.BackendStatus{Draining: true})
	if ms[0], err = c.until(f, "drain", func(vm *pimfleet.VM) bool {
		s, _ := vm.Members.BackendStatus(9)
		return s.Draining
	}); err != nil {
		return ms, err
	}
	revision := f.Put("services/1", pimview.Service{ID: 1, Name: "first"})
	if ms[1], err = c.until(f, "change", pimfleet.AtRevision(revision)); err != nil {
		return ms, err
	}
	f.VM(3).Kill()
	ms[2], err = c.until(f, "failure", func(vm *pimfleet.VM) bool {
		return len(vm.Members.Live(vm.DataCentre)) == n-1
	})
	return ms, err
}

// until runs the fleet until the condition holds on all VMs and returns the simulated milliseconds that this took.
func (c *gossipCommand) until(f *pimfleet.Fleet, what string, cond func(*pimfleet.VM) bool) (float64, error) {
	took, ok := f.RunUntil(time.Duration(c.Converge)*time.Second, func() bool { return f.All(cond) })
	if !ok {
		return 0, fmt.Errorf("%s not known by all VMs after %v of simulated time", what, took)
	}
	return float64(took.Milliseconds()), nil
}
