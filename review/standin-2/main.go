//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// The results of a scenario, which are the exit codes of the scripts.
const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

// scenarios are the scenarios by their names.
var scenarios = map[string]func(d *deployment, hasTrouble bool) int{
	"silent-channels": silentChannels,
	"stalled-reader":  stalledReader,
}

func main() {
	name := flag.String("scenario", "", "scenario")
	program := flag.String("program", "target/pimentry", "program of the VMs")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	zone := flag.String("zone", "lekki", "data centre")
	flag.Parse()
	play, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no scenario %q\n", *name)
		os.Exit(couldntRun)
	}
	d, err := newDeployment(*program, *record, *zone)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldntRun)
	}
	hasTrouble := os.Getenv("TROUBLE") != "0"
	d.record("scenario %s, disruption %v", *name, hasTrouble)
	result := play(d, hasTrouble)
	d.record("result %d (0: the rule held, 1: it was broken, 2: the case could not run)", result)
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", d.dir)
	}
	d.close(os.Getenv("KEEP_LOGS") != "")
	os.Exit(result)
}

// at waits until a time of the scenario, counted from a begin.
func at(begin time.Time, seconds float64) {
	time.Sleep(time.Until(begin.Add(time.Duration(seconds * float64(time.Second)))))
}
