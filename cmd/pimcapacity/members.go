package main

import (
	"math/rand/v2"
	"net/netip"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

type membersCommand struct {
	out   *output
	Sizes []int `long:"size" default:"1024" default:"2850" default:"5700" description:"number of VMs"`
	DCs   int   `long:"data-centres" default:"15" description:"number of data centres"`
}

// Execute runs the measurements and prints each quantity with its fitted line.
func (c *membersCommand) Execute([]string) error {
	var sizes, bytes []float64
	for _, n := range c.Sizes {
		nodes := nodeList(n, c.DCs)
		total := liveBytes(func() *pimmember.Members { return newMembers(nodes) })
		sizes, bytes = append(sizes, float64(n)), append(bytes, total)
	}
	return c.out.print([]series{newSeries("member table", "B", "VMs", sizes, bytes)})
}

func newMembers(nodes []pimview.Node) *pimmember.Members {
	cfg := pimmember.Settings{Self: 1, Incarnation: 1, DataCentre: nodes[0].DataCentre, Address: nodes[0].PeerAddress}
	m := pimmember.New(cfg, 0, rand.New(rand.NewPCG(1, 1)))
	m.SetPublished(0, 1, nodes)
	return m
}

func nodeList(n, dcs int) []pimview.Node {
	names := make([]pimid.DataCentre, dcs)
	for i := range names {
		names[i] = pimid.DataCentre("dc" + pimid.NodeID(i+1).String())
	}
	list := make([]pimview.Node, n)
	for i := range list {
		address := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
		list[i] = pimview.Node{
			ID: pimid.NodeID(i + 1), DataCentre: names[i%dcs], PeerAddress: netip.AddrPortFrom(address, 7000),
			State: pimview.NodeLive,
		}
	}
	return list
}
