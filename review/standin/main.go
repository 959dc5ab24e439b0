//go:build review

// Command standin runs the scripts of the review: it starts the project's programs as a small deployment on loopback addresses, and
// plays the platform, the clients and the backends as the users' pages describe them.
//
// It exits with 1 if the rule that a case is about was broken, with 0 if it was kept, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitPassed = 0
	exitBroken = 1
	exitFailed = 2
)

// maxBreaksShown bounds the breaks that a record lists one by one.
const maxBreaksShown = 20

// maxRunTime bounds a run, below the 120 seconds that a case may take.
const maxRunTime = 110 * time.Second

// scenario plays one case on a fleet. It returns the breaks of the rule that clients or backends saw.
type scenario func(fleet *fleet, trouble bool) (breaks []string, err error)

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"surplus-answer": surplusAnswer,
	"slow-reader":    slowReader,
	"departure":      departure,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD, from the root of the repository; TROUBLE=0 leaves the disruption out")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run plays a scenario and returns the exit code.
func run(name, recordPath string, trouble bool) int {
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	record.line("case %s, with the disruption: %v", name, trouble)
	started, err := newFleet(record)
	if err != nil {
		record.line("could not run: %v", err)
		return exitFailed
	}
	defer started.stop()
	timer := time.AfterFunc(maxRunTime, func() {
		record.line("could not run: it took longer than %v", maxRunTime)
		started.stop()
		os.Exit(exitFailed)
	})
	defer timer.Stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		record.line("could not run: interrupted")
		started.stop()
		os.Exit(exitFailed)
	}()
	breaks, err := scenarios[name](started, trouble)
	if err != nil {
		record.line("could not run: %v", err)
		return exitFailed
	}
	for _, text := range breaks[:min(len(breaks), maxBreaksShown)] {
		record.line("BROKEN %s", text)
	}
	record.line("the rule was broken %d times", len(breaks))
	if len(breaks) > 0 {
		return exitBroken
	}
	return exitPassed
}
