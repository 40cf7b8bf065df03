package emulator

import (
	"maps"
	"slices"
	"time"

	"peridotpick.example/wire/runs"
)

// Times of drained data centres.
const (
	// drainBound is the time from the store's word on a drain after which nothing may
	// start there any more.
	drainBound = 5 * time.Second
	// gossipEvery is the time between two words of entries to each other.
	gossipEvery = 400 * time.Millisecond
	// confirmEvery is how often an entry that hears of no change asks the store anew.
	confirmEvery = 1500 * time.Millisecond
	// agentAsksEvery is the shortest time between two questions of an agent.
	agentAsksEvery = time.Second
	// coldFor is how long workers are slow after their data centre was drained.
	coldFor = 2 * time.Second
)

// drain has the operator drain a data centre. Each change counts as one of the store.
func (w *world) drain(dataCentre string) {
	if _, drained := w.store.drained[dataCentre]; drained {
		return
	}
	w.tell("operator drains %s", dataCentre)
	w.store.version++
	w.store.drained[dataCentre] = w.now
	w.drainsChanged()
}

// undrain takes a data centre back into use.
func (w *world) undrain(dataCentre string) {
	if _, drained := w.store.drained[dataCentre]; !drained {
		return
	}
	w.tell("operator takes %s back", dataCentre)
	w.store.version++
	delete(w.store.drained, dataCentre)
	w.drainsChanged()
}

// drainsChanged brings a change to the entries whose waiting call to the store goes on.
func (w *world) drainsChanged() {
	for _, e := range w.entries {
		w.after(storeDelay, e.readDrains)
	}
}

func (s *store) drainsView() runs.Drains {
	return runs.Drains{Version: s.version + 1, DataCentres: slices.Sorted(maps.Keys(s.drained))}
}

// followDrains is the shell's loop over the operator's wishes, and over the neighbours.
func (e *entryProcess) followDrains() {
	if e.w.now.Sub(e.drainsReadAt) >= confirmEvery {
		e.readDrains()
	}
	view := e.drains.View(e.w.now)
	for _, other := range e.w.entries {
		if other != e && !other.dead && !other.cut && !e.cut {
			other.deliver(e.w.layout.oneWay(e.centre, other.centre), func() { other.learnDrains(view) })
		}
	}
	e.deliver(gossipEvery, e.followDrains)
}

func (e *entryProcess) readDrains() {
	if !e.reachesStore() {
		return
	}
	e.drainsReadAt = e.w.now
	view := e.w.store.drainsView()
	e.deliver(storeDelay, func() { e.learnDrains(view) })
}

func (e *entryProcess) reachesStore() bool {
	return !e.dead && !e.cut && !e.turnedAway && !e.w.store.down && !e.w.now.Before(e.frozen)
}

func (e *entryProcess) learnDrains(view runs.Drains) {
	e.drains.Learn(e.w.now, view)
	e.core.LearnDrains(e.w.now, e.drains.View(e.w.now))
	e.perform()
}

// confirmDrains has an agent ask the store while none of its entries vouches for its view.
func (a *agentProcess) confirmDrains() {
	w := a.w
	if !a.core.DrainsUnconfirmed(w.now) || w.now.Sub(a.drainsAskedAt) < agentAsksEvery {
		return
	}
	a.drainsAskedAt = w.now
	if w.store.down || a.turnedAway {
		return
	}
	a.deliver(storeDelay, func() {
		view := w.store.drainsView()
		a.deliver(storeDelay, func() { a.event(func() { a.core.LearnDrains(w.now, view) }) })
	})
}

// cool has the workers of a data centre run slow for a while.
func (p *play) cool(f *Fault) {
	if f.Factor <= 1 {
		return
	}
	for _, k := range p.world.workers {
		if k.centre == f.DataCentre && !k.down {
			k.setPace(false, f.Factor)
			p.world.after(coldFor, func() { k.setPace(false, 0) })
		}
	}
}

// startedWhileDrained checks that nothing starts in a data centre that was drained a
// while ago, as long as the agent is in touch.
func (c *checks) startedWhileDrained(key runs.Key, k *worker) {
	since, drained := c.w.store.drained[k.centre]
	inTouch := c.w.now.Sub(c.w.agents[k.number].outOfTouchAt) > drainBound
	if drained && inTouch && c.w.now.Sub(since) > drainBound {
		c.breaks("task %s starts on %s, whose data centre %s was drained %v before", key.Task, k.id, k.centre, c.w.now.Sub(since))
	}
}

// watchTouch notes when the agent was last out of touch: its process was not running, or
// neither it nor any of its entries reached the store.
func (a *agentProcess) watchTouch() {
	stopped := a.dead || a.w.now.Before(a.frozen)
	unreached := a.w.store.down || a.turnedAway && !a.anyEntryReachesStore()
	if stopped || unreached {
		a.outOfTouchAt = a.w.now
	}
}

func (a *agentProcess) anyEntryReachesStore() bool {
	for l := range a.links.Values() {
		if l.open && !l.silent && l.entry.reachesStore() {
			return true
		}
	}
	return false
}
