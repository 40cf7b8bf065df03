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
	need room.Room
	// work is what it takes at full pace, done what had been done at paceAt, and
	// pace the share of full pace since.
	work, done time.Duration
	pace       float64
	paceAt     time.Time
	startedAt  time.Time
	// stopping is when a stop takes effect; zero if none was asked for.
	stopping time.Time
	fails    bool
}

// worked returns the work that is done.
func (r *workerRun) worked(now time.Time) time.Duration {
	return r.done + time.Duration(float64(now.Sub(r.paceAt))*r.pace)
}

// setPace changes the pace from now on.
func (r *workerRun) setPace(now time.Time, pace float64) {
	r.done = r.worked(now)
	r.pace, r.paceAt = pace, now
}

// service is the one service of a world.
const service = "s"

// worker simulates one machine's worker: leases, fencing, ends, its own clock.
type worker struct {
	w        *world
	name     string
	centre   string
	rack     string
	number   int // in the layout
	id       string
	life     int
	capacity room.Room
	// former are capacities that it had a moment ago.
	former []formerCapacity
	// said counts the announcements of the incarnation.
	said int
	// born is when its clock began, bornMillis the time of its start that it tells.
	born       time.Time
	bornMillis int64
	rate       float64
	token      int64
	until      int64
	running    ordered.Map[string, *workerRun]
	highest    map[string]uint32
	ended      []runner.Ended
	ends       int64
	look       *pendingLook
	draining   bool
	failing    bool
	hanging    bool
	down       bool
	// refuses is set if connections are refused while it is down; else it is silent then.
	refuses bool
	// cut workers reach nobody, and nobody reaches them.
	cut bool
	// slow is how many times longer runs take than they should; 0 stands for 1.
	slow float64
}

// pendingLook is a look that waits for an end.
type pendingLook struct {
	look   runner.Look
	answer func(runner.Answer, runner.Listing)
	at     time.Time
}

func newWorker(w *world, name, centre string, number int) *worker {
	k := &worker{w: w, name: name, centre: centre, number: number, rack: fmt.Sprintf("r%d", number/w.layout.rackSize)}
	k.reborn()
	return k
}

// reborn starts a new incarnation under another ID.
func (k *worker) reborn() {
	k.id = fmt.Sprintf("%s-%d", k.name, k.life+1)
	k.restart()
}

// restart starts a new incarnation under the same ID.
func (k *worker) restart() {
	k.crash() // unless it is down already
	k.life++
	k.bornMillis = max(k.w.now.UnixMilli(), k.bornMillis+1)
	k.capacity, k.former, k.said = k.w.layout.capacity(k.number), nil, 0
	k.born = k.w.now.Add(-time.Duration(k.w.rand.IntN(100000)) * time.Millisecond)
	k.rate = 0.98 + 0.02*k.w.rand.Float64()
	k.token, k.until, k.ends = 0, 0, 0
	k.running, k.highest = ordered.Map[string, *workerRun]{}, make(map[string]uint32)
	k.ended, k.look = nil, nil
	k.refuses = (k.life+k.number)%2 == 0
	k.down, k.draining, k.failing, k.hanging, k.slow = false, false, false, false, 0
}

// formerCapacity is a capacity that a worker had until a time.
type formerCapacity struct {
	room  room.Room
	until time.Time
}

// resize changes the capacity to a share of the one in the layout.
func (k *worker) resize(share float64) {
	k.former = append(k.former, formerCapacity{k.capacity, k.w.now})
	k.capacity = k.w.layout.capacity(k.number)
	k.capacity.CPU = int(share * float64(k.capacity.CPU))
}

// mayUse is the largest capacity that the worker had within a time: its agent hears of a
// change with the next announcement.
func (k *worker) mayUse(within time.Duration) room.Room {
	most := k.capacity
	for _, f := range k.former {
		if k.w.now.Sub(f.until) <= within && f.room.CPU > most.CPU {
			most = f.room
		}
	}
	return most
}

