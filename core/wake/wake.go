// Package wake decides which workers to wake and which to put to sleep.
//
// Each entry decides for the workers whose home it is, from the demand for slots that its own tasks
// have. Before a worker is put to sleep, its agent is asked to rest: to refuse new tasks for a
// limited time. Only a worker that rests and has no task is put to sleep.
//
// While the membership of the entries changes, several entries may decide for one worker at once.
// This does no harm: to wake and to put to sleep are idempotent, and a rest ends without a further
// message.
//
// When in doubt, workers stay awake: without an up-to-date list of workers none is put to sleep.
package wake

import (
	"math"
	"time"
)

// Power is the power state of a worker.
type Power uint8

// Power states.
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
	// IsLinked is set if there is a link to the agent of the worker.
	IsLinked bool
	// IsResting is set while the agent refuses new tasks because an entry asked it to rest.
	IsResting bool
	// Load is the number of tasks at the agent by its last load report.
	Load int
}

// Params are the parameters of the decision. They come from the configuration.
type Params struct {
	// Headroom is the fraction of the demand by which the slots of awake workers should exceed it.
	Headroom float64
	// MinAwake is the least number of workers that stay awake.
	MinAwake int
	// IdleBeforeSleep is how long there must be one worker more than needed before one is asked to
	// rest.
	IdleBeforeSleep time.Duration
}

// Plan lists the workers, by ID, to wake, to ask to rest and to put to sleep.
type Plan struct {
	Wake []string
	// Rest are workers whose agents are to refuse new tasks for a while, so that they can be put to
	// sleep.
	Rest  []string
	Sleep []string
}

// Parameters of the smoothed means. The demand is the fast mean; its distance from the slow mean
// gives the trend.
const (
	fastTimeConstant = 2 * time.Second
	slowTimeConstant = 10 * time.Second
	// wakeTimeWeight is the weight of one measured wake in the mean wake time.
	wakeTimeWeight = 0.3
	// maxTrendFactor limits the extrapolation of the trend, in units of slowTimeConstant.
	maxTrendFactor = 2.0
	// defaultWakeTime is the wake time before the first measurement.
	defaultWakeTime = 10 * time.Second
)

// Decider holds the state of the decision. It is not safe for concurrent use.
type Decider struct {
	params Params
	// fastDemand and slowDemand are exponentially weighted means of the number of slots needed.
	fastDemand, slowDemand float64
	// lastUpdate is the time at which the means were updated last.
	lastUpdate time.Time
	// surplusSince is the time since which one worker more than needed is awake; zero if there is
	// none.
	surplusSince time.Time
	// wakeTime is the mean of measured wake times, from defaultWakeTime on. wakeStarted has the
	// start of each wake that is not finished, by worker ID.
	wakeTime    time.Duration
	wakeStarted map[string]time.Time
}

// New returns a decider without measurements.
func New(params Params) *Decider {
	return &Decider{params: params, wakeTime: defaultWakeTime, wakeStarted: make(map[string]time.Time)}
}

// Configure replaces the parameters.
func (d *Decider) Configure(params Params) { d.params = params }

// WakeTime returns the mean time from the start of a wake to the link of the agent.
func (d *Decider) WakeTime() time.Duration { return d.wakeTime }

// Decide returns what to do now. demand is the number of slots that the tasks of this entry need,
// in flight and waiting; workers are those whose home is this entry. upToDate is false if the list
// of workers is out of date; nothing is put to sleep then.
func (d *Decider) Decide(now time.Time, demand float64, workers []Worker, upToDate bool) Plan {
	d.update(now, demand, workers)
	needed := d.slotsNeeded()
	awakeSlots, wakingSlots := 0, 0
	for _, w := range workers {
		switch {
		case w.Power == Awake && !w.IsResting:
			awakeSlots += w.Slots
		case w.Power == Waking:
			wakingSlots += w.Slots
		}
	}
	var plan Plan
	if float64(awakeSlots+wakingSlots) < needed {
		d.surplusSince = time.Time{}
		plan.Wake = d.chooseToWake(now, workers, needed-float64(awakeSlots+wakingSlots))
		return plan
	}
	if !upToDate {
		return plan
	}
	plan.Sleep = readyToSleep(workers)
	plan.Rest = d.chooseToRest(now, workers, float64(awakeSlots), d.slotsToKeep())
	return plan
}

// update adds the demand to the means, and the wake times of the workers that are linked by now.
func (d *Decider) update(now time.Time, demand float64, workers []Worker) {
	if d.lastUpdate.IsZero() {
		d.fastDemand, d.slowDemand = demand, demand
	}
	elapsed := now.Sub(d.lastUpdate)
	d.lastUpdate = now
	d.fastDemand += (1 - math.Exp(-elapsed.Seconds()/fastTimeConstant.Seconds())) * (demand - d.fastDemand)
	d.slowDemand += (1 - math.Exp(-elapsed.Seconds()/slowTimeConstant.Seconds())) * (demand - d.slowDemand)
	for _, w := range workers {
		startedAt, ok := d.wakeStarted[w.ID]
		if ok && w.IsLinked {
			d.wakeTime += time.Duration(wakeTimeWeight * float64(now.Sub(startedAt)-d.wakeTime))
			delete(d.wakeStarted, w.ID)
		}
	}
}

// slotsNeeded returns the number of slots that should be awake: the demand expected at the time
// when a worker woken now is ready, plus headroom.
func (d *Decider) slotsNeeded() float64 {
	ahead := math.Min(maxTrendFactor, d.wakeTime.Seconds()/slowTimeConstant.Seconds())
	return (d.fastDemand + math.Max(0, d.fastDemand-d.slowDemand)*ahead) * (1 + d.params.Headroom)
}

// slotsToKeep returns the number of slots that should stay awake. It falls only as fast as the slow
// mean of the demand.
func (d *Decider) slotsToKeep() float64 {
	return math.Max(d.fastDemand, d.slowDemand) * (1 + d.params.Headroom)
}

// chooseToWake returns the first sleeping workers that have the missing number of slots, and
// records the start of their wakes.
func (d *Decider) chooseToWake(now time.Time, workers []Worker, missing float64) []string {
	var chosen []string
	for _, w := range workers {
		if missing <= 0 {
			break
		}
		if w.Power != Asleep {
			continue
		}
		chosen = append(chosen, w.ID)
		d.wakeStarted[w.ID] = now
		missing -= float64(w.Slots)
	}
	return chosen
}

// chooseToRest returns the linked worker with the lowest load if one worker more than needed has
// been awake for IdleBeforeSleep.
func (d *Decider) chooseToRest(now time.Time, workers []Worker, awakeSlots, needed float64) []string {
	awake := 0
	var least *Worker
	for i := range workers {
		w := &workers[i]
		if w.Power != Awake || w.IsResting {
			continue
		}
		awake++
		if w.IsLinked && (least == nil || w.Load < least.Load) {
			least = w
		}
	}
	if least == nil || awake <= d.params.MinAwake || awakeSlots-float64(least.Slots) < needed {
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

// readyToSleep returns the workers that rest and have no task.
func readyToSleep(workers []Worker) []string {
	var list []string
	for _, w := range workers {
		if w.Power == Awake && w.IsLinked && w.IsResting && w.Load == 0 {
			list = append(list, w.ID)
		}
	}
	return list
}
