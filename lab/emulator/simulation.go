package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/core/ledger"
	"peridotpick.example/wire/runs"
)

// event is an action that is scheduled for a time. Events of the same time run in the order in
// which they were scheduled.
type event struct {
	at     time.Time
	seq    int
	action func()
}

// events is a heap of events, ordered by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation simulates a deployment in virtual time.
type simulation struct {
	config  *simConfig
	now     time.Time
	rand    *rand.Rand
	events  events
	seq     int
	workers []*worker
	agents  []*agentProcess
	entries []*entryProcess
	store   *store
	checker checker
	// queues are the queues of durable jobs submitted so far. catalog is the configuration that
	// entries get: at once, or after configDelay when they start.
	queues      []catalog.Queue
	catalog     *catalog.Catalog
	configDelay func() time.Duration
	// jobs are the jobs that callers have submitted, by name.
	jobs map[string]*jobSpec
	// stats collects the outcomes of jobs; nil if they are not recorded.
	stats *stats
	// orderLossShare is the share of orders to workers, and unless pollsReliable of polls, that get
	// no answer.
	orderLossShare float64
	// pollsReliable is set if polls are answered also while orders are lost.
	pollsReliable bool
	// eventLog holds a line per logged event if logsEvents is set.
	eventLog   []string
	logsEvents bool
	nextLink   uint64
	// messages counts the messages on links, announcements those between entries about what they lack.
	messages, announcements int
	nextIncarnation         uint64
}

// simulationStart is when virtual time begins.
var simulationStart = time.Unix(1_000_000, 0)

func newSimulation(seed uint64, config *simConfig) *simulation {
	sim := &simulation{config: config, now: simulationStart, rand: rand.New(rand.NewPCG(seed, 7)), jobs: make(map[string]*jobSpec)}
	sim.checker = newChecker(sim)
	sim.store = &store{sim: sim, rows: make(map[string]ledger.StoredRow), drained: make(map[string]time.Time)}
	for _, c := range config.dataCentres {
		for range c.workers {
			n := len(sim.workers)
			sim.workers = append(sim.workers, newWorker(sim, fmt.Sprintf("w%d", n), c.name, n))
			sim.agents = append(sim.agents, newAgentProcess(sim, sim.workers[n]))
		}
	}
	for _, c := range config.dataCentres {
		for range c.entries {
			sim.entries = append(sim.entries, newEntryProcess(sim, entryAddress(len(sim.entries)), c.name))
		}
	}
	return sim
}

// schedule has action run after a delay in virtual time.
func (sim *simulation) schedule(delay time.Duration, action func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now.Add(delay), seq: sim.seq, action: action})
}

// run advances virtual time by duration, or until a guarantee is violated.
func (sim *simulation) run(duration time.Duration) {
	end := sim.now.Add(duration)
	sim.repeat(stepInterval, end, func() {
		for i, w := range sim.workers {
			sim.agents[i].trackConnectivity()
			w.advance()
		}
	})
	for len(sim.events) > 0 && !sim.events[0].at.After(end) && len(sim.checker.violations) == 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.action()
	}
	sim.now = end
}

// repeat has action run at an interval until end.
func (sim *simulation) repeat(interval time.Duration, end time.Time, action func()) {
	sim.schedule(interval, func() {
		action()
		if sim.now.Before(end) {
			sim.repeat(interval, end, action)
		}
	})
}

// addQueue adds a queue to the configuration if it has none of that name.
func (sim *simulation) addQueue(q *catalog.Queue) {
	for i := range sim.queues {
		if sim.queues[i].Name == q.Name {
			return
		}
	}
	sim.queues = append(sim.queues, *q)
	sim.configure(sim.queues)
}

// configure gives all entries a configuration with the given queues.
func (sim *simulation) configure(queues []catalog.Queue) {
	version := uint64(1)
	if sim.catalog != nil {
		version = sim.catalog.Version + 1
	}
	sim.catalog = catalog.New(version, catalog.Limits{}, queues)
	for _, e := range sim.entries {
		e.receiveCatalog(time.Millisecond)
	}
}

// elapsed returns the virtual time since the simulation began.
func (sim *simulation) elapsed() time.Duration { return sim.now.Sub(simulationStart) }

// logEvent adds a line to the event log.
func (sim *simulation) logEvent(format string, args ...any) {
	if sim.logsEvents {
		sim.eventLog = append(sim.eventLog, fmt.Sprintf("%8.4f ", sim.elapsed().Seconds())+fmt.Sprintf(format, args...))
	}
}

// liveEntries counts the entries whose process is alive.
func (sim *simulation) liveEntries() int {
	n := 0
	for _, e := range sim.entries {
		if !e.dead {
			n++
		}
	}
	return n
}

// request is one submission of an awaited job to an entry.
type request struct {
	id   batch.RequestID
	job  *jobSpec
	done bool
	// onConnectionLost tells the caller that its connection broke.
	onConnectionLost func()
}

// crashDelay returns the time after its start at which a run crashes its worker, and whether it
// does.
func (sim *simulation) crashDelay(key runs.Key) (time.Duration, bool) {
	j := sim.jobs[key.Job()]
	if j == nil || j.crashDelay == nil {
		return 0, false
	}
	return j.crashDelay(key)
}

// workOf returns the work of a run, as its duration at full speed, and whether it fails.
func (sim *simulation) workOf(key runs.Key) (time.Duration, bool) {
	j := sim.jobs[key.Job()]
	if j == nil {
		return time.Millisecond, false
	}
	return j.taskWork(key)
}