// pace returns the share of full pace at which runs get on.
func (k *worker) pace() float64 {
	switch {
	case k.hanging:
		return 0
	case k.slow > 0:
		return 1 / k.slow
	}
	return 1
}

// setPace has hanging and slowness begin or end, also for what runs.
func (k *worker) setPace(hanging bool, slow float64) {
	k.hanging, k.slow = hanging, slow
	for r := range k.running.Values() {
		r.setPace(k.w.now, k.pace())
	}
}

// crash ends the incarnation; nothing of it is listed any more.
func (k *worker) crash() {
	if k.down {
		return
	}
	k.down = true
	for task, r := range k.running.All() {
		k.w.checks.lostUnder[task]++
		k.w.tally.ran(k, r, runs.Gone)
		k.w.checks.ranUntil(task, k)
	}
}

func (k *worker) clock() int64 {
	return int64(float64(k.w.now.Sub(k.born).Milliseconds()) * k.rate)
}

func (k *worker) info() runs.Worker {
	return runs.Worker{
		ID: k.id, Born: k.bornMillis, Agent: k.name, Service: service, DataCentre: k.centre, Capacity: k.capacity,
		Labels: []string{k.rack}, Draining: k.draining,
	}
}

// step lets runs end by their work, stops and the lease.
func (k *worker) step() {
	if k.down {
		return
	}
	if k.clock() > k.until {
		k.w.checks.lapse(k)
	}
	for task, r := range k.running.All() {
		switch {
		case !r.stopping.IsZero() && !k.w.now.Before(r.stopping):
			k.end(task, r, runs.Stopped)
		case k.clock() > k.until:
			k.end(task, r, runs.Stopped)
		case r.worked(k.w.now) >= r.work:
			how := runs.Done
			if r.fails {
				how = runs.Failed
			}
			k.end(task, r, how)
		}
	}
	k.answerLook()
}

func (k *worker) end(task string, r *workerRun, how runs.How) {
	k.running.Delete(task)
	k.w.tally.ran(k, r, how)
	k.highest[task] = max(k.highest[task], r.run)
	k.ends++
	k.ended = append(k.ended, runner.Ended{Number: k.ends, Key: runs.Key{Task: task, Run: r.run}, How: how})
	k.w.tell("worker %s ends %s/%d %s", k.id, task, r.run, how)
	if how == runs.Failed {
		k.w.checks.failedRuns[task]++
	}
	if how == runs.Done {
		k.w.checks.endedDone(k, runs.Key{Task: task, Run: r.run}, k.ends)
	}
	k.w.checks.ranUntil(task, k)
}

// order carries an order out.
func (k *worker) order(o runner.Order, need room.Room) runner.Answer {
	if k.down && !k.cut && k.refuses {
		return runner.Answer{Verdict: runner.NotListening}
	}
	if k.down || k.cut {
		return runner.Answer{Verdict: runner.NoAnswer}
	}
	if o.Worker != k.id {
		return runner.Answer{Verdict: runner.WrongIncarnation, Clock: k.clock()}
	}
	if o.Token < k.token {
		return runner.Answer{Verdict: runner.RefusedFence, Clock: k.clock()}
	}
	k.token = o.Token
	verdict := runner.Accepted
	if o.Kind == runner.OrderStop {
		k.stop(o.Key)
	} else {
		verdict = k.start(o, need)
	}
	return runner.Answer{Verdict: verdict, Clock: k.clock()}
}

func (k *worker) stop(key runs.Key) {
	k.highest[key.Task] = max(k.highest[key.Task], key.Run)
	if r := k.running.Get(key.Task); r != nil && r.run == key.Run && r.stopping.IsZero() {
		r.stopping = k.w.now.Add(time.Duration(k.w.rand.IntN(50)) * time.Millisecond)
	}
}

