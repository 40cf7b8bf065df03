package emulator

import (
	"fmt"
	"time"

	"peridotpick.example/common/ordered"
	"peridotpick.example/common/room"
	"peridotpick.example/core/runner"
	"peridotpick.example/wire/runs"
)

// workerRun is a run at a simulated worker.
type workerRun struct {
	run  uint32
	need room.Resources
	// work is the total work, doneBefore the work done until speedSince, both as durations at full
	// speed. speed is the share of full speed since then.
	work, doneBefore time.Duration
	speed            float64
	speedSince       time.Time
	startedAt        time.Time
	// stopsAt is when a requested stop takes effect; zero if none was requested.
	stopsAt time.Time
	fails   bool
}

// workDone returns the work done until now.
func (r *workerRun) workDone(now time.Time) time.Duration {
	return r.doneBefore + time.Duration(float64(now.Sub(r.speedSince))*r.speed)
}

// setSpeed changes the speed from now on.
func (r *workerRun) setSpeed(now time.Time, speed float64) {
	r.doneBefore = r.workDone(now)
	r.speed, r.speedSince = speed, now
}

// serviceName is the service of workers without another one.
const serviceName = "s"

// worker simulates a worker: capacity, leases, fencing, held ends and a clock of its own.
type worker struct {
	sim         *simulation
	name        string
	dataCentre  string
	rack        string
	number      int // index in simulation.workers
	id          string
	incarnation int
	capacity    room.Resources
	// previousCapacities are the capacities before the present one.
	previousCapacities []previousCapacity
	// announcements counts the announcements of the incarnation.
	announcements int
	// clockStart is the virtual time at which the worker's clock showed 0, startedAtMillis the
	// start time in Unix ms that it announces.
	clockStart      time.Time
	startedAtMillis int64
	clockRate       float64
	// token is the highest fencing token received, leaseUntil the time of the worker's clock in ms at
	// which its lease ends.
	token      int64
	leaseUntil int64
	// running holds the present runs by task.
	running ordered.Map[string, *workerRun]
	// highestRun is the highest run number of each task that has ended or was stopped.
	highestRun map[string]uint32
	// heldEnds are the ends that are not acknowledged; endCount is the number of the last end.
	heldEnds    []runner.Ended
	endCount    int64
	pendingPoll *pendingPoll
	draining    bool
	failing     bool
	hanging     bool
	down        bool
	// refusesConnections is set if connections are refused while the worker is down; otherwise they
	// get no answer.
	refusesConnections bool
	// partitioned is set while the worker is not reachable and cannot reach others.
	partitioned bool
	// slowdown is the factor on the duration of runs; 0 stands for 1.
	slowdown float64
}

// pendingPoll is a poll that waits for an end.
type pendingPoll struct {
	request  runner.Poll
	respond  func(runner.Answer, runner.Listing)
	deadline time.Time
}

func newWorker(sim *simulation, name, dataCentre string, number int) *worker {
	w := &worker{sim: sim, name: name, dataCentre: dataCentre, number: number, rack: fmt.Sprintf("r%d", number/sim.config.rackSize)}
	w.restartWithNewID()
	return w
}

// restartWithNewID starts a new incarnation under a new ID.
func (w *worker) restartWithNewID() {
	w.id = fmt.Sprintf("%s-%d", w.name, w.incarnation+1)
	w.restart()
}

// restart starts a new incarnation under the same ID.
func (w *worker) restart() {
	w.crash() // no effect if the worker is down
	w.incarnation++
	w.startedAtMillis = max(w.sim.now.UnixMilli(), w.startedAtMillis+1)
	w.capacity, w.previousCapacities, w.announcements = w.sim.config.capacity(w.number), nil, 0
	w.clockStart = w.sim.now.Add(-time.Duration(w.sim.rand.IntN(100000)) * time.Millisecond)
	w.clockRate = 0.98 + 0.02*w.sim.rand.Float64()
	w.token, w.leaseUntil, w.endCount = 0, 0, 0
	w.running, w.highestRun = ordered.Map[string, *workerRun]{}, make(map[string]uint32)
	w.heldEnds, w.pendingPoll = nil, nil
	w.refusesConnections = (w.incarnation+w.number)%2 == 0
	w.down, w.draining, w.failing, w.hanging, w.slowdown = false, false, false, false, 0
}

// previousCapacity is the capacity that a worker had until a time.
type previousCapacity struct {
	capacity room.Resources
	until    time.Time
}

// resize sets the CPU capacity to a share of the configured one.
func (w *worker) resize(share float64) {
	w.previousCapacities = append(w.previousCapacities, previousCapacity{w.capacity, w.sim.now})
	w.capacity = w.sim.config.capacity(w.number)
	w.capacity.CPU = int(share * float64(w.capacity.CPU))
}

