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
	// Guards has the versions of the guards of partitions that were read.
	Guards map[int]uint64
	// Next is the position from which the next poll continues: all changes up to it were read.
	Next uint64
	// UpToDate is set if there were no further changes when the store answered. Otherwise the rows
	// may be a part of the changes.
	UpToDate bool
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
	// JobVersion returns the newest position of the store. All changes made before the call are at
	// most at this position.
	JobVersion(ctx context.Context) (uint64, error)
	// JobPartitions returns the number of partitions; each takes writes independently. JobPartition
	// returns the partition of a job, from 0.
	JobPartitions() int
	JobPartition(job string) int
	// WriteJobs carries out writes to one partition in one transaction, all or none. It returns a
	// result for each, or an error if it is unknown whether they were carried out. A transaction that removes
	// a row also writes the guard of the partition, which gets the version of the result.
	WriteJobs(ctx context.Context, writes []ledger.Write) ([]ledger.WriteResult, error)
}

// durableJobs connects the ledger to the store, to the entry's core and to requests. The ledger is
// used by the entry's event loop only.
type durableJobs struct {
	entry  *Entry
	ledger *ledger.Core
	// horizon tells up to which time all jobs are known. The event loop uses it.
	horizon ledger.Horizon
	// pendingRequests has the channels for the answers of the ledger.
	pendingRequests map[ledger.RequestID]chan errkind.Kind
	// endWaiters has, by job, the channels to close when the job ends.
	endWaiters map[string][]chan<- struct{}
	writers    []*partitionWriter
	// limiter limits this entry to its share of the store's transactions, totalRate is the rate of
	// all entries together in transactions per second.
	limiter   *rate.Limiter
	totalRate float64
	// empty is set while there is no durable job; polls of the changes wait longer then.
	empty atomic.Bool
	polls pollSet
	// pollRequestedAt is when a request last needed fresher jobs, prompt is set while the present call
	// does not wait for changes. The event loop uses them.
	pollRequestedAt time.Time
	prompt          bool
	// failing is set while polls are not answered.
	failing atomic.Bool
	nextID  atomic.Uint64
}

func newDurableJobs(e *Entry, s ledger.Settings, writesPerSecond float64) *durableJobs {
	s.Self, s.Partition = e.self, e.deps.Store.JobPartition
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
	e.peers.broadcastCancelled(out.CancelNotices)
	d.logDecisions(now, out.Decisions)
	d.empty.Store(d.ledger.IsEmpty())
	return len(out.Lost)+len(out.Cancelled)+len(out.StoredRecords)+len(out.Acquired) > 0
}

// startJob has the core run a job.
func (d *durableJobs) startJob(now time.Time, acquired *ledger.Acquisition) {
	d.entry.core.RunDurable(now, &core.DurableJob{
		Job: acquired.Job, Queue: acquired.Queue, Version: acquired.Version, Spec: acquired.Row.Spec, Steps: acquired.Row.Steps,
		Epoch: acquired.Row.Epoch, StartedEpoch: acquired.Row.StartedEpoch, Progress: acquired.Row.Progress, SafeAt: acquired.SafeAt, OnHold: acquired.OnHold,
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

// AcceptDurable stores a durable job, whose request arrived at requestedAt, and has it run. It returns once
// the job is stored or refused. If ctx ends before that, it returns errkind.FateUnknown.
func (e *Entry) AcceptDurable(ctx context.Context, name string, row *ledger.Row, requestedAt time.Time) errkind.Kind {
	return e.durable.request(ctx, func(id ledger.RequestID, now time.Time) {
		e.durable.ledger.Accept(now, id, name, row, requestedAt)
	})
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
