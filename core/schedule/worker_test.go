package schedule

import (
	"time"

	"peridotpick.example/common/room"
	"peridotpick.example/core/runner"
	"peridotpick.example/wire/runs"
)

// workerRun is a run at a simulated worker.
type workerRun struct {
	run   uint32
	ends  time.Time
	began time.Time
	need  room.Room
	// stopping is when a stop takes effect; zero if none was asked for.
	stopping time.Time
	fails    bool
}

// worker simulates one machine's worker: leases, fencing, ends, its own clock.
type worker struct {
	w        *world
	name     string
	id       string
	life     int
	capacity room.Room
	born     time.Time
	rate     float64
	token    int64
	until    int64
	running  map[string]*workerRun
	highest  map[string]uint32
	ended    []runner.Ended
	number   int64
	look     *pendingLook
	draining bool
	failing  bool
	hanging  bool
	down     bool
}

// pendingLook is a look that waits for an end.
type pendingLook struct {
	look   runner.Look
	answer func(runner.Answer, runner.Listing)
	at     time.Time
}

func newWorker(w *world, name string) *worker {
	k := &worker{w: w, name: name}
	k.reborn()
	return k
}

// reborn starts a new incarnation.
func (k *worker) reborn() {
	k.life++
	k.id = k.name + "-" + string(rune('a'+k.life))
	k.capacity = room.Room{CPU: 8000, Memory: 8000}
	k.born = k.w.now.Add(-time.Duration(k.w.rand.IntN(100000)) * time.Millisecond)
	k.rate = 0.98 + 0.02*k.w.rand.Float64()
	k.token, k.until, k.number = 0, 0, 0
	k.running, k.highest = make(map[string]*workerRun), make(map[string]uint32)
	k.ended, k.look = nil, nil
	k.down, k.draining, k.failing, k.hanging = false, false, false, false
}

func (k *worker) clock() int64 {
	return int64(float64(k.w.now.Sub(k.born).Milliseconds()) * k.rate)
}

func (k *worker) info() runs.Worker {
	return runs.Worker{ID: k.id, Agent: k.name, Service: "s", DataCentre: "d", Capacity: k.capacity, Draining: k.draining}
}

// step lets runs end by their work, stops and the lease.
func (k *worker) step() {
	if k.down {
		return
	}
	if k.clock() > k.until {
		k.w.lapse(k)
	}
	for task, r := range k.running {
		switch {
		case !r.stopping.IsZero() && !k.w.now.Before(r.stopping):
			k.end(task, r, runs.Stopped)
		case k.clock() > k.until:
			k.end(task, r, runs.Stopped)
		case !k.hanging && !k.w.now.Before(r.ends):
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
	delete(k.running, task)
	k.highest[task] = max(k.highest[task], r.run)
	k.number++
	k.ended = append(k.ended, runner.Ended{Number: k.number, Key: runs.Key{Task: task, Run: r.run}, How: how})
	k.w.tell("worker %s ends %s/%d %s", k.id, task, r.run, how)
	if how == runs.Done {
		k.w.endedDone(k, runs.Key{Task: task, Run: r.run}, k.number)
	}
	k.w.ranUntil(task, k)
}

// order carries an order out.
func (k *worker) order(o runner.Order, need room.Room) runner.Answer {
	if k.down {
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
	if r := k.running[key.Task]; r != nil && r.run == key.Run && r.stopping.IsZero() {
		r.stopping = k.w.now.Add(time.Duration(k.w.rand.IntN(50)) * time.Millisecond)
	}
}

func (k *worker) start(o runner.Order, need room.Room) runner.Verdict {
	if r := k.running[o.Key.Task]; r != nil && r.run == o.Key.Run {
		return runner.Accepted
	}
	if o.Key.Run <= k.highest[o.Key.Task] {
		return runner.RefusedOld
	}
	if o.Deadline <= k.clock() {
		return runner.RefusedLate
	}
	k.until = max(k.until, o.Deadline)
	work := time.Duration(20+k.w.rand.IntN(400)) * time.Millisecond
	k.running[o.Key.Task] = &workerRun{
		run: o.Key.Run, began: k.w.now, ends: k.w.now.Add(work), need: need, fails: k.failing || k.w.rand.IntN(100) == 0,
	}
	k.w.tell("worker %s starts %s/%d", k.id, o.Key.Task, o.Key.Run)
	k.w.startedOn(o.Key, k)
	return runner.Accepted
}

// hold receives a look; the answer may come later.
func (k *worker) hold(l runner.Look, answer func(runner.Answer, runner.Listing)) {
	if k.down {
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
	if len(k.running) > 0 {
		k.until = max(k.until, l.Deadline)
	}
	k.w.noteEnds(k, l.LastSeen)
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
	for task, r := range k.running {
		percent := int(100 * k.w.now.Sub(r.began) / r.ends.Sub(r.began))
		if k.hanging {
			percent = 0
		}
		listing.Running = append(listing.Running, runner.Running{Key: runs.Key{Task: task, Run: r.run}, Percent: min(percent, 99)})
	}
	listing.Cut = len(k.ended) >= listedAtOnce
	listing.Ended = append(listing.Ended, k.ended[:min(len(k.ended), listedAtOnce)]...)
	p.answer(runner.Answer{Verdict: runner.Accepted, Clock: k.clock()}, listing)
}
