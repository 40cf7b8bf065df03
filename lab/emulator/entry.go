package emulator

import (
	"slices"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/ordered"
	"peridotpick.example/core/batch"
	"peridotpick.example/core/drains"
	"peridotpick.example/core/ledger"
	"peridotpick.example/wire/runs"
)

// entryProcess runs the cores of an entry: it exchanges messages with agents, callers, peers and
// the store, and applies the outputs of the cores.
type entryProcess struct {
	process
	core         *batch.Core
	address      string
	dataCentre   string
	self         runs.Entry
	links        ordered.Map[batch.LinkID, *simLink]
	openRequests ordered.Map[batch.RequestID, *request]
	nextID       uint64
	ledger       *ledger.Core
	horizon      ledger.Horizon
	// durableWaiters receive the answers to open requests for durable jobs.
	durableWaiters map[ledger.RequestID]func(errkind.Kind)
	// partitioned is set while the entry reaches neither the store nor other entries.
	partitioned bool
	// drains is the entry's view of the drained data centres, drainsReadAt when it last read them
	// from the store.
	drains       drains.State
	drainsReadAt time.Time
	levelsSentAt time.Time
	// lacks are what the entry lacks, with the serial number of the announcement; heardLacks are the
	// newest announcements received, by the address of the other entry.
	lacks       []runs.Lack
	lacksSerial uint64
	heardLacks  map[string]lacksHeard
}

func newEntryProcess(sim *simulation, address, dataCentre string) *entryProcess {
	e := &entryProcess{process: process{sim: sim}, address: address, dataCentre: dataCentre}
	e.start()
	return e
}

func (e *entryProcess) start() {
	config := e.sim.config
	e.incarnation++
	e.dead = false
	e.sim.nextIncarnation++
	e.self = runs.Entry{Address: e.address, Incarnation: e.sim.nextIncarnation}
	e.links = ordered.Map[batch.LinkID, *simLink]{}
	e.openRequests = ordered.Map[batch.RequestID, *request]{}
	settings := batch.DefaultSettings()
	settings.Seed, settings.DataCentre, settings.Policy = e.sim.nextIncarnation, e.dataCentre, config.policy
	settings.OwnerLease, settings.WorkerLease = config.ownerLease, config.runEndTimeout
	settings.RemoteFactor, settings.CrossDataCentreCost = config.remoteFactor, config.crossCost
	e.core = batch.New(settings)
	e.drains, e.drainsReadAt = drains.State{}, time.Time{}
	e.durableWaiters = make(map[ledger.RequestID]func(errkind.Kind))
	e.lacks, e.lacksSerial, e.heardLacks = nil, 0, make(map[string]lacksHeard)
	e.ledger = ledger.New(ledger.Settings{
		Self: e.self, OwnershipTTL: config.ownershipTTL, RunExpiry: config.ownerLease + config.runEndTimeout, SilenceTimeout: config.entrySilenceTimeout,
		EndedRetention: time.Hour, MaxOpenJobs: 1000,
	}, e.sim.now)
	e.scheduleTick()
	if e.sim.configDelay != nil {
		e.receiveCatalog(e.sim.configDelay())
	} else {
		e.ledger.SetCatalog(e.sim.now, e.sim.catalog)
	}
	e.horizon = ledger.Horizon{}
	e.pollChanges(changesPosition{})
	e.drainLoop()
	for _, a := range e.sim.agents {
		if a.linkedEntries[e.address] {
			e.sim.connect(a, e)
		}
	}
}

// receiveCatalog gives the entry the configuration after a delay.
func (e *entryProcess) receiveCatalog(delay time.Duration) {
	e.deliver(delay, func() {
		e.ledger.SetCatalog(e.sim.now, e.sim.catalog)
		e.perform()
	})
}

func (e *entryProcess) scheduleTick() {
	e.deliver(tickInterval, func() {
		e.core.Tick(e.sim.now)
		e.updatePeers()
		e.perform()
		e.scheduleTick()
	})
}

// perform applies the output of the cores until they have none left.
func (e *entryProcess) perform() {
	for e.flush() {
	}
}

// flush applies the present output of the cores. It reports whether this gave new input to the core.
func (e *entryProcess) flush() bool {
	out := e.core.Flush(e.sim.now)
	for _, n := range out.Decisions {
		e.sim.logEvent("%s %s %s %s/%d on %s %s %s", e.address, n.Event, n.Job, n.Key.Task, n.Key.Run, n.Worker, n.Outcome, n.Reason)
	}
	for _, id := range out.CloseLinks {
		if l := e.links.Get(id); l != nil {
			l.close()
		}
	}
	for _, s := range out.Sends {
		if l := e.links.Get(s.Link); l != nil {
			l.sendToAgent(s.Msg)
		}
	}
	if len(out.Suspects) > 0 {
		e.sendSuspects(out.Suspects)
	}
	for _, a := range out.Answers {
		if r := e.openRequests.Get(a.Request); r != nil {
			e.sim.receiveAnswer(e, r, a)
		}
	}
	return e.applyToLedger(&out)
}

// sendSuspects sends the tasks that are suspected of crashing workers to the other entries.
func (e *entryProcess) sendSuspects(list []runs.Suspect) {
	for _, other := range e.sim.entries {
		if other == e || e.partitioned || other.partitioned {
			continue
		}
		other.deliver(gossipInterval/4, func() {
			other.core.MergeSuspects(e.sim.now, list)
			other.perform()
		})
	}
}

// sendLevels sends the levels of work of services with a shortage to the given other entries, once a
// gossip interval.
func (e *entryProcess) sendLevels(others []runs.Entry) {
	if e.sim.now.Sub(e.levelsSentAt) < gossipInterval {
		return
	}
	e.levelsSentAt = e.sim.now
	levels := e.core.Levels(e.sim.now)
	if len(levels) == 0 {
		return
	}
	for _, other := range e.sim.entries {
		if slices.Contains(others, other.self) {
			other.deliver(time.Millisecond, func() { other.core.MergeLevels(e.sim.now, e.address, levels) })
		}
	}
}

func (e *entryProcess) kill(downtime time.Duration) {
	e.dead = true
	e.sim.logEvent("%s entry killed", e.address)
	for r := range e.openRequests.Values() {
		r.onConnectionLost()
	}
	for l := range e.links.Values() {
		l.close()
	}
	e.sim.schedule(downtime, e.start)
}
