// Command standin-platform stands in for the platform's configuration service in tests and in the demo.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}
