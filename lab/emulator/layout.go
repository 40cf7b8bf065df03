package emulator

import (
	"fmt"
	"time"

	"peridotpick.example/common/room"
	"peridotpick.example/core/leases"
	"peridotpick.example/core/policy"
	"peridotpick.example/core/subset"
	"peridotpick.example/wire/runs"
)

// layout is what a world is built from: instances, distances and times.
type layout struct {
	centres []centre
	// capacity returns the room of the n-th worker.
	capacity func(n int) room.Room
	// rackSize is the number of neighbouring workers in a rack.
	rackSize int
	// resend is when a caller whose connection broke sends its job again.
	resend time.Duration
	// ownerLease is an entry's lease at an agent, workerLease the one agents ask of
	// their worker, runsOver when a worker without its agent has ended its runs.
	ownerLease, workerLease, runsOver time.Duration
	// longestLease is what workers shorten a longer lease to.
	longestLease time.Duration
	// ownFor is how long a look at the store proves that durable jobs are owned,
	// entrySilent the silence from which an entry counts as lost.
	ownFor, entrySilent time.Duration
	// within, across and caller are the shortest ways inside a data centre, between
	// two, and from a caller; jitter is added to the first two at random.
	within, across, caller, jitter time.Duration
	// announceEvery bounds the time between announcements of a worker, lateShare
	// is the share of those that are delayed by seconds.
	announceEvery time.Duration
	lateShare     float64
	// lookWait is how long a look at the worker waits, crossCost what a border
	// between data centres adds to the cost of a worker.
	lookWait, crossCost time.Duration
	remoteFactor        float64
	// bootAgent and bootEntry are how long the processes take to start.
	bootAgent, bootEntry time.Duration
	policy               policy.Policy
}

// centre is one data centre of a layout.
type centre struct {
	name             string
	entries, workers int
}

// Times that do not differ between layouts.
const (
	tick = 20 * time.Millisecond
	step = 2 * time.Millisecond
	// linkRetry is the pause before a link is opened again.
	linkRetry = 50 * time.Millisecond
)

// fleet returns all entries, by what agents know of them.
func (l *layout) fleet() []runs.Entry {
	var list []runs.Entry
	for _, c := range l.centres {
		for range c.entries {
			list = append(list, runs.Entry{Address: entryAddress(len(list)), DataCentre: c.name})
		}
	}
	return list
}

func entryAddress(n int) string { return fmt.Sprintf("e%d", n) }

// chosen returns the addresses of the entries that a worker's agent works with while some
// data centres are drained. Here it does not turn to others while one of them is away.
func (l *layout) chosen(k *worker, drained []string) map[string]bool {
	chosen := make(map[string]bool)
	for _, e := range subset.Choose(k.name, k.centre, l.fleet(), drained) {
		chosen[e.Address] = true
	}
	return chosen
}

// oneWay returns the shortest way between two data centres.
func (l *layout) oneWay(from, to string) time.Duration {
	if from == to {
		return l.within
	}
	return l.across
}

// stopTime is what a worker takes to end a run at most.
const stopTime = 50 * time.Millisecond

// setLeases derives the leases from the resend time, as in production.
func (l *layout) setLeases(longest time.Duration) {
	times := leases.For(l.resend, stopTime, longest)
	l.ownerLease, l.workerLease, l.runsOver = times.Owner, times.Worker, times.RunsOver
	l.longestLease = longest
}
