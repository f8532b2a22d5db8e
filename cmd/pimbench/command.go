package main

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"
	"github.com/samber/oops"
)

// command is one subcommand.
type command interface {
	flags.Commander
	name() string
	summary() string
}

// common holds the options of all subcommands.
type common struct {
	Seeds     uint64 `long:"seeds" default:"5" description:"number of seeds, starting at 1"`
	Directory string `long:"out" default:"." description:"directory of the report and the plot"`
}

// writeJSON writes a report as JSON into the output directory.
func (c *common) writeJSON(file string, report any) (err error) {
	defer func() { err = oops.In("pimbench").Wrapf(err, "write %s", file) }()
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return c.writeFile(file, append(text, '\n'))
}

func (c *common) writeFile(file string, content []byte) error {
	const directoryMode, fileMode = 0o755, 0o644
	if err := os.MkdirAll(c.Directory, directoryMode); err != nil {
		return err
	}
	return os.WriteFile(c.path(file), content, fileMode)
}

func (c *common) path(file string) string { return filepath.Join(c.Directory, file) }

// writeReport writes the reports to NAME.json and the text to NAME.txt, and prints the text.
func (c *common) writeReport(name string, reports any, text string) error {
	if err := c.writeJSON(name+".json", reports); err != nil {
		return err
	}
	if err := c.writeFile(name+".txt", []byte(text)); err != nil {
		return err
	}
	_, err := io.WriteString(os.Stdout, text)
	return err
}
