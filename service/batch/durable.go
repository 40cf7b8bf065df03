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

// Changes are rows of durable jobs as read from the store.
type Changes struct {
	Rows []ledger.StoredRow
	// Next is the position from which the next poll continues.
	Next uint64
	// More is set if there are further changes to read at once.
	More bool
	// Restart is set if the store no longer has all changes since the position: all rows must be
	// read again.
	Restart bool
}

// JobStore is the part of the store that keeps durable jobs.
type JobStore interface {
	// ReadJobs reads all rows.
	ReadJobs(ctx context.Context) (Changes, error)
	// JobChanges waits for changes after a position, at most for wait.
	JobChanges(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
	// JobPartitions returns the number of partitions; each takes writes independently. JobPartition
	// returns the partition of a job, from 0.
	JobPartitions() int
	JobPartition(job string) int
	// WriteJobs carries out writes to one partition in one transaction, all or none. It returns a
	// result for each, or an error if it is unknown whether they were carried out.
	WriteJobs(ctx context.Context, writes []ledger.Write) ([]ledger.WriteResult, error)
}

// pollPause is the pause after a poll that has returned changes. It bounds the rate of calls to the
// store, and how old the state of a job may be at other entries.
const pollPause = 80 * time.Millisecond

// durableJobs connects the ledger to the store, to the entry's core and to requests. The ledger is
// used by the entry's event loop only.
type durableJobs struct {
	entry  *Entry
	ledger *ledger.Core
	// pendingRequests has the channels for the answers of the ledger.
	pendingRequests map[ledger.RequestID]chan errkind.Kind
	// endWaiters has, by job, the channels to close when the job ends.
	endWaiters map[string][]chan<- struct{}
	writers    []*partitionWriter
	// limiter limits this entry to its share of the store's transactions, totalRate is the rate of
	// all entries together in transactions per second.
	limiter   *rate.Limiter
	totalRate float64
	// unconfirmed is set while this entry owns jobs whose ownership is not confirmed.
	unconfirmed atomic.Bool
	// empty is set while there is no durable job; polls of the changes wait longer then.
	empty atomic.Bool
	polls pollSet
	// pollNow is set when a request needs fresher jobs: the next poll returns at once. prompt is set
	// while such a poll is under way. pollRequestedAt is when one was last asked for; only the event
	// loop uses it.
	pollNow         atomic.Bool
	prompt          atomic.Bool
	pollRequestedAt time.Time
	// failing is set while polls are not answered.
	failing atomic.Bool
	nextID  atomic.Uint64
}

func newDurableJobs(e *Entry, s ledger.Settings, writesPerSecond float64) *durableJobs {
	s.Self = e.self
	d := &durableJobs{entry: e, ledger: ledger.New(s, boottime.Now()), pendingRequests: make(map[ledger.RequestID]chan errkind.Kind)}
	d.endWaiters = make(map[string][]chan<- struct{})
	d.limiter, d.totalRate = rate.NewLimiter(rate.Limit(writesPerSecond), transactionBurst), writesPerSecond
	for range e.deps.Store.JobPartitions() {
		d.writers = append(d.writers, newPartitionWriter(e, d.limiter))
	}
	return d
}

// run polls the changes and carries out writes until ctx ends.
func (d *durableJobs) run(ctx context.Context) error {
	group, work := errgroup.WithContext(ctx)
	group.Go(func() error { return d.followChanges(work) })
	for _, w := range d.writers {
		group.Go(func() error { return w.run(work) })
	}
	return group.Wait()
}

// followChanges reads all rows, then polls for their changes.
func (d *durableJobs) followChanges(ctx context.Context) error {
	e := d.entry
	var after uint64
	loaded := false
	for ctx.Err() == nil {
		call, done := d.polls.begin(ctx)
		sentAt, changes, err := d.poll(call, loaded, after)
		ended := call.Err() != nil
		done()
		if ended {
			continue // a request needs fresher jobs
		}
		if err != nil {
			if !d.failing.Swap(true) {
				e.log.Warn().Err(err).Msg("entry: the store does not tell the durable jobs")
			}
			sleep(ctx, storeRetryPause)
			continue
		}
		if d.failing.Swap(false) {
			e.log.Info().Msg("entry: the store tells the durable jobs again")
		}
		if changes.Restart {
			loaded = false
			continue
		}
		if changes.More {
			sentAt = time.Time{} // an incomplete read confirms nothing
		}
		first := !loaded
		after, loaded = changes.Next, true
		e.post(func(_ *core.Core, now time.Time) {
			if first {
				d.ledger.LoadRows(now, changes.Rows, sentAt)
				return
			}
			d.ledger.ApplyChanges(now, changes.Rows, sentAt)
		})
		if len(changes.Rows) > 0 && !changes.More {
			sleep(ctx, pollPause)
		}
	}
	return nil
}

// poll makes one call to the store. It waits for changes longer while there is no durable job, and
// not at all if a request needs fresher jobs, ownership is not confirmed or the last poll failed. It
// returns when the call was sent, which is after all requests for which the poll is made.
func (d *durableJobs) poll(ctx context.Context, loaded bool, after uint64) (sentAt time.Time, changes Changes, err error) {
	if !loaded {
		// Questions wait for this read. If they cancelled it, it would begin with the first page again, and
		// never end while they come more often than it takes.
		d.prompt.Store(true)
		defer d.prompt.Store(false)
		sentAt = boottime.Now()
		changes, err = d.entry.deps.Store.ReadJobs(ctx)
		return sentAt, changes, err
	}
	wait := jobPollWait
	switch {
	case d.pollNow.Swap(false), d.unconfirmed.Load(), d.failing.Load():
		wait = 0
	case d.empty.Load():
		wait = max(jobPollWait, d.entry.nextPollWait())
	}
	d.prompt.Store(wait == 0)
	defer d.prompt.Store(false)
	sentAt = boottime.Now()
	changes, err = d.entry.deps.Store.JobChanges(ctx, after, wait)
	return sentAt, changes, err
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// applyCoreOutput passes to the ledger what the core has produced for it. It runs in the event
// loop.
func (d *durableJobs) applyCoreOutput(now time.Time, out *core.Output) {
	for _, name := range out.OwnershipExpired {
		d.ledger.HandleOwnershipExpired(now, name)
	}
	for _, name := range out.OutOfNumbers {
		d.ledger.HandleOutOfNumbers(now, name)
	}
	for _, r := range out.Records {
		d.ledger.SaveRecord(now, r)
	}
	for _, u := range out.UnownedEnds {
		d.resolveUnowned(now, u)
	}
}

// resolveUnowned answers an agent's question about the end of a run whose job the core does not run.
func (d *durableJobs) resolveUnowned(now time.Time, u core.UnownedEnd) {
	acked, void := d.ledger.ResolveEnd(now, u.End)
	keys := []runs.Key{u.End.Key}
	switch {
	case acked:
		d.entry.core.ResolveEnds(now, u.Link, keys, nil)
	case void:
		d.entry.core.ResolveEnds(now, u.Link, nil, keys)
	case d.empty.Load():
		// The agent keeps the end until a poll that is sent from now on shows that there is no such
		// job.
		d.requestPoll(now)
	}
}

// minPollRequestInterval is the shortest time between two polls on request. Agents ask again for
// each end that they keep; if each question cancelled the poll in flight, no poll would ever be
// answered.
const minPollRequestInterval = 100 * time.Millisecond

// requestPoll has the next poll return at once. It cancels a poll that waits for changes, but not one
// that returns at once too: that would never be answered while the store is slow.
func (d *durableJobs) requestPoll(now time.Time) {
	if now.Sub(d.pollRequestedAt) < minPollRequestInterval {
		return
	}
	d.pollRequestedAt = now
	d.pollNow.Store(true)
	if !d.prompt.Load() {
		d.polls.cancelAll()
	}
}

// tick lets the ledger handle the passing of time, and divides the transaction rate by the number
// of live entries.
func (d *durableJobs) tick(now time.Time) {
	d.ledger.RecordAlive(now, d.entry.peers.recentlyHeard())
	d.ledger.Tick(now)
	if d.entry.core.AwaitsStore() {
		d.requestPoll(now)
	}
	d.limiter.SetLimit(rate.Limit(d.totalRate / float64(d.entry.peers.aliveCount())))
}

// transactionBurst is the number of transactions that may be made at once after a time without any.
const transactionBurst = 8

// handleLedgerOutput carries out what the ledger asks for. It reports whether the core has got new
// input.
func (d *durableJobs) handleLedgerOutput(now time.Time) bool {
	out := d.ledger.Flush()
	e := d.entry
	e.core.ConfirmOwnership(d.ledger.ConfirmedAt(), d.ledger.OwnedUntil())
	for _, w := range out.Writes {
		d.writers[e.deps.Store.JobPartition(w.Job)].enqueue(w)
	}
	for _, a := range out.Answers {
		if reply := d.pendingRequests[a.Request]; reply != nil {
			delete(d.pendingRequests, a.Request)
			reply <- a.Kind
		}
	}
	for _, name := range out.Lost {
		e.core.StopLost(now, name)
	}
	for _, name := range out.Cancelled {
		e.core.CancelDurable(now, name)
	}
	for _, s := range out.StoredRecords {
		e.core.RecordStored(now, s.Job, s.Seq)
	}
	for i := range out.Acquired {
		d.startJob(now, &out.Acquired[i])
	}
	for _, name := range out.Ended {
		for _, w := range d.endWaiters[name] {
			close(w)
		}
		delete(d.endWaiters, name)
	}
	d.logDecisions(now, out.Decisions)
	d.unconfirmed.Store(d.ledger.HasUnconfirmed())
	d.empty.Store(d.ledger.IsEmpty())
	return len(out.Lost)+len(out.Cancelled)+len(out.StoredRecords)+len(out.Acquired) > 0
}

// startJob has the core run a job.
func (d *durableJobs) startJob(now time.Time, acquired *ledger.Acquisition) {
	d.entry.core.RunDurable(now, &core.DurableJob{
		Job: acquired.Job, Queue: acquired.Queue, Version: acquired.Version, Spec: acquired.Row.Spec, Steps: acquired.Row.Steps,
		Epoch: acquired.Row.Epoch, StartedEpoch: acquired.Row.StartedEpoch, Progress: acquired.Row.Progress, SafeAt: acquired.SafeAt,
	})
}

func (d *durableJobs) logDecisions(now time.Time, decisions []ledger.Decision) {
	e := d.entry
	for i := range decisions {
		decision := &decisions[i]
		telemetry.IncCounter("durable."+metricName(decision.Event), e.deps.Metrics)
		ok, leftOut := e.logBudget.Allow("durable "+decision.Event, now)
		if !ok {
			continue
		}
		line := e.routeLog.Info()
		if leftOut > 0 {
			line.Int("left_out", leftOut)
		}
		line.Str("job", decision.Job).Str("queue", decision.Queue).Uint64("row", decision.Version).Uint64("epoch", decision.Epoch).
			Str("reason", decision.Reason).Dur("confirmed", decision.ConfirmationAge).Dur("wait", decision.Wait).Msg("route: durable " + decision.Event)
	}
}

// AcceptDurable stores a durable job and has it run. It returns once the job is stored or refused.
// If ctx ends before that, it returns errkind.FateUnknown.
func (e *Entry) AcceptDurable(ctx context.Context, name string, row *ledger.Row) errkind.Kind {
	return e.durable.request(ctx, func(id ledger.RequestID, now time.Time) { e.durable.ledger.Accept(now, id, name, row) })
}

// request posts an event that makes a request to the ledger, and waits for the answer.
func (d *durableJobs) request(ctx context.Context, do func(id ledger.RequestID, now time.Time)) errkind.Kind {
	id := ledger.RequestID(d.nextID.Add(1))
	reply := make(chan errkind.Kind, 1)
	d.entry.post(func(_ *core.Core, now time.Time) {
		d.pendingRequests[id] = reply
		do(id, now)
	})
	select {
	case kind := <-reply:
		return kind
	case <-ctx.Done():
		d.entry.post(func(*core.Core, time.Time) { delete(d.pendingRequests, id) })
		return errkind.FateUnknown
	case <-d.entry.work.Done():
		return errkind.FateUnknown
	}
}
