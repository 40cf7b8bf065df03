// Command review-rig plays the scripts of a review: it starts the product's programs as processes of
// a small deployment on loopback addresses, with stand-ins for the store, the workers and the clients
// that follow the platform's pages, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it plays the same without the disruption.
package main

import (
	"fmt"
	"os"
)

// play runs one case. It reports whether the rule was broken.
type play func(d *deployment, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"added":         playAdded,
	"reload":        playReload,
	"lost-machine":  playLostMachine,
	"cancelled":     playCancelled,
	"chain":         playChain,
	"dropped-route": playDroppedRoute,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(p play, record string) int {
	j := newJournal()
	d, err := newDeployment(j)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot start:", err)
		return 2
	}
	broken, err := false, d.startAll()
	if err == nil {
		broken, err = p(d, os.Getenv("TROUBLE") != "0")
	}
	d.close()
	if writeErr := j.write(record); err == nil {
		err = writeErr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	case broken:
		fmt.Println("the rule is broken")
		return 1
	}
	fmt.Println("the rule holds")
	return 0
}
