package main

import (
	"io"

	"github.com/jessevdk/go-flags"
)

// output is how each subcommand prints its result.
type output struct {
	w    io.Writer
	JSON bool `long:"json" description:"print JSON instead of a table"`
}

// newParser returns the command-line parser. Each subcommand measures one component, except for line, which fits a line
// to given values, and publication, which generates a fleet.
func newParser(w io.Writer) *flags.Parser {
	out := &output{w: w}
	p := flags.NewParser(out, flags.Default)
	add := func(name, short string, cmd flags.Commander) {
		if _, err := p.AddCommand(name, short, short+".", cmd); err != nil {
			panic(err) // the command names are constants
		}
	}
	add("members", "bytes per VM in the member table", &membersCommand{out: out})
	add("config", "bytes per key in store and view, and time per change", &configCommand{out: out})
	add("gossip", "bytes per VM and second at several sizes of a data centre", &gossipCommand{out: out})
	add("rendezvous", "time per owner lookup and per membership change", &rendezvousCommand{out: out})
	add("router", "bytes of the router's snapshot, and time per packet and per change", &routerCommand{out: out})
	add("records", "bytes and time per request record, and bytes of a handover", &recordsCommand{out: out})
	add("slots", "bytes of a slot owner, and time per slot and per tick", &slotsCommand{out: out})
	add("quota", "bytes, time and messages of the pooled limits", &quotaCommand{out: out})
	add("flows", "growth of the heap by open flows, and time per flow packet", &flowsCommand{out: out})
	add("line", "line through values that a script has measured", &lineCommand{out: out})
	add("publication", "generated publication for standin-platform", &publicationCommand{out: out})
	return p
}