func (k *worker) start(o runner.Order, need room.Room) runner.Verdict {
	if r := k.running.Get(o.Key.Task); r != nil && r.run == o.Key.Run {
		return runner.Accepted
	}
	if o.Key.Run <= k.highest[o.Key.Task] {
		return runner.RefusedOld
	}
	if o.Deadline <= k.clock() {
		return runner.RefusedLate
	}
	k.lend(o.Deadline)
	work, fails := k.w.startOf(o.Key)
	k.running.Put(o.Key.Task, &workerRun{
		run: o.Key.Run, pace: k.pace(), paceAt: k.w.now, startedAt: k.w.now, work: work, need: need, fails: k.failing || fails,
	})
	k.w.tell("worker %s starts %s/%d", k.id, o.Key.Task, o.Key.Run)
	k.w.checks.startedOn(o.Key, k)
	if after, crashes := k.w.crashOf(o.Key); crashes {
		k.crashAfter(after, o.Key)
	}
	return runner.Accepted
}

// crashAfter has a run crash the worker if it is still there then. It is back after some
// seconds, under its ID or another one.
func (k *worker) crashAfter(d time.Duration, key runs.Key) {
	life := k.life
	k.w.after(d, func() {
		r := k.running.Get(key.Task)
		if k.life != life || k.down || r == nil || r.run != key.Run {
			return
		}
		k.w.checks.crashedBy(key, k)
		k.crash()
		k.comeBack(time.Second + time.Duration(k.w.rand.IntN(1000))*time.Millisecond)
	})
}

// comeBack has a worker that is down start again after a time.
func (k *worker) comeBack(d time.Duration) {
	start := k.restart
	if k.w.rand.IntN(2) == 0 {
		start = k.reborn
	}
	life := k.life
	k.w.after(d, func() {
		if k.life == life {
			start()
			k.w.agents[k.number].announceOnce()
		}
	})
}

// lend takes a lease, or the longest one that is granted.
func (k *worker) lend(deadline int64) {
	k.until = max(k.until, min(deadline, k.clock()+k.w.layout.longestLease.Milliseconds()))
}

// hold receives a look; the answer may come later.
func (k *worker) hold(l runner.Look, answer func(runner.Answer, runner.Listing)) {
	if k.down || k.cut {
		return
	}
	if l.Worker != k.id {
		answer(runner.Answer{Verdict: runner.WrongIncarnation, Clock: k.clock()}, runner.Listing{})
		return
	}
	if l.Token < k.token {
		answer(runner.Answer{Verdict: runner.RefusedFence, Clock: k.clock()}, runner.Listing{})
		return
	}
	k.token = l.Token
	if k.running.Len() > 0 {
		k.lend(l.Deadline)
	}
	k.w.checks.noteEnds(k, l.LastSeen)
	kept := k.ended[:0:0]
	for _, e := range k.ended {
		if e.Number > l.LastSeen {
			kept = append(kept, e)
		}
	}
	k.ended = kept
	k.look = &pendingLook{look: l, answer: answer, at: k.w.now.Add(l.Wait)}
	k.answerLook()
}

// listedAtOnce is how many ends a worker lists; the others follow when these may be
// forgotten.
const listedAtOnce = 50

func (k *worker) answerLook() {
	p := k.look
	if p == nil || len(k.ended) == 0 && k.w.now.Before(p.at) {
		return
	}
	k.look = nil
	var listing runner.Listing
	for task, r := range k.running.All() {
		percent := int(100 * r.worked(k.w.now) / max(r.work, 1))
		listing.Running = append(listing.Running, runner.Running{Key: runs.Key{Task: task, Run: r.run}, Percent: min(percent, 99)})
	}
	listing.Cut = len(k.ended) >= listedAtOnce
	listing.Ended = append(listing.Ended, k.ended[:min(len(k.ended), listedAtOnce)]...)
	p.answer(runner.Answer{Verdict: runner.Accepted, Clock: k.clock(), Born: k.bornMillis}, listing)
}
