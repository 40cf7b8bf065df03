// Command bed plays the cases of the review that are no days of the bench. It starts the project's
// programs as separate processes on loopback addresses, with stand-ins of the platform's store, of
// the executors and of the clients in its own process.
//
//	bed CASE RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in its environment the case is played without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxLength is when a case is given up.
const maxLength = 110 * time.Second

// play plays a case. It returns whether the rule was broken, or why the case could not run.
type play func(rec *record, trouble bool) (broken bool, err error)

var plays = map[string]play{}

// current is the deployment of the case, to be stopped if the case is interrupted.
var current *deployment

func main() { os.Exit(playCase()) }

func playCase() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := plays[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.say("the case could not run: %v", r.err)
			return exitNotRun
		case r.broken:
			rec.say("the rule was broken")
			return exitBroken
		}
		rec.say("the rule held")
		return exitHeld
	case <-interrupted:
		rec.say("interrupted")
	case <-time.After(maxLength):
		rec.say("the case took too long")
	}
	if current != nil {
		current.stop()
	}
	return exitNotRun
}
