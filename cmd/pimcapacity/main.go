// Command pimcapacity measures how the cost of the control plane grows with the size of the fleet.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	if _, err := newParser(os.Stdout).Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}
