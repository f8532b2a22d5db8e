package main

import (
	"errors"
	"fmt"

	"github.com/pimentoyard/pimentoyard/internal/pimcli"
	"github.com/pimentoyard/pimentoyard/internal/pimsettings"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
)

// checkCommand validates the files of a publication, or settings files.
type checkCommand struct {
	JSON     bool `long:"json" description:"print JSON"`
	Settings bool `long:"settings" description:"the files are settings of VMs"`
	Args     struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`

	out pimcli.Output
}

func newCheck(out pimcli.Output) pimcli.Command {
	return pimcli.Command{
		Name: "check", Short: "Validate contract, fleet or settings files",
		Long: "Validates contract and fleet files together, or settings files one by one, and prints each fault as " +
			"file:line: key: reason. The exit code is 1 if there are faults.",
		Data: &checkCommand{out: out},
	}
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	faults, err := c.faults()
	if err != nil {
		return err
	}
	if c.JSON {
		err = writeJSON(c.out.Stdout, append(pimcontract.Faults{}, faults...))
	} else {
		err = c.print(faults)
	}
	if err == nil && len(faults) > 0 {
		err = pimcli.ErrReported
	}
	return err
}

// faults reads the files; the error is set only if they could not be read.
func (c *checkCommand) faults() (all pimcontract.Faults, err error) {
	if !c.Settings {
		_, err = pimcontract.Read(c.Args.Files...)
		return splitFaults(err)
	}
	for _, file := range c.Args.Files {
		_, err = pimsettings.Read(file)
		found, err := splitFaults(err)
		if err != nil {
			return nil, err
		}
		all = append(all, found...)
	}
	return all, nil
}

// splitFaults returns the faults that an error holds; any other error is returned as it is.
func splitFaults(err error) (pimcontract.Faults, error) {
	var faults pimcontract.Faults
	if errors.As(err, &faults) {
		return faults, nil
	}
	return nil, err
}

func (c *checkCommand) print(faults pimcontract.Faults) (err error) {
	for _, f := range faults {
		if _, err = fmt.Fprintln(c.out.Stdout, f); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(c.out.Stdout, "files: %d, faults: %d\n", len(c.Args.Files), len(faults))
	return err
}
