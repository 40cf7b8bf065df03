// Command review-3 holds the stand-ins and the clients of the scripted cases of the third review. It starts
// the project's own programs as separate processes on loopback addresses. Its arguments are the name of the
// case and the path of the record. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held = iota
	broken
	couldNotRun
)

// verdict is the result of a case.
type verdict struct {
	code int
	why  string
}

var cases = map[string]func(rec *record, trouble bool) verdict{}

func cannot(err error) verdict { return verdict{couldNotRun, err.Error()} }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-3 CASE RECORD")
		os.Exit(couldNotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(couldNotRun)
	}
	result := make(chan verdict, 1)
	go func() { result <- cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0") }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	v := verdict{couldNotRun, "interrupted"}
	select {
	case v = <-result:
	case <-interrupted:
	case <-time.After(110 * time.Second):
		v.why = "the case took too long"
	}
	if current != nil {
		current.end()
	}
	rec.line("verdict: %s", v.why)
	fmt.Println(v.why)
	os.Exit(v.code)
}

// current is the deployment that main ends.
var current *world
