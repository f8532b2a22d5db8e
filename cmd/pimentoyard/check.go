package main

import (
	"errors"
	"fmt"

	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
)

// checkCommand validates the files of a publication.
type checkCommand struct {
	JSON bool `long:"json" description:"print JSON"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`

	out output
}

func newCheck(out output) command {
	return command{
		name: "check", short: "Validate contract and fleet files",
		long: "Validates all files together and prints each fault as file:line: key: reason.",
		data: &checkCommand{out: out},
	}
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	_, err := pimcontract.Read(c.Args.Files...)
	var faults pimcontract.Faults
	if err != nil && !errors.As(err, &faults) {
		return err
	}
	if c.JSON {
		err = writeJSON(c.out.stdout, append(pimcontract.Faults{}, faults...))
	} else {
		err = c.print(faults)
	}
	if err == nil && len(faults) > 0 {
		err = errReported
	}
	return err
}

func (c *checkCommand) print(faults pimcontract.Faults) (err error) {
	for _, f := range faults {
		if _, err = fmt.Fprintln(c.out.stdout, f); err != nil {
			return err
		}
	}
	return nil
}
