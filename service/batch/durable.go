package batch

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"peridotpick.example/common/boottime"
	"peridotpick.example/common/errkind"
	core "peridotpick.example/core/batch"
	"peridotpick.example/core/ledger"
	"peridotpick.example/service/telemetry"
	"peridotpick.example/wire/runs"
)

// Changes are rows of durable jobs that a look at the store has shown.
type Changes struct {
	Rows []ledger.Stored
	// Next is where the next look goes on.
	Next uint64
	// More is true if there are further changes already.
	More bool
	// Restart is true if the store has dropped part of the changes: all rows must be
	// read again.
	Restart bool
}

// JobStore keeps durable jobs.
type JobStore interface {
	// Jobs reads all rows.
	Jobs(ctx context.Context) (Changes, error)
	// JobChanges waits for changes after a position, but not longer than a time.
	JobChanges(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
	// JobParts is the number of parts that take writes independently; JobPart tells
	// that of a job.
	JobParts() int
	JobPart(job string) int
	// WriteJobs carries out writes of one part, all or none. It returns an outcome
	// for each, or an error if it is not known whether they were carried out.
	WriteJobs(ctx context.Context, writes []ledger.Write) ([]ledger.Outcome, error)
}

// Times of following the changes.
const (
	// followPause is the pause after a look that showed something: it bounds the
	// calls to the store, and how old a job's state may be at other entries.
	followPause = 80 * time.Millisecond
	// freshWait is how long a question waits for the known jobs to be as new as it needs,
	// freshPoll the time between two looks whether they are.
	freshWait = 250 * time.Millisecond
	freshPoll = 10 * time.Millisecond
	// freshness is how new the known jobs must be to say that there is no such job.
	freshness = 2 * time.Second
)

// keeper owns the ledger. The ledger is used by the entry's loop alone.
type keeper struct {
	entry  *Entry
	ledger *ledger.Core
	waits  map[ledger.RequestID]chan errkind.Kind
	// watched are jobs whose state somebody asked for who would rather hear the end.
	watched map[string][]chan<- struct{}
	lanes   []*lane
	// budget is this entry's share of the store's transactions.
	budget *rate.Limiter
	total  float64
	// unconfirmed is true while jobs of this entry wait for a confirmation.
	unconfirmed atomic.Bool
	// idle is true while no durable job is known: looks at the changes wait longer then.
	idle  atomic.Bool
	looks storeWaits
	// urgent is set while somebody needs a newer view: the next look does not wait.
	// hurriedAt is when that was last asked for; the loop owns it.
	urgent    atomic.Bool
	hurriedAt time.Time
	nextID    atomic.Uint64
}

func newKeeper(e *Entry, s ledger.Settings, writesPerSecond float64) *keeper {
	s.Self = e.self
	k := &keeper{entry: e, ledger: ledger.New(s, boottime.Now()), waits: make(map[ledger.RequestID]chan errkind.Kind)}
	k.watched = make(map[string][]chan<- struct{})
	k.budget, k.total = rate.NewLimiter(rate.Limit(writesPerSecond), writeBurst), writesPerSecond
	for range e.deps.Store.JobParts() {
		k.lanes = append(k.lanes, newLane(e, k.budget))
	}
	return k
}

// run follows the changes and carries out writes.
func (k *keeper) run(ctx context.Context) error {
	group, work := errgroup.WithContext(ctx)
	group.Go(func() error { return k.follow(work) })
	for _, l := range k.lanes {
		group.Go(func() error { return l.run(work) })
	}
	return group.Wait()
}

// follow reads all jobs, then what changes.
func (k *keeper) follow(ctx context.Context) error {
	e := k.entry
	var after uint64
	loaded, failing := false, false
	for ctx.Err() == nil {
		sentAt := boottime.Now()
		call, done := k.looks.begin(ctx)
		changes, err := k.look(call, loaded, after)
		ended := call.Err() != nil
		done()
		if ended {
			continue // somebody needs a newer view at once
		}
		if err != nil {
			if !failing {
				e.log.Warn().Err(err).Msg("entry: the store does not tell the durable jobs")
			}
			failing = true
			pause(ctx, configRetry)
			continue
		}
		if failing {
			failing = false
			e.log.Info().Msg("entry: the store tells the durable jobs again")
		}
		if changes.Restart {
			loaded = false
			continue
		}
		if changes.More {
			sentAt = time.Time{} // it confirms nothing yet
		}
		first := !loaded
		after, loaded = changes.Next, true
		e.post(func(_ *core.Core, now time.Time) {
			if first {
				k.ledger.Load(now, changes.Rows, sentAt)
				return
			}
			k.ledger.Learn(now, changes.Rows, sentAt)
		})
		if len(changes.Rows) > 0 && !changes.More {
			pause(ctx, followPause)
		}
	}
	return nil
}

func (k *keeper) look(ctx context.Context, loaded bool, after uint64) (Changes, error) {
	if !loaded {
		return k.entry.deps.Store.Jobs(ctx)
	}
	wait := followShort
	switch {
	case k.urgent.Swap(false), k.unconfirmed.Load():
		wait = 0
	case k.idle.Load():
		wait = max(followShort, k.entry.storeWait())
	}
	return k.entry.deps.Store.JobChanges(ctx, after, wait)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// exchange moves what the core and the ledger ask of each other, in the loop.
func (k *keeper) exchange(now time.Time, out *core.Output) {
	for _, name := range out.Disowned {
		k.ledger.GaveUp(now, name)
	}
	for _, r := range out.Records {
		k.ledger.Record(now, r)
	}
	for _, u := range out.Unowned {
		k.settle(now, u)
	}
}

func (k *keeper) settle(now time.Time, u core.Unowned) {
	noted, void := k.ledger.Settle(now, u.End)
	keys := []runs.Key{u.End.Key}
	switch {
	case noted:
		k.entry.core.Settle(now, u.Link, keys, nil)
	case void:
		k.entry.core.Settle(now, u.Link, nil, keys)
	case k.idle.Load():
		k.hurry(now) // the agent keeps the end until a look sent from now on shows no such job
	}
}

// hurryEvery is the shortest time between two looks that are made since somebody needs a
// newer view. Agents ask again for each end that they keep; a look that each question ended
// would never be answered.
const hurryEvery = 100 * time.Millisecond

// hurry has the store looked at now rather than when the present look has waited.
func (k *keeper) hurry(now time.Time) {
	if now.Sub(k.hurriedAt) < hurryEvery {
		return
	}
	k.hurriedAt = now
	k.urgent.Store(true)
	k.looks.end()
}

// freshen has the known jobs be new enough to say that there is no such job, if the store
// answers in time. Looks wait for long while no durable job is known.
func (k *keeper) freshen(ctx context.Context) {
	if k.isFresh() {
		return
	}
	k.entry.post(func(_ *core.Core, now time.Time) { k.hurry(now) })
	for deadline := time.Now().Add(freshWait); time.Now().Before(deadline) && !k.isFresh(); {
		pause(ctx, freshPoll)
	}
}

func (k *keeper) isFresh() bool {
	fresh := make(chan bool, 1)
	k.entry.post(func(_ *core.Core, now time.Time) { fresh <- k.ledger.Fresh(now, freshness) })
	select {
	case f := <-fresh:
		return f
	case <-k.entry.work.Done():
		return true
	}
}

// tick lets time pass.
func (k *keeper) tick(now time.Time) {
	k.ledger.Peers(now, k.entry.peers.heardLately())
	k.ledger.Tick(now)
	k.budget.SetLimit(rate.Limit(k.total / float64(k.entry.peers.count())))
}

// writeBurst is the number of transactions that may leave at once after a calm.
const writeBurst = 8

// perform carries out what the ledger asks for. It reports whether the core was
// given something.
func (k *keeper) perform(now time.Time) bool {
	out := k.ledger.Flush()
	e := k.entry
	e.core.Confirm(k.ledger.OwnedUntil())
	for _, w := range out.Writes {
		k.lanes[e.deps.Store.JobPart(w.Job)].add(w)
	}
	for _, a := range out.Answers {
		if wait := k.waits[a.Request]; wait != nil {
			delete(k.waits, a.Request)
			wait <- a.Kind
		}
	}
	for _, name := range out.Disowns {
		e.core.Disown(now, name)
	}
	for _, name := range out.Cancelled {
		e.core.Cancelled(now, name)
	}
	for _, s := range out.Stored {
		e.core.Recorded(now, s.Job, s.Seq)
	}
	for i := range out.Owns {
		k.own(now, &out.Owns[i])
	}
	for _, name := range out.Ended {
		for _, w := range k.watched[name] {
			close(w)
		}
		delete(k.watched, name)
	}
	k.logNotes(now, out.Notes)
	k.unconfirmed.Store(k.ledger.Unconfirmed())
	k.idle.Store(k.ledger.Empty())
	return len(out.Disowns)+len(out.Cancelled)+len(out.Stored)+len(out.Owns) > 0
}

// own has the core run a job. A job whose queue is not configured any more waits.
func (k *keeper) own(now time.Time, o *ledger.Own) {
	e := k.entry
	config := e.Catalog()
	if config == nil || config.Named(o.Row.Queue) == nil {
		e.log.Warn().Str("job", o.Job).Str("queue", o.Row.Queue).Msg("entry: the queue of a durable job is not configured")
		return
	}
	e.core.Own(now, &core.Durable{
		Job: o.Job, Queue: config.Named(o.Row.Queue), Version: config.Version, Spec: o.Row.Spec, Steps: o.Row.Steps,
		Progress: o.Row.Progress, SafeAt: o.SafeAt,
	})
}

func (k *keeper) logNotes(now time.Time, notes []ledger.Note) {
	e := k.entry
	for i := range notes {
		n := &notes[i]
		telemetry.Count("durable."+metricName(n.Event), e.deps.Metrics)
		ok, leftOut := e.budget.Allow("durable "+n.Event, now)
		if !ok {
			continue
		}
		line := e.routeLog.Info()
		if leftOut > 0 {
			line.Int("left_out", leftOut)
		}
		line.Str("job", n.Job).Str("queue", n.Queue).Uint64("row", n.Version).Uint64("epoch", n.Epoch).
			Str("reason", n.Reason).Dur("confirmed", n.Age).Msg("route: durable " + n.Event)
	}
}

// Accept stores a job and has it run. It returns once the job is stored or refused,
// or when ctx ends without either being known.
func (e *Entry) Accept(ctx context.Context, name string, row *ledger.Row) errkind.Kind {
	return e.keeper.ask(ctx, func(id ledger.RequestID, now time.Time) { e.keeper.ledger.Accept(now, id, name, row) })
}

// CancelDurable ends a durable job.
func (e *Entry) CancelDurable(ctx context.Context, name string) errkind.Kind {
	e.keeper.freshen(ctx)
	return e.keeper.ask(ctx, func(id ledger.RequestID, now time.Time) { e.keeper.ledger.Cancel(now, id, name) })
}

func (k *keeper) ask(ctx context.Context, do func(id ledger.RequestID, now time.Time)) errkind.Kind {
	id := ledger.RequestID(k.nextID.Add(1))
	wait := make(chan errkind.Kind, 1)
	k.entry.post(func(_ *core.Core, now time.Time) {
		k.waits[id] = wait
		do(id, now)
	})
	select {
	case kind := <-wait:
		return kind
	case <-ctx.Done():
		k.entry.post(func(*core.Core, time.Time) { delete(k.waits, id) })
		return errkind.FateUnknown
	case <-k.entry.work.Done():
		return errkind.FateUnknown
	}
}

// JobStatus is what is known of a durable job.
type JobStatus struct {
	State core.JobState
	// Known is false if there is no such job; Certain is false if that cannot be said
	// at present.
	Known, Certain bool
}

// statusWait is how long a question for the state of a running job waits for its
// end. Callers ask right after the last task has ended, some milliseconds before the
// store has that; told "running", they come back much later.
const statusWait = 80 * time.Millisecond

// JobState tells the state of a durable job. If it has begun, that is told as soon
// as it ends, or after a moment.
func (e *Entry) JobState(ctx context.Context, name string) JobStatus {
	ended := make(chan struct{})
	status := e.jobState(name, ended)
	if !status.Known && !status.Certain {
		e.keeper.freshen(ctx)
		status = e.jobState(name, ended)
	}
	if !status.Known || status.State != core.JobRunning {
		return status
	}
	select {
	case <-ended:
	case <-time.After(statusWait):
	case <-ctx.Done():
	}
	return e.jobState(name, nil)
}

// jobState tells what is known now. A job that has not ended closes ended when it
// does; without it nothing is watched any more.
func (e *Entry) jobState(name string, ended chan<- struct{}) JobStatus {
	status := make(chan JobStatus, 1)
	e.post(func(c *core.Core, now time.Time) {
		s := JobStatus{Certain: e.keeper.ledger.Fresh(now, freshness)}
		s.State, s.Known = e.keeper.ledger.State(name)
		if here, running := c.State(name); running && s.Known && !s.State.Ended() && !here.Ended() {
			s.State = here
		}
		if s.Known && !s.State.Ended() && ended != nil {
			e.keeper.watched[name] = append(e.keeper.watched[name], ended)
		}
		status <- s
	})
	select {
	case s := <-status:
		return s
	case <-e.work.Done():
		return JobStatus{}
	}
}

// Waiting counts the durable jobs of a queue of which no task has begun.
func (e *Entry) Waiting(queue string) int {
	e.keeper.freshen(e.work)
	n := make(chan int, 1)
	e.post(func(*core.Core, time.Time) { n <- e.keeper.ledger.Waiting(queue) })
	select {
	case waiting := <-n:
		return waiting
	case <-e.work.Done():
		return 0
	}
}
