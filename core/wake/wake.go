// Package wake decides which workers to wake and which to put to sleep.
//
// Each entry decides for the workers whose home it is, from the demand that it
// sees itself. Several entries that decide for one worker at once, as they may
// while membership changes, do no harm: waking and sleeping are idempotent, a
// worker that is to sleep is asked to rest first, which its agent takes back by
// itself, and only a worker that rests and has no task is put to sleep.
//
// The decision errs on the side of awake: without a fresh list of workers
// nothing is put to sleep.
package wake

import (
	"math"
	"time"
)

// Power is the state of a worker's hardware.
type Power uint8

// States of a worker.
const (
	Asleep Power = iota
	Waking
	Awake
)

// Worker is a worker whose home is this entry.
type Worker struct {
	ID    string
	Power Power
	Slots int
	// Linked is true if its agent is linked.
	Linked bool
	// Resting is true if its agent refuses new work on our request.
	Resting bool
	// Load is the number of tasks that its agent reported last.
	Load int
}

// Params are set by configuration.
type Params struct {
	// Headroom is the part of the demand kept free beyond it.
	Headroom float64
	// MinAwake is the number of workers that stay awake.
	MinAwake int
	// IdleBeforeSleep is how long a worker must not be needed.
	IdleBeforeSleep time.Duration
}

// Plan is what to do now.
type Plan struct {
	Wake []string
	// Rest asks agents to refuse new work for a while, before sleep.
	Rest  []string
	Sleep []string
}

// Smoothing of the demand: the fast mean decides how much is needed, its
// distance from the slow one tells the trend.
const (
	fastTime   = 2 * time.Second
	slowTime   = 10 * time.Second
	wakeWeight = 0.3
	// maxAhead bounds how far the trend is extended, in units of slowTime.
	maxAhead = 2.0
	// defaultWakeTime is assumed until a wake was seen.
	defaultWakeTime = 10 * time.Second
)

// Decider is the state of the decision. Not safe for concurrent use.
type Decider struct {
	params Params
	// fast and slow are means of the slots needed.
	fast, slow float64
	lastAt     time.Time
	// surplusSince is since when a worker more than needed is awake.
	surplusSince time.Time
	// wakeTime is learned; waking holds when each wake began.
	wakeTime time.Duration
	waking   map[string]time.Time
}

// New returns a decider.
func New(params Params) *Decider {
	return &Decider{params: params, wakeTime: defaultWakeTime, waking: make(map[string]time.Time)}
}

// Configure replaces the parameters.
func (d *Decider) Configure(params Params) { d.params = params }

// WakeTime returns the learned time from a wake to the agent's link.
func (d *Decider) WakeTime() time.Duration { return d.wakeTime }

// Decide returns what to do, given the slots that this entry's tasks need now
// (in flight and waiting) and its workers. fresh is false if the list of
// workers could not be read lately.
func (d *Decider) Decide(now time.Time, demand float64, workers []Worker, fresh bool) Plan {
	d.learn(now, demand, workers)
	need := d.need()
	ready, coming := 0, 0
	for _, w := range workers {
		switch {
		case w.Power == Awake && !w.Resting:
			ready += w.Slots
		case w.Power == Waking:
			coming += w.Slots
		}
	}
	var plan Plan
	if float64(ready+coming) < need {
		d.surplusSince = time.Time{}
		plan.Wake = d.chooseWake(now, workers, need-float64(ready+coming))
		return plan
	}
	if !fresh {
		return plan
	}
	plan.Sleep = rested(workers)
	plan.Rest = d.chooseRest(now, workers, float64(ready), d.keep())
	return plan
}

// learn updates demand, trend and wake times.
func (d *Decider) learn(now time.Time, demand float64, workers []Worker) {
	if d.lastAt.IsZero() {
		d.fast, d.slow = demand, demand
	}
	elapsed := now.Sub(d.lastAt)
	d.lastAt = now
	d.fast += (1 - math.Exp(-elapsed.Seconds()/fastTime.Seconds())) * (demand - d.fast)
	d.slow += (1 - math.Exp(-elapsed.Seconds()/slowTime.Seconds())) * (demand - d.slow)
	for _, w := range workers {
		began, ok := d.waking[w.ID]
		if ok && w.Linked {
			d.wakeTime += time.Duration(wakeWeight * float64(now.Sub(began)-d.wakeTime))
			delete(d.waking, w.ID)
		}
	}
}

// need is the number of slots that should be awake: the demand expected when a
// worker woken now would be ready, with headroom.
func (d *Decider) need() float64 {
	ahead := math.Min(maxAhead, d.wakeTime.Seconds()/slowTime.Seconds())
	return (d.fast + math.Max(0, d.fast-d.slow)*ahead) * (1 + d.params.Headroom)
}

// keep is the number of slots that should stay awake: it falls slowly.
func (d *Decider) keep() float64 { return math.Max(d.fast, d.slow) * (1 + d.params.Headroom) }

func (d *Decider) chooseWake(now time.Time, workers []Worker, missing float64) []string {
	var chosen []string
	for _, w := range workers {
		if missing <= 0 {
			break
		}
		if w.Power != Asleep {
			continue
		}
		chosen = append(chosen, w.ID)
		d.waking[w.ID] = now
		missing -= float64(w.Slots)
	}
	return chosen
}

// chooseRest picks the least loaded worker if one more than needed has been
// awake for long enough.
func (d *Decider) chooseRest(now time.Time, workers []Worker, ready, need float64) []string {
	awake := 0
	var least *Worker
	for i := range workers {
		w := &workers[i]
		if w.Power != Awake || w.Resting {
			continue
		}
		awake++
		if w.Linked && (least == nil || w.Load < least.Load) {
			least = w
		}
	}
	if least == nil || awake <= d.params.MinAwake || ready-float64(least.Slots) < need {
		d.surplusSince = time.Time{}
		return nil
	}
	if d.surplusSince.IsZero() {
		d.surplusSince = now
	}
	if now.Sub(d.surplusSince) < d.params.IdleBeforeSleep {
		return nil
	}
	d.surplusSince = now
	return []string{least.ID}
}

// rested lists the workers that rest and have no task.
func rested(workers []Worker) []string {
	var list []string
	for _, w := range workers {
		if w.Power == Awake && w.Linked && w.Resting && w.Load == 0 {
			list = append(list, w.ID)
		}
	}
	return list
}
