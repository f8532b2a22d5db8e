//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a script.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// scenario plays a case; it reports whether the rule was broken.
type scenario func(d *deployment, hasTrouble bool) (isBroken bool, err error)

var scenarios = map[string]scenario{
	"agents": agents, "overwritten": overwritten, "canary": canary, "seeds": seeds, "opening": openingPacket,
}

func main() { os.Exit(run()) }

// run plays the scenario of the first argument and writes the record to the file of the second.
func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 SCENARIO RECORD")
		return exitCannotRun
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	d, cleanup, err := newDeployment(rec)
	if err != nil {
		rec.say("cannot run: %v", err)
		return exitCannotRun
	}
	defer cleanup()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	// A reader of the output that has gone must not end this process without the clean-up.
	signal.Ignore(syscall.SIGPIPE)
	go func() {
		<-stopped
		cleanup()
		os.Exit(exitCannotRun)
	}()
	isBroken, err := scenarios[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("cannot run: %v", err)
		return exitCannotRun
	case isBroken:
		rec.say("the rule was broken")
		return exitBroken
	default:
		rec.say("the rule held")
		return exitHeld
	}
}
