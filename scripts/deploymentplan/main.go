// Command deploymentplan prints the processes of an example deployment for scripts/deployment. With --results, it
// prints the summed counts of the callers per contract instead, and exits with 1 if a contract received no answer, an
// answer did not match its request, or a flow broke.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/pimentoyard/pimentoyard/internal/pimplan"
)

type options struct {
	Dir     string  `long:"dir" required:"true" description:"directory of the deployment"`
	Callers int     `long:"callers" default:"4" description:"callers of each contract"`
	Share   float64 `long:"share" default:"0.25" description:"requests per second of all callers as a part of the rate limit"`
	Results string  `long:"results" description:"directory with the summaries of the callers, caller-<contract>-<number>.out"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); flags.WroteHelp(err) {
		return
	} else if err != nil {
		os.Exit(2)
	}
	ok, err := run(&o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !ok {
		os.Exit(1)
	}
}

func run(o *options) (ok bool, err error) {
	pub, err := pimplan.ReadDir(o.Dir)
	if err != nil {
		return false, err
	}
	if o.Results != "" {
		return summarise(o, &pub)
	}
	return true, layout(o, &pub, time.Now())
}
