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

// simConfig configures a simulation: instances, latencies and time constants.
type simConfig struct {
	dataCentres []dataCentreConfig
	// capacity returns the resources of the n-th worker.
	capacity func(n int) room.Resources
	// rackSize is the number of consecutive workers in a rack.
	rackSize int
	// service and kind return the service of the n-th worker and the label of its kind; nil stands for
	// serviceName and no such label.
	service, kind func(n int) string
	// resend is the time after which a caller whose connection broke submits its job again.
	resend time.Duration
	// ownerLease is an entry's lease at an agent, workerLease the lease that agents request from
	// their worker, and runEndTimeout the time after which a worker without its agent has ended its
	// runs.
	ownerLease, workerLease, runEndTimeout time.Duration
	// longestLease is the longest lease that a worker grants.
	longestLease time.Duration
	// ownershipTTL is how long an ownership confirmation from the store is valid,
	// entrySilenceTimeout the silence after which an entry counts as lost.
	ownershipTTL, entrySilenceTimeout time.Duration
	// trustsParts has entries take each answer of the change feed for all changes.
	trustsParts bool
	// forgetsTerms has rows of durable jobs without the terms of their queue.
	forgetsTerms bool
	// localLatency, remoteLatency and callerLatency are the one-way latencies within a data centre,
	// between two, and between a caller and an entry. Up to jitter is added to the first two.
	localLatency, remoteLatency, callerLatency, jitter time.Duration
	// announceInterval is the longest time between announcements of a worker, delayedShare the
	// share of them that is delayed by up to three seconds.
	announceInterval time.Duration
	delayedShare     float64
	// pollWait is how long a poll of the worker waits for an end. crossCost is the extra time
	// of a start and its end if they are sent to another data centre, remoteFactor the factor on
	// the run time of a task away from its data.
	pollWait, crossCost time.Duration
	remoteFactor        float64
	// bootAgent and bootEntry are how long the processes take to start.
	bootAgent, bootEntry time.Duration
	policy               policy.Policy
}

// dataCentreConfig is one data centre of a simulation.
type dataCentreConfig struct {
	name             string
	entries, workers int
}

// Time constants that are the same in all simulations.
const (
	// tickInterval is the interval of the ticks of the cores.
	tickInterval = 20 * time.Millisecond
	// stepInterval is the interval at which workers end runs and answer polls.
	stepInterval = 2 * time.Millisecond
	// linkRetryDelay is the time before a closed link is opened again.
	linkRetryDelay = 50 * time.Millisecond
)

// entries returns all entries as agents know them.
func (config *simConfig) entries() []runs.Entry {
	var list []runs.Entry
	for _, c := range config.dataCentres {
		for range c.entries {
			list = append(list, runs.Entry{Address: entryAddress(len(list)), DataCentre: c.name})
		}
	}
	return list
}

func entryAddress(n int) string { return fmt.Sprintf("e%d", n) }

// chosenEntries returns the addresses of the entries that a worker's agent links to while the given
// data centres are drained. Unlike in production, the agent uses no substitute for a chosen entry
// that is lost.
func (config *simConfig) chosenEntries(w *worker, drained []string) map[string]bool {
	addresses := make(map[string]bool)
	for _, e := range subset.Choose(w.name, w.dataCentre, config.entries(), drained) {
		addresses[e.Address] = true
	}
	return addresses
}

// latency returns the one-way latency between two data centres, without jitter.
func (config *simConfig) latency(from, to string) time.Duration {
	if from == to {
		return config.localLatency
	}
	return config.remoteLatency
}

// maxStopTime is the longest time that a worker takes to end a run.
const maxStopTime = 50 * time.Millisecond

// setLeases derives the leases from the resend time, as in production.
func (config *simConfig) setLeases(longest time.Duration) {
	times := leases.ForResend(config.resend, maxStopTime, longest)
	config.ownerLease, config.workerLease, config.runEndTimeout = times.Owner, times.Worker, times.RunExpiry
	config.longestLease = longest
}
