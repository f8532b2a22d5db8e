// Command pimcapacity measures how the memory, processing time and traffic of a VM grow with the size of the fleet and
// with the load.
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
