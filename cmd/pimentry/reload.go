package main

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/pimentry"
	"github.com/pimentoyard/pimentoyard/internal/pimsettings"
)

// settingsPollInterval is the time between checks of the settings file, which may change without a signal.
const settingsPollInterval = 2 * time.Second

// settingsWatcher applies changes of the settings file to a running VM.
type settingsWatcher struct {
	file string
	// applied holds the valid settings that were read last.
	applied pimsettings.Entry
	// modTime is the modification time of the file at the last check.
	modTime time.Time
	node    *pimentry.Node
	log     zerolog.Logger
}

// run applies changes of the file until the context ends. It checks the file periodically and on SIGHUP.
func (w *settingsWatcher) run(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			w.reload()
		case <-ticker.C:
			if w.isModified() {
				w.reload()
			}
		}
	}
}

func (w *settingsWatcher) isModified() bool {
	info, err := os.Stat(w.file)
	if err != nil {
		w.log.Warn().Err(err).Msg("settings file not found; the settings stay in force")
		return false
	}
	if info.ModTime().Equal(w.modTime) {
		return false
	}
	w.modTime = info.ModTime()
	return true
}

// reload applies the file. If the file is not valid, the settings in force stay.
func (w *settingsWatcher) reload() {
	cfg, err := pimsettings.ReadEntry(w.file)
	if err != nil {
		w.log.Error().Err(err).Msg("settings are wrong; the present ones stay in force")
		return
	}
	if reflect.DeepEqual(cfg, w.applied) {
		return
	}
	w.applied = cfg
	w.node.Reload(cfg)
}
