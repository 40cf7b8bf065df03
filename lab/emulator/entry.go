package emulator

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/ordered"
	"peridotpick.example/core/batch"
	"peridotpick.example/core/drains"
	"peridotpick.example/core/ledger"
	"peridotpick.example/wire/runs"
)

// entryProcess is an entry with its shell.
type entryProcess struct {
	process
	core    *batch.Core
	address string
	centre  string
	self    runs.Entry
	links   ordered.Map[batch.LinkID, *simLink]
	open    ordered.Map[batch.RequestID, *request]
	nextID  uint64
	ledger  *ledger.Core
	// asks are callers that wait for the answer about a durable job.
	asks map[ledger.RequestID]func(errkind.Kind)
	// cut entries reach neither the store nor other entries.
	cut bool
	// drains is what it knows of drained data centres, drainsReadAt when it last asked.
	drains       drains.State
	drainsReadAt time.Time
}

func newEntryProcess(w *world, address, centre string) *entryProcess {
	e := &entryProcess{process: process{w: w}, address: address, centre: centre}
	e.start()
	return e
}

func (e *entryProcess) start() {
	l := e.w.layout
	e.life++
	e.dead = false
	e.w.nextLife++
	e.self = runs.Entry{Address: e.address, Incarnation: e.w.nextLife}
	e.links = ordered.Map[batch.LinkID, *simLink]{}
	e.open = ordered.Map[batch.RequestID, *request]{}
	settings := batch.Standard()
	settings.Seed, settings.DataCentre, settings.Policy = e.w.nextLife, e.centre, l.policy
	settings.OwnerLease, settings.WorkerLease = l.ownerLease, l.runsOver
	settings.RemoteFactor, settings.CrossCost = l.remoteFactor, l.crossCost
	e.core = batch.New(settings)
	e.drains, e.drainsReadAt = drains.State{}, time.Time{}
	e.asks = make(map[ledger.RequestID]func(errkind.Kind))
	e.ledger = ledger.New(ledger.Settings{
		Self: e.self, OwnFor: l.ownFor, RunsOver: l.ownerLease + l.runsOver, SilentAfter: l.entrySilent,
		KeepEnded: time.Hour, MaxOpen: 1000,
	}, e.w.now)
	e.ticks()
	e.follow(0, true)
	e.followDrains()
	for _, a := range e.w.agents {
		if a.entries[e.address] {
			e.w.connect(a, e)
		}
	}
}

func (e *entryProcess) ticks() {
	e.deliver(tick, func() {
		e.core.Tick(e.w.now)
		e.hearPeers()
		e.perform()
		e.ticks()
	})
}

func (e *entryProcess) perform() {
	for e.performOnce() {
	}
}

func (e *entryProcess) performOnce() bool {
	out := e.core.Flush(e.w.now)
	for _, n := range out.Notes {
		e.w.tell("%s %s %s %s/%d on %s %s %s", e.address, n.Event, n.Job, n.Key.Task, n.Key.Run, n.Worker, n.How, n.Reason)
	}
	for _, id := range out.Closes {
		if l := e.links.Get(id); l != nil {
			l.close()
		}
	}
	for _, s := range out.Sends {
		if l := e.links.Get(s.Link); l != nil {
			l.toAgent(s.Msg)
		}
	}
	if len(out.Suspects) > 0 {
		e.tellSuspects(out.Suspects)
	}
	for _, a := range out.Answers {
		if r := e.open.Get(a.Request); r != nil {
			e.w.answered(e, r, a)
		}
	}
	return e.exchange(&out)
}

// tellSuspects tells the other entries of tasks that crash workers.
func (e *entryProcess) tellSuspects(list []runs.Suspect) {
	for _, other := range e.w.entries {
		if other == e || e.cut || other.cut {
			continue
		}
		other.deliver(gossipEvery/4, func() {
			other.core.LearnSuspects(e.w.now, list)
			other.perform()
		})
	}
}

func (e *entryProcess) kill(pause time.Duration) {
	e.dead = true
	e.w.tell("%s entry killed", e.address)
	for r := range e.open.Values() {
		r.lost()
	}
	for l := range e.links.Values() {
		l.close()
	}
	e.w.after(pause, e.start)
}