// maxRecentCapacity returns the largest capacity that the worker had within a time. Its agent
// learns of a change with the next announcement only.
func (w *worker) maxRecentCapacity(within time.Duration) room.Resources {
	largest := w.capacity
	for _, previous := range w.previousCapacities {
		if w.sim.now.Sub(previous.until) <= within && previous.capacity.CPU > largest.CPU {
			largest = previous.capacity
		}
	}
	return largest
}

// speed returns the speed of runs as a share of full speed.
func (w *worker) speed() float64 {
	switch {
	case w.hanging:
		return 0
	case w.slowdown > 0:
		return 1 / w.slowdown
	}
	return 1
}

// setSpeed sets hanging and slowdown, also for the present runs.
func (w *worker) setSpeed(hanging bool, slowdown float64) {
	w.hanging, w.slowdown = hanging, slowdown
	for r := range w.running.Values() {
		r.setSpeed(w.sim.now, w.speed())
	}
}

// crash ends the incarnation. Its runs and held ends are lost.
func (w *worker) crash() {
	if w.down {
		return
	}
	w.down = true
	for task, r := range w.running.All() {
		w.sim.checker.crashesDuring[task]++
		w.sim.stats.addRun(w, r, runs.OutcomeGone)
		w.sim.checker.runEnded(task, w)
	}
}

// clock returns the time of the worker's clock in ms, which has its own start and rate.
func (w *worker) clock() int64 {
	return int64(float64(w.sim.now.Sub(w.clockStart).Milliseconds()) * w.clockRate)
}

func (w *worker) info() runs.Worker {
	info := runs.Worker{
		ID: w.id, Born: w.startedAtMillis, Agent: w.name, Service: serviceName, DataCentre: w.dataCentre, Capacity: w.capacity,
		Labels: []string{w.rack}, Draining: w.draining,
	}
	if w.sim.config.service != nil {
		info.Service = w.sim.config.service(w.number)
	}
	if w.sim.config.kind != nil {
		info.Labels = append(info.Labels, w.sim.config.kind(w.number))
	}
	return info
}

// advance ends the runs whose work is done, whose stop is due or whose lease has expired.
func (w *worker) advance() {
	if w.down {
		return
	}
	if w.clock() > w.leaseUntil {
		w.sim.checker.leaseExpired(w)
	}
	for task, r := range w.running.All() {
		switch {
		case !r.stopsAt.IsZero() && !w.sim.now.Before(r.stopsAt):
			w.end(task, r, runs.OutcomeStopped)
		case w.clock() > w.leaseUntil:
			w.end(task, r, runs.OutcomeStopped)
		case r.workDone(w.sim.now) >= r.work:
			outcome := runs.OutcomeDone
			if r.fails {
				outcome = runs.OutcomeFailed
			}
			w.end(task, r, outcome)
		}
	}
	w.answerPoll()
}

func (w *worker) end(task string, r *workerRun, outcome runs.Outcome) {
	w.running.Delete(task)
	w.sim.stats.addRun(w, r, outcome)
	w.highestRun[task] = max(w.highestRun[task], r.run)
	w.endCount++
	w.heldEnds = append(w.heldEnds, runner.Ended{Number: w.endCount, Key: runs.Key{Task: task, Run: r.run}, Outcome: outcome})
	w.sim.logEvent("worker %s ends %s/%d %s", w.id, task, r.run, outcome)
	if outcome == runs.OutcomeFailed {
		w.sim.checker.failedRuns[task]++
	}
	if outcome == runs.OutcomeDone {
		w.sim.checker.taskDone(w, runs.Key{Task: task, Run: r.run}, w.endCount)
	}
	w.sim.checker.runEnded(task, w)
}

// order carries an order out and returns the worker's answer.
func (w *worker) order(o runner.Order, need room.Resources) runner.Answer {
	if w.down && !w.partitioned && w.refusesConnections {
		return runner.Answer{Status: runner.NotListening}
	}
	if w.down || w.partitioned {
		return runner.Answer{Status: runner.NoAnswer}
	}
	if o.Worker != w.id {
		return runner.Answer{Status: runner.WrongIncarnation, Clock: w.clock()}
	}
	if o.Token < w.token {
		return runner.Answer{Status: runner.RefusedFence, Clock: w.clock()}
	}
	w.token = o.Token
	status := runner.Accepted
	if o.Kind == runner.OrderStop {
		w.stop(o.Key)
	} else {
		status = w.start(o, need)
	}
	return runner.Answer{Status: status, Clock: w.clock()}
}

// stop stops a run within 50 ms and prevents later starts of the run.
func (w *worker) stop(key runs.Key) {
	w.highestRun[key.Task] = max(w.highestRun[key.Task], key.Run)
	if r := w.running.Get(key.Task); r != nil && r.run == key.Run && r.stopsAt.IsZero() {
		r.stopsAt = w.sim.now.Add(time.Duration(w.sim.rand.IntN(50)) * time.Millisecond)
	}
}

