// Package policy names the mechanisms by which entries and agents decide under
// load and faults, so that each can be switched off alone and its worth measured.
//
// Production runs with all of them: the zero Policy. Only the emulator and tests
// switch any off.
package policy

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// Mechanism is the name of one mechanism.
type Mechanism string

// Mechanisms of entries.
const (
	// Yield has queues of low priority give way while more urgent jobs are lost.
	Yield Mechanism = "yield"
	// LearnedWaits corrects predicted waits by measured ones.
	LearnedWaits Mechanism = "learned-waits"
	// LearnedRunTimes corrects declared run times by measured ones.
	LearnedRunTimes Mechanism = "learned-run-times"
	// Spread tells equal workers apart at random.
	Spread Mechanism = "spread"
	// SlackBands leaves waiting runs that have more slack out of a worker's load.
	SlackBands Mechanism = "slack-bands"
	// Pace prefers workers that are not slower than the typical one.
	Pace Mechanism = "pace"
	// Probing keeps work from workers that fail or crawl, but for single probes.
	Probing Mechanism = "probing"
	// Withdrawing takes waiting runs back for room that is free elsewhere.
	Withdrawing Mechanism = "withdrawing"
	// Restarting begins runs on slow workers anew elsewhere.
	Restarting Mechanism = "restarting"
	// Deferring keeps jobs that would be late for room that stays free, instead of
	// refusing them.
	Deferring Mechanism = "deferring"
	// RefusedBefore has a task avoid workers that refused it.
	RefusedBefore Mechanism = "refused-before"
)

// Mechanisms of agents.
const (
	// LeastSlack starts waiting runs in the order of their slack.
	LeastSlack Mechanism = "least-slack"
	// Passing lets smaller runs pass one that does not fit.
	Passing Mechanism = "passing"
	// Progress judges a worker's pace also by runs that are under way.
	Progress Mechanism = "progress"
)

// All returns the mechanisms in a fixed order.
func All() []Mechanism {
	return []Mechanism{
		Yield, LearnedWaits, LearnedRunTimes, Spread, SlackBands, Pace, Probing, Withdrawing, Restarting, RefusedBefore, Deferring,
		LeastSlack, Passing, Progress,
	}
}

// Policy says which mechanisms are in force. The zero value has all of them.
type Policy struct{ off map[Mechanism]bool }

// Has reports whether a mechanism is in force.
func (p Policy) Has(m Mechanism) bool { return !p.off[m] }

// Without returns the policy that lacks the mechanisms of the given names.
func Without(names ...string) (Policy, error) {
	p := Policy{off: make(map[Mechanism]bool)}
	for _, name := range names {
		m := Mechanism(name)
		if !slices.Contains(All(), m) {
			return Policy{}, eris.Errorf("no mechanism is called %q; there are %v", name, All())
		}
		p.off[m] = true
	}
	return p, nil
}

// Missing returns the mechanisms that are switched off, in alphabetical order.
func (p Policy) Missing() []Mechanism { return slices.Sorted(maps.Keys(p.off)) }
