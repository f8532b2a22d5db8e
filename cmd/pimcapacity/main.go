// Command pimcapacity measures how memory, time and traffic of the control plane grow with the size of the fleet.
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