// start starts a run, unless it runs already, is outdated, or its deadline has passed.
func (w *worker) start(o runner.Order, need room.Resources) runner.Status {
	if r := w.running.Get(o.Key.Task); r != nil && r.run == o.Key.Run {
		return runner.Accepted
	}
	if o.Key.Run <= w.highestRun[o.Key.Task] {
		return runner.RefusedOldRun
	}
	if o.Deadline <= w.clock() {
		return runner.RefusedLate
	}
	w.extendLease(o.Deadline)
	work, fails := w.sim.workOf(o.Key)
	w.running.Put(o.Key.Task, &workerRun{
		run: o.Key.Run, speed: w.speed(), speedSince: w.sim.now, startedAt: w.sim.now, work: work, need: need, fails: w.failing || fails,
	})
	w.sim.logEvent("worker %s starts %s/%d", w.id, o.Key.Task, o.Key.Run)
	w.sim.checker.runStarted(o.Key, w)
	if delay, crashes := w.sim.crashDelay(o.Key); crashes {
		w.crashAfter(delay, o.Key)
	}
	return runner.Accepted
}

// crashAfter crashes the worker after a delay if the run is still there. The worker restarts after
// one to two seconds, under the same or a new ID.
func (w *worker) crashAfter(delay time.Duration, key runs.Key) {
	incarnation := w.incarnation
	w.sim.schedule(delay, func() {
		r := w.running.Get(key.Task)
		if w.incarnation != incarnation || w.down || r == nil || r.run != key.Run {
			return
		}
		w.sim.checker.workerCrashed(key, w)
		w.crash()
		w.restartAfter(time.Second + time.Duration(w.sim.rand.IntN(1000))*time.Millisecond)
	})
}

// restartAfter restarts a crashed worker after a delay, under the same or a new ID.
func (w *worker) restartAfter(delay time.Duration) {
	start := w.restart
	if w.sim.rand.IntN(2) == 0 {
		start = w.restartWithNewID
	}
	incarnation := w.incarnation
	w.sim.schedule(delay, func() {
		if w.incarnation == incarnation {
			start()
			w.sim.agents[w.number].announceOnce()
		}
	})
}

// extendLease extends the lease to a deadline, limited to the longest lease that a worker grants.
func (w *worker) extendLease(deadline int64) {
	w.leaseUntil = max(w.leaseUntil, min(deadline, w.clock()+w.sim.config.longestLease.Milliseconds()))
}

// poll handles a poll of the agent. respond is called at once or when a run ends, at the latest
// after the poll's wait time.
func (w *worker) poll(request runner.Poll, respond func(runner.Answer, runner.Listing)) {
	if w.down || w.partitioned {
		return
	}
	if request.Worker != w.id {
		respond(runner.Answer{Status: runner.WrongIncarnation, Clock: w.clock()}, runner.Listing{})
		return
	}
	if request.Token < w.token {
		respond(runner.Answer{Status: runner.RefusedFence, Clock: w.clock()}, runner.Listing{})
		return
	}
	w.token = request.Token
	if w.running.Len() > 0 {
		w.extendLease(request.Deadline)
	}
	w.sim.checker.acknowledgeEnds(w, request.AckUpTo)
	unacknowledged := w.heldEnds[:0:0]
	for _, e := range w.heldEnds {
		if e.Number > request.AckUpTo {
			unacknowledged = append(unacknowledged, e)
		}
	}
	w.heldEnds = unacknowledged
	w.pendingPoll = &pendingPoll{request: request, respond: respond, deadline: w.sim.now.Add(request.Wait)}
	w.answerPoll()
}

// maxListedEnds is the number of ends that a worker lists at a time. It lists further ones when
// these are acknowledged.
const maxListedEnds = 50

func (w *worker) answerPoll() {
	p := w.pendingPoll
	if p == nil || len(w.heldEnds) == 0 && w.sim.now.Before(p.deadline) {
		return
	}
	w.pendingPoll = nil
	var listing runner.Listing
	for task, r := range w.running.All() {
		percent := int(100 * r.workDone(w.sim.now) / max(r.work, 1))
		listing.Running = append(listing.Running, runner.Running{Key: runs.Key{Task: task, Run: r.run}, Percent: min(percent, 99)})
	}
	listing.Truncated = len(w.heldEnds) >= maxListedEnds
	listing.Ended = append(listing.Ended, w.heldEnds[:min(len(w.heldEnds), maxListedEnds)]...)
	p.respond(runner.Answer{Status: runner.Accepted, Clock: w.clock(), Born: w.startedAtMillis}, listing)
}
