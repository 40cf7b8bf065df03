package emulator

import (
	"maps"
	"slices"
	"time"

	"peridotpick.example/wire/runs"
)

// Time constants of drained data centres.
const (
	// maxDrainDelay is the time after the store has recorded a drain from which nothing may start
	// in that data centre.
	maxDrainDelay = 5 * time.Second
	// gossipInterval is the time between messages that an entry sends to its peers.
	gossipInterval = 400 * time.Millisecond
	// drainConfirmInterval is how often an entry reads the drained data centres while no change is
	// reported to it.
	drainConfirmInterval = 1500 * time.Millisecond
	// agentDrainQueryInterval is the shortest time between two queries of an agent for the drained
	// data centres.
	agentDrainQueryInterval = time.Second
	// coldDuration is how long workers are slow after their data centre is back in use.
	coldDuration = 2 * time.Second
)

// drain simulates an operator who drains a data centre. The change increases the version of the
// store.
func (sim *simulation) drain(dataCentre string) {
	if _, drained := sim.store.drained[dataCentre]; drained {
		return
	}
	sim.logEvent("operator drains %s", dataCentre)
	sim.store.version++
	sim.store.drained[dataCentre] = sim.now
	sim.notifyDrainsChanged()
}

// undrain simulates an operator who takes a data centre back into use.
func (sim *simulation) undrain(dataCentre string) {
	if _, drained := sim.store.drained[dataCentre]; !drained {
		return
	}
	sim.logEvent("operator takes %s back", dataCentre)
	sim.store.version++
	delete(sim.store.drained, dataCentre)
	sim.notifyDrainsChanged()
}

// notifyDrainsChanged reports a change of the drained data centres to the entries, which have a
// long poll open at the store.
func (sim *simulation) notifyDrainsChanged() {
	for _, e := range sim.entries {
		sim.schedule(storeOneWay, e.readDrains)
	}
}

func (s *store) drainView() runs.DrainView {
	return runs.DrainView{Version: s.version + 1, DataCentres: slices.Sorted(maps.Keys(s.drained))}
}

// drainLoop reads the drained data centres from the store at intervals and sends the entry's view
// to its peers.
func (e *entryProcess) drainLoop() {
	if e.sim.now.Sub(e.drainsReadAt) >= drainConfirmInterval {
		e.readDrains()
	}
	view := e.drains.View(e.sim.now)
	for _, other := range e.sim.entries {
		if other != e && !other.dead && !other.partitioned && !e.partitioned {
			other.deliver(e.sim.config.latency(e.dataCentre, other.dataCentre), func() { other.updateDrains(view) })
		}
	}
	e.deliver(gossipInterval, e.drainLoop)
}

func (e *entryProcess) readDrains() {
	if !e.reachesStore() {
		return
	}
	e.drainsReadAt = e.sim.now
	view := e.sim.store.drainView()
	e.deliver(storeOneWay, func() { e.updateDrains(view) })
}

func (e *entryProcess) reachesStore() bool {
	return !e.dead && !e.partitioned && !e.storeDenied && !e.sim.store.down && !e.sim.now.Before(e.suspendedUntil)
}

func (e *entryProcess) updateDrains(view runs.DrainView) {
	e.drains.Update(e.sim.now, view)
	e.core.UpdateDrains(e.sim.now, e.drains.View(e.sim.now))
	e.perform()
}

// queryDrains has an agent query the store while no entry confirms its view of the drained data
// centres.
func (a *agentProcess) queryDrains() {
	sim := a.sim
	if !a.core.IsDrainViewStale(sim.now) || sim.now.Sub(a.drainsQueriedAt) < agentDrainQueryInterval {
		return
	}
	a.drainsQueriedAt = sim.now
	if sim.store.down || a.storeDenied {
		return
	}
	a.deliver(storeOneWay, func() {
		view := sim.store.drainView()
		a.deliver(storeOneWay, func() { a.handleEvent(func() { a.core.UpdateDrains(sim.now, view) }) })
	})
}

// slowAfterDrain slows down the workers of a data centre that is back in use.
func (t *trial) slowAfterDrain(f *Fault) {
	if f.Factor <= 1 {
		return
	}
	for _, w := range t.sim.workers {
		if w.dataCentre == f.DataCentre && !w.down {
			w.setSpeed(false, f.Factor)
			t.sim.schedule(coldDuration, func() { w.setSpeed(false, 0) })
		}
	}
}

// checkDrained checks that no run starts in a data centre that was drained more than maxDrainDelay
// ago, unless the agent had no source for drains within that time.
func (c *checker) checkDrained(key runs.Key, w *worker) {
	drainedAt, drained := c.sim.store.drained[w.dataCentre]
	connected := c.sim.now.Sub(c.sim.agents[w.number].disconnectedAt) > maxDrainDelay
	if drained && connected && c.sim.now.Sub(drainedAt) > maxDrainDelay {
		c.reportViolation("task %s starts on %s, whose data centre %s was drained %v before", key.Task, w.id, w.dataCentre, c.sim.now.Sub(drainedAt))
	}
}

// trackConnectivity records when the agent had no source for drains: its process did not run, or
// neither it nor any entry linked to it reached the store.
func (a *agentProcess) trackConnectivity() {
	stopped := a.dead || a.sim.now.Before(a.suspendedUntil)
	storeUnreachable := a.sim.store.down || a.storeDenied && !a.anyEntryReachesStore()
	if stopped || storeUnreachable {
		a.disconnectedAt = a.sim.now
	}
}

func (a *agentProcess) anyEntryReachesStore() bool {
	for l := range a.links.Values() {
		if l.open && !l.dropsMessages && l.entry.reachesStore() {
			return true
		}
	}
	return false
}
