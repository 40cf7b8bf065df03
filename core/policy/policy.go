// Package policy names the mechanisms by which entries and agents decide under load and faults, so
// that each can be disabled alone and its effect measured.
//
// In production all are enabled, which is the zero Policy. Only the emulator and tests disable any.
package policy

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// Mechanism is the name of a mechanism, as settings and reports have it.
type Mechanism string

// Mechanisms of entries.
const (
	// Yield refuses jobs of queues with low priority while so much waits that more urgent ones would
	// be refused.
	Yield Mechanism = "yield"
	// LearnedRunTimes corrects declared run times by measured ones.
	LearnedRunTimes Mechanism = "learned-run-times"
	// Spread breaks ties among equal workers at random.
	Spread Mechanism = "spread"
	// SlackBands does not count waiting runs that have more slack than the new run in a worker's
	// load.
	SlackBands Mechanism = "slack-bands"
	// Pace prefers workers that run tasks no slower than the typical worker.
	Pace Mechanism = "pace"
	// Probing gives workers that fail or are very slow no work except single probes.
	Probing Mechanism = "probing"
	// Restarting starts runs of slow workers again on another one.
	Restarting Mechanism = "restarting"
	// Deferring keeps jobs that would end late, to run them in capacity that stays free, rather
	// than refusing them.
	Deferring Mechanism = "deferring"
	// Reserving lets tasks wait in their entry, with reservations at several agents, rather than in
	// the queue of one agent.
	Reserving Mechanism = "reserving"
	// Shares refuses jobs of callers that have got their share of what can be served.
	Shares Mechanism = "shares"
	// RefusedBefore has a task avoid workers that refused it.
	RefusedBefore Mechanism = "refused-before"
	// AskForWorkers has agents of other entries link to an entry whose own ones cannot run a task.
	AskForWorkers Mechanism = "ask-for-workers"
)

// Mechanisms of agents.
const (
	// LeastSlack starts waiting runs in the order of their slack.
	LeastSlack Mechanism = "least-slack"
	// Passing lets a smaller run start before one that does not fit into the free capacity.
	Passing Mechanism = "passing"
	// Progress judges the speed of a worker also by its unfinished runs.
	Progress Mechanism = "progress"
)

// All returns the mechanisms in a fixed order.
func All() []Mechanism {
	return []Mechanism{
		Yield, LearnedRunTimes, Spread, SlackBands, Pace, Probing, Restarting, RefusedBefore, Deferring, Reserving, Shares, AskForWorkers,
		LeastSlack, Passing, Progress,
	}
}

// Policy says which mechanisms are enabled. The zero value enables all.
type Policy struct{ disabled map[Mechanism]bool }

// Enabled reports whether a mechanism is enabled.
func (p Policy) Enabled(m Mechanism) bool { return !p.disabled[m] }

// Without returns the policy that disables the mechanisms of the given names. It fails if a name is
// unknown.
func Without(names ...string) (Policy, error) {
	p := Policy{disabled: make(map[Mechanism]bool)}
	for _, name := range names {
		m := Mechanism(name)
		if !slices.Contains(All(), m) {
			return Policy{}, eris.Errorf("unknown mechanism %q; known mechanisms: %v", name, All())
		}
		p.disabled[m] = true
	}
	return p, nil
}

// Disabled returns the disabled mechanisms, sorted by name.
func (p Policy) Disabled() []Mechanism { return slices.Sorted(maps.Keys(p.disabled)) }
