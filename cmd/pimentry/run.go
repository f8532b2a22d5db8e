package main

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/pimcli"
	"github.com/pimentoyard/pimentoyard/internal/pimentry"
	"github.com/pimentoyard/pimentoyard/internal/pimsettings"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimlog"
	"github.com/pimentoyard/pimentoyard/platform"
)

// runCommand runs one VM until it receives SIGTERM or SIGINT.
type runCommand struct {
	Settings string `long:"settings" short:"s" required:"yes" description:"settings file in TOML"`

	out pimcli.Output
}

func newRun(out pimcli.Output) pimcli.Command {
	return pimcli.Command{
		Name: "run", Short: "Run one VM",
		Long: "Runs one VM. SIGTERM stops it gracefully, a second signal ends it at once, SIGHUP reads the settings again.",
		Data: &runCommand{out: out},
	}
}

// Execute runs the command.
func (c *runCommand) Execute([]string) error {
	// SIGHUP must not end a process that is still starting. settingsWatcher handles the signal once it runs.
	signal.Ignore(syscall.SIGHUP)
	cfg, err := pimsettings.ReadEntry(c.Settings)
	if err != nil {
		return err
	}
	log, closeLog, err := newLogger(c.out, cfg)
	if err != nil {
		return err
	}
	defer closeLog()
	ctx, cancel := pimcli.StopSignal()
	defer cancel()
	clock := pimclock.Boot{}
	set := metrics.NewSet()
	store, closeStore := platform.NewStore(platform.StoreSettings{
		Address: cfg.Platform.Address.String(), Timeout: time.Duration(cfg.Platform.Timeout),
		Observe: pimentry.ObserveCalls(set, log),
	})
	defer closeStore()
	node, cleanup, err := pimentry.New(context.Background(), cfg, pimentry.Platform{
		Codec: platform.Codec{}, Source: store, Readiness: platform.ReadinessHandler, Metrics: set,
	}, clock, log)
	if err != nil {
		return err
	}
	defer cleanup()
	log.Info().Str("settings", c.Settings).Msg("started")
	watcher := &settingsWatcher{file: c.Settings, applied: cfg, node: node, log: log}
	watcher.run(ctx)
	return pimcli.Stop(log, func(ctx context.Context) error {
		node.Shutdown(ctx)
		return nil
	})
}

func newLogger(out pimcli.Output, cfg pimsettings.Entry) (log zerolog.Logger, cleanup func(), err error) {
	level, err := zerolog.ParseLevel(cfg.Log.Level)
	if err != nil {
		return zerolog.Nop(), nil, err
	}
	log, cleanup = pimlog.New(out.Stdout, level)
	log = log.With().Str("vm", cfg.Node.Name).Str("data_centre", string(cfg.Node.DataCentre)).Logger()
	return log, cleanup, nil
}
