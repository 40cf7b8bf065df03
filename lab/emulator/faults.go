package emulator

import (
	"maps"
	"math"
	"slices"
	"time"
)

// faultsByName holds the faults of scenarios. The load generator applies those of the load itself
// (burst, impossible, cancels); the others are injected into the simulation.
var faultsByName = map[string]func(t *trial, f *Fault){
	// burst multiplies the arrival rates by its factor.
	"burst": func(*trial, *Fault) {},
	// impossible makes a share of the jobs fail each time they run.
	"impossible": func(*trial, *Fault) {},
	// cancels makes a share of the callers cancel their job within its objective.
	"cancels": func(*trial, *Fault) {},
	// slow makes runs on workers take longer by its factor.
	"slow": func(t *trial, f *Fault) {
		t.applyToWorkers(f, func(w *worker) { w.setSpeed(false, f.Factor) }, func(w *worker) { w.setSpeed(false, 0) })
	},
	// hanging stops the progress of all tasks on workers.
	"hanging": func(t *trial, f *Fault) {
		t.applyToWorkers(f, func(w *worker) { w.setSpeed(true, 0) }, func(w *worker) { w.setSpeed(false, 0) })
	},
	// failing makes workers fail all runs that they start.
	"failing": func(t *trial, f *Fault) {
		t.applyToWorkers(f, func(w *worker) { w.failing = true }, func(w *worker) { w.failing = false })
	},
	// gone crashes workers. They restart under a new ID and without runs, or never if the fault has
	// no end.
	"gone": func(t *trial, f *Fault) {
		t.applyToWorkers(f, (*worker).crash, t.restartWorker)
	},
	// leaving has workers announce that they drain, and crashes them when the fault ends.
	"leaving": func(t *trial, f *Fault) {
		t.applyToWorkers(f, func(w *worker) {
			w.draining = true
			t.sim.agents[w.number].announceOnce()
		}, (*worker).crash)
	},
	// everything crashes all processes and workers and restarts them.
	"everything": func(t *trial, f *Fault) { t.restartEverything(f) },
	// entries kills entries, which restart.
	"entries": func(t *trial, f *Fault) {
		sim := t.sim
		for _, e := range pick(sim, sim.entries, f.Share) {
			e.fail(f.Duration.Std()+sim.config.bootEntry, f.Silent)
		}
	},
	// agents kills agents, which restart; their workers keep running.
	"agents": func(t *trial, f *Fault) {
		sim := t.sim
		for _, a := range pick(sim, sim.agents, f.Share) {
			if !a.dead {
				a.kill(f.Duration.Std() + sim.config.bootAgent)
			}
		}
	},
	// frozen suspends entries.
	"frozen": func(t *trial, f *Fault) {
		for _, e := range pick(t.sim, t.sim.entries, f.Share) {
			e.suspend(f.Duration.Std())
		}
	},
	// unanswered drops the answers to a share of the orders to workers; some of these orders are
	// carried out late.
	"unanswered": func(t *trial, f *Fault) {
		t.sim.orderLossShare = f.Share
		t.sim.schedule(f.Duration.Std(), func() { t.sim.orderLossShare = 0 })
	},
	// drain drains a data centre. Its workers are slower by the factor for a while after it is back
	// in use.
	"drain": func(t *trial, f *Fault) {
		sim := t.sim
		sim.drain(f.DataCentre)
		if f.Duration > 0 {
			sim.schedule(f.Duration.Std(), func() { sim.undrain(f.DataCentre); t.slowAfterDrain(f) })
		}
	},
	// store-away makes the platform's store unavailable.
	"store-away": func(t *trial, f *Fault) {
		t.sim.store.down = true
		t.sim.schedule(f.Duration.Std(), func() { t.sim.store.down = false })
	},
	// store-lossy drops a share of the answers of the platform's store.
	"store-lossy": func(t *trial, f *Fault) {
		t.sim.store.answerLossShare = f.Share
		t.sim.schedule(f.Duration.Std(), func() { t.sim.store.answerLossShare = 0 })
	},
}

// FaultNames returns the names of the faults in alphabetical order.
func FaultNames() []string { return slices.Sorted(maps.Keys(faultsByName)) }

// scheduleFault schedules a fault of the scenario.
func (t *trial) scheduleFault(f *Fault) {
	t.sim.schedule(warmUp+f.Start.Std(), func() {
		t.sim.logEvent("fault: %s", f.Name)
		faultsByName[f.Name](t, f)
	})
}

// applyToWorkers applies a fault to a share of the workers and undoes it when the fault ends.
func (t *trial) applyToWorkers(f *Fault, apply, undo func(w *worker)) {
	sim := t.sim
	var affected []*worker
	for _, w := range sim.workers {
		if f.DataCentre == "" || w.dataCentre == f.DataCentre {
			affected = append(affected, w)
		}
	}
	for _, w := range pick(sim, affected, f.Share) {
		apply(w)
		if f.Duration > 0 {
			sim.schedule(f.Duration.Std(), func() { undo(w) })
		}
	}
}

// restartWorker restarts a worker under a new ID and announces it at once.
func (t *trial) restartWorker(w *worker) {
	w.restartWithNewID()
	t.sim.agents[w.number].announceOnce()
}

// restartEverything kills all entries, agents and workers at the same time; they restart with
// jitter.
func (t *trial) restartEverything(f *Fault) {
	sim := t.sim
	for _, e := range sim.entries {
		e.fail(f.Duration.Std()+sim.config.bootEntry+sim.drawBootJitter(), f.Silent)
	}
	for i, a := range sim.agents {
		boot := f.Duration.Std() + sim.config.bootAgent + sim.drawBootJitter()
		a.kill(boot)
		sim.workers[i].crash()
		sim.schedule(boot, func() { t.restartWorker(sim.workers[i]) })
	}
}

// drawBootJitter returns the random part of a process's start-up time.
func (sim *simulation) drawBootJitter() time.Duration {
	return time.Duration(sim.rand.Int64N(int64(bootJitter)))
}

const bootJitter = 150 * time.Millisecond

// fail kills an entry. If it fails silently, its callers are not notified that their connections
// are lost.
func (e *entryProcess) fail(downtime time.Duration, silent bool) {
	if e.dead {
		return
	}
	if silent {
		for r := range e.openRequests.Values() {
			r.onConnectionLost = func() {}
		}
	}
	e.kill(downtime)
}

// pick draws a share of a list, at least one element. A share of 0 stands for all.
func pick[T any](sim *simulation, list []T, share float64) []T {
	if share <= 0 || share >= 1 {
		return list
	}
	n := max(1, int(math.Round(share*float64(len(list)))))
	var picked []T
	for _, i := range sim.rand.Perm(len(list))[:min(n, len(list))] {
		picked = append(picked, list[i])
	}
	return picked
}
