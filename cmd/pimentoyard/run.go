package main

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/pimcli"
	"github.com/pimentoyard/pimentoyard/internal/pimnode"
	"github.com/pimentoyard/pimentoyard/internal/pimsettings"
)

// runCommand runs one VM until it receives SIGTERM or SIGINT.
type runCommand struct {
	Settings string `long:"settings" short:"s" required:"yes" description:"settings file in TOML"`

	out pimcli.Output
}

func newRun(out pimcli.Output) pimcli.Command {
	return pimcli.Command{
		Name: "run", Short: "Run one VM",
		Long: "Runs one VM. SIGTERM stops it gracefully; a second signal ends it at once.",
		Data: &runCommand{out: out},
	}
}

// Execute runs the command.
func (c *runCommand) Execute([]string) error {
	settings, err := pimsettings.Read(c.Settings)
	if err != nil {
		return err
	}
	log, err := newLogger(c.out, settings)
	if err != nil {
		return err
	}
	ctx, cancel := pimcli.StopSignal()
	defer cancel()
	node, cleanup, err := pimnode.New(ctx, settings, log)
	if err != nil {
		return err
	}
	defer cleanup()
	<-ctx.Done()
	return pimcli.Stop(log.With().Dur("timeout", time.Duration(settings.Drain.Timeout)).Logger(), node.Shutdown)
}

func newLogger(out pimcli.Output, settings pimsettings.Settings) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(settings.Log.Level)
	if err != nil {
		return zerolog.Nop(), err
	}
	return zerolog.New(out.Stderr).Level(level).With().Timestamp().
		Uint16("vm", uint16(settings.Node.ID)).Str("data_centre", string(settings.Node.DataCentre)).Logger(), nil
}
