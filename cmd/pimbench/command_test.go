package main

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/scenario/pimadmission"
	"github.com/pimentoyard/pimentoyard/internal/scenario/pimbalance"
	"github.com/pimentoyard/pimentoyard/internal/scenario/pimflood"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestCommands guards against subcommands that do not parse their options or that do not write all of their files.
func TestCommands(t *testing.T) {
	cases := []struct {
		command    command
		args       []string
		extensions []string
	}{
		{newFloodCommand(zerolog.Nop()), []string{"flood", "--seeds=1", "--flood=1s", "--calm=1s"}, []string{".json", ".txt", ".png"}},
		{newBalanceCommand(zerolog.Nop()), []string{"balance", "--seeds=1", "--length=45s"}, []string{".json", ".txt", ".png"}},
		{newAdmissionCommand(zerolog.Nop()), []string{"admission", "--seeds=1", "--burst=200ms"}, []string{".json", ".txt", "-both_rise.svg"}},
		{newViewsCommand(zerolog.Nop()), []string{"views", "--seeds=1", "--length=5s"}, []string{".json", ".txt"}},
	}
	for _, c := range cases {
		t.Run(c.command.name(), func(t *testing.T) {
			is := is.New(t)
			directory, name := t.TempDir(), c.command.name()
			parser := flags.NewParser(nil, flags.None)
			_, err := parser.AddCommand(name, c.command.summary(), "", c.command)
			is.NoErr(err)
			_, err = parser.ParseArgs(append(c.args, "--out="+directory))
			is.NoErr(err)
			for _, extension := range c.extensions {
				info, err := os.Stat(filepath.Join(directory, name+extension))
				is.NoErr(err)
				is.True(info.Size() > 0)
			}
		})
	}
}

// TestTables guards against unintended changes of the columns, since scripts read the tables.
func TestTables(t *testing.T) {
	flood := pimflood.Report{Seed: 7, Policy: pimflood.Shares, Load: 0.9, Sheds: 2, Phases: []pimflood.PhaseReport{{
		Name: "both", Busy: 0.998, IdleWhileWaiting: 0.0001, RecoverySeconds: 5, StormSeconds: 2,
		Contracts: []pimflood.ContractReport{{Flooding: true}, {Kept: 0.98, Steady: 0.97}},
	}}}
	balance := pimbalance.Report{
		Seed: 7, Choice: pimbalance.TwoChoices, Faults: true, MaxToMean: 1.05, WorstMaxToMean: 1.1, WaitP99Millis: 9, Failed: 3,
	}
	admission := pimadmission.Report{
		Seed: 7, Mix: pimadmission.BothRise, Load: 2, Admission: true, Goodput: 0.99, QueueFull: 92, OverCap: 3, RecoveryMs: 67,
		Routes: []pimadmission.RouteReport{
			{Priority: 1, Requests: 100, InTime: 99, Late: 1, Tries: 101, Refused: 4, Delayed: 5, OnsetInTime: 9, Onset: 10},
			{Priority: 2, Requests: 200, InTime: 50, Lost: 150, Tries: 500, Refused: 450},
		},
	}
	var floodTable, balanceTable, admissionTable strings.Builder
	writeFloodTable(&floodTable, []pimflood.Report{flood})
	writeBalanceTable(&balanceTable, []pimbalance.Report{balance})
	writeAdmissionTable(&admissionTable, []pimadmission.Report{admission})
	for name, got := range map[string]string{
		"flood.txt": floodTable.String(), "balance.txt": balanceTable.String(), "admission.txt": admissionTable.String(),
	} {
		is := is.New(t)
		golden := filepath.Join("testdata", name)
		if *update {
			is.NoErr(os.WriteFile(golden, []byte(got), 0o600))
		}
		want, err := os.ReadFile(golden)
		is.NoErr(err)
		is.Equal(got, string(want))
	}
}
