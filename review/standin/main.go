//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases contains the cases by name; each returns the number of breaches of its rule.
var cases = map[string]func(d *deployment) (breaches int, err error){
	"rolled-twice": rolledTwice,
	"odd-service":  oddService,
	"odd-copy":     oddCopy,
	"odd-other":    oddOther,
}

// longest is the longest time that a case may take.
const longest = 110 * time.Second

// endEarly ends all processes and this one if the case takes too long or is interrupted.
func endEarly(rec *record, end func()) {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	select {
	case <-interrupted:
	case <-time.After(longest):
	}
	rec.printf("could not run: ended early")
	end()
	os.Exit(exitNotRun)
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	d, cleanup, err := newDeployment(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("could not run: %v", err)
		return exitNotRun
	}
	end := sync.OnceFunc(cleanup)
	defer end()
	go endEarly(rec, end)
	breaches, err := cases[args[0]](d)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		return exitNotRun
	case breaches > 0:
		rec.printf("BROKEN: %d breaches", breaches)
		return exitBroken
	default:
		rec.printf("held")
		return exitHeld
	}
}
