package main

import (
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

type rendezvousCommand struct {
	out   *output
	Sizes []int  `long:"size" default:"64" default:"380" default:"1024" description:"number of VMs of the data centre"`
	Keys  uint64 `long:"keys" default:"41900" description:"number of keys: 33,000 backend servers and 8,900 services"`
}

// Execute runs the measurements and prints each quantity with its fitted line.
func (c *rendezvousCommand) Execute([]string) error {
	var sizes, first, cached, change []float64
	for _, n := range c.Sizes {
		nodes := nodeList(n, 1)
		m := newMembers(nodes)
		dc := nodes[0].DataCentre
		lookup := func(i int) { m.Owner(dc, uint64(i)) }
		keys := int(c.Keys)
		sizes = append(sizes, float64(n))
		first = append(first, perOp(keys, lookup))
		cached = append(cached, perOp(keys, lookup))
		change = append(change, perOp(1, func(int) {
			m.SetPublished(0, 2, nodes[:n-1])
			lookupAll(m, nodes[0].DataCentre, c.Keys)
		}))
	}
	return c.out.print([]series{
		newSeries("first lookup of a key", "ns", "VMs", sizes, first),
		newSeries("cached lookup of a key", "ns", "VMs", sizes, cached),
		newSeries("one VM leaves, all keys looked up", "ns", "VMs", sizes, change),
	})
}

func lookupAll(m *pimmember.Members, dc pimid.DataCentre, keys uint64) {
	for key := range keys {
		m.Owner(dc, key)
	}
}
