// Package supply forecasts how soon tasks get resources from a group of workers whose load reports
// list their free resources, their next expected ends of runs, and what waits for resources.
//
// It serves loads near and above the capacity. The wait at a single worker is hard to predict from
// reports that are some milliseconds old: another entry may have taken what was free. Over all
// workers that an entry sees these errors largely cancel out, and a task that may start at any of
// them waits only for its turn.
package supply

import "time"

const (
	// resolution is the time resolution of a forecast. It is finer than the age of load reports.
	resolution = 5 * time.Millisecond
	// horizon is the time covered by a forecast. Later waits are extrapolated.
	horizon  = time.Second
	numSlots = int(horizon / resolution)
)

// Worker is the load of a worker, as reported some time ago.
type Worker struct {
	// FreeCPU is the CPU without a run, in thousandths of a core; it may be negative.
	FreeCPU int
	// Ends are the expected ends of runs, soonest first.
	Ends []End
}

// End is an expected end of a run.
type End struct {
	// After is the time until the end; negative if it should have ended.
	After time.Duration
	// CPU is what becomes free, in thousandths of a core.
	CPU int
}

// Forecast counts the tasks of one size that can start over time.
type Forecast struct {
	// needCPU is the CPU of one task, in thousandths of a core.
	needCPU int
	// starts is the number of tasks that can start from each slot of time on, beyond those of
	// earlier slots.
	starts [numSlots]int
	total  int
}

// New returns a forecast without workers for tasks that need the given CPU, in thousandths of a core.
func New(needCPU int) *Forecast { return &Forecast{needCPU: max(needCPU, 1)} }

// Add adds a worker.
func (f *Forecast) Add(w Worker) {
	cpu := w.FreeCPU
	fitting := max(cpu, 0) / f.needCPU
	f.addStarts(0, fitting)
	for _, e := range w.Ends {
		cpu += e.CPU
		if now := max(cpu, 0) / f.needCPU; now > fitting {
			f.addStarts(e.After, now-fitting)
			fitting = now
		}
	}
}

func (f *Forecast) addStarts(after time.Duration, n int) {
	slot := int(max(after, 0) / resolution)
	if slot >= numSlots {
		return
	}
	f.starts[slot] += n
	f.total += n
}

// Wait returns the expected time until all of the given number of tasks have started, behind waiting
// work that needs the given CPU, in thousandths of a core. It reports false if they are not expected
// to start at all.
func (f *Forecast) Wait(tasks int, aheadCPU float64) (time.Duration, bool) {
	needed := float64(tasks) + aheadCPU/float64(f.needCPU)
	started := 0.0
	for slot, n := range f.starts {
		started += float64(n)
		if started >= needed {
			return time.Duration(slot) * resolution, true
		}
	}
	if f.total == 0 {
		return 0, false
	}
	slotsBeyond := (needed - started) * float64(numSlots) / float64(f.total)
	return horizon + time.Duration(slotsBeyond*float64(resolution)), true
}
