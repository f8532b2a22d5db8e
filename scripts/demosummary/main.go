// Command demosummary prints the counts of the callers and backend servers of the demo. It exits with 1 if no request
// of a contract was answered, an answer did not match its request, a flow broke or was not opened, a request ran twice,
// a backend server received flow packets of another service, or a drained backend server received new work later than
// drainBound after the drain.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Callers  []string `long:"caller" required:"true" description:"contract=file with the summary of its callers"`
	Backends []string `long:"backend" required:"true" description:"service=address of a backend server"`
	Drained  string   `long:"drained" description:"address of the drained backend server, which has no part in the imbalance"`
	Flows    int      `long:"flows" description:"flows that each contract must have opened"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); flags.WroteHelp(err) {
		return
	} else if err != nil {
		os.Exit(2)
	}
	faults, err := report(&o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for _, f := range faults {
		fmt.Println("FAULT:", f)
	}
	if len(faults) > 0 {
		os.Exit(1)
	}
	fmt.Println("every answer matched its request and no flow broke")
}
