package emulator

import (
	"maps"
	"math"
	"slices"
	"time"
)

// faultsByName are the troubles of scenarios. Those of the load itself (burst,
// impossible, cancels) are looked up by the arrivals; the others act on a play.
var faultsByName = map[string]func(p *play, f *Fault){
	// burst multiplies the arrivals by its factor.
	"burst": func(*play, *Fault) {},
	// impossible makes a share of the jobs fail each time they run.
	"impossible": func(*play, *Fault) {},
	// cancels has a share of the callers leave before their job can end.
	"cancels": func(*play, *Fault) {},
	// slow makes workers take longer by its factor.
	"slow": func(p *play, f *Fault) {
		p.onWorkers(f, func(k *worker) { k.setPace(false, f.Factor) }, func(k *worker) { k.setPace(false, 0) })
	},
	// hanging has all tasks on workers stand still.
	"hanging": func(p *play, f *Fault) {
		p.onWorkers(f, func(k *worker) { k.setPace(true, 0) }, func(k *worker) { k.setPace(false, 0) })
	},
	// failing has workers fail all that they start.
	"failing": func(p *play, f *Fault) {
		p.onWorkers(f, func(k *worker) { k.failing = true }, func(k *worker) { k.failing = false })
	},
	// gone takes workers away; they come back empty, or never if it has no end.
	"gone": func(p *play, f *Fault) {
		p.onWorkers(f, (*worker).crash, p.rebirth)
	},
	// leaving drains workers and takes them away after a while.
	"leaving": func(p *play, f *Fault) {
		p.onWorkers(f, func(k *worker) {
			k.draining = true
			p.world.agents[k.number].announceOnce()
		}, (*worker).crash)
	},
	// everything takes all processes and workers away, and brings them back.
	"everything": func(p *play, f *Fault) { p.everything(f) },
	// entries kills entries, which are started again.
	"entries": func(p *play, f *Fault) {
		w := p.world
		for _, e := range pick(w, w.entries, f.Share) {
			e.fail(f.For.Std()+w.layout.bootEntry, f.Silent)
		}
	},
	// agents kills agents, which are started again; their workers live.
	"agents": func(p *play, f *Fault) {
		w := p.world
		for _, a := range pick(w, w.agents, f.Share) {
			if !a.dead {
				a.kill(f.For.Std() + w.layout.bootAgent)
			}
		}
	},
	// frozen suspends entries.
	"frozen": func(p *play, f *Fault) {
		for _, e := range pick(p.world, p.world.entries, f.Share) {
			e.freeze(f.For.Std())
		}
	},
	// unanswered loses a share of the orders to workers; some are carried out late.
	"unanswered": func(p *play, f *Fault) {
		p.world.lostOrders = f.Share
		p.world.after(f.For.Std(), func() { p.world.lostOrders = 0 })
	},
	// drain has the operator drain a data centre, whose workers are slow by the factor
	// for a while after it is taken back.
	"drain": func(p *play, f *Fault) {
		w := p.world
		w.drain(f.DataCentre)
		if f.For > 0 {
			w.after(f.For.Std(), func() { w.undrain(f.DataCentre); p.cool(f) })
		}
	},
	// store-away stops the platform's store.
	"store-away": func(p *play, f *Fault) {
		p.world.store.down = true
		p.world.after(f.For.Std(), func() { p.world.store.down = false })
	},
	// store-lossy loses a share of the answers of the platform's store.
	"store-lossy": func(p *play, f *Fault) {
		p.world.store.lost = f.Share
		p.world.after(f.For.Std(), func() { p.world.store.lost = 0 })
	},
}

// FaultNames returns the names of the troubles.
func FaultNames() []string { return slices.Sorted(maps.Keys(faultsByName)) }

// begin has the troubles of the scenario happen in their time.
func (p *play) begin(f *Fault) {
	p.world.after(warmUp+f.At.Std(), func() {
		p.world.tell("fault: %s", f.What)
		faultsByName[f.What](p, f)
	})
}

// onWorkers does something to a share of the workers and undoes it later.
func (p *play) onWorkers(f *Fault, do, undo func(k *worker)) {
	w := p.world
	var met []*worker
	for _, k := range w.workers {
		if f.DataCentre == "" || k.centre == f.DataCentre {
			met = append(met, k)
		}
	}
	for _, k := range pick(w, met, f.Share) {
		do(k)
		if f.For > 0 {
			w.after(f.For.Std(), func() { undo(k) })
		}
	}
}

// rebirth brings a worker back, which announces itself at once.
func (p *play) rebirth(k *worker) {
	k.reborn()
	p.world.agents[k.number].announceOnce()
}

// everything loses all at once.
func (p *play) everything(f *Fault) {
	w := p.world
	for _, e := range w.entries {
		e.fail(f.For.Std()+w.layout.bootEntry+w.bootSpread(), f.Silent)
	}
	for i, a := range w.agents {
		boot := f.For.Std() + w.layout.bootAgent + w.bootSpread()
		a.kill(boot)
		w.workers[i].crash()
		w.after(boot, func() { p.rebirth(w.workers[i]) })
	}
}

// bootSpread is what processes differ by in starting.
func (w *world) bootSpread() time.Duration {
	return time.Duration(w.rand.Int64N(int64(bootSpread)))
}

const bootSpread = 150 * time.Millisecond

// fail ends an entry. If it fails silently, its callers learn nothing of it.
func (e *entryProcess) fail(pause time.Duration, silent bool) {
	if e.dead {
		return
	}
	if silent {
		for r := range e.open.Values() {
			r.lost = func() {}
		}
	}
	e.kill(pause)
}

// pick draws a share of a list, at least one of it if the share is above 0. A share
// of 0 stands for all.
func pick[T any](w *world, list []T, share float64) []T {
	if share <= 0 || share >= 1 {
		return list
	}
	n := max(1, int(math.Round(share*float64(len(list)))))
	var picked []T
	for _, i := range w.rand.Perm(len(list))[:min(n, len(list))] {
		picked = append(picked, list[i])
	}
	return picked
}
