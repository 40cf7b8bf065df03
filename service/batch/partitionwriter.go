package batch

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"peridotpick.example/common/boottime"
	core "peridotpick.example/core/batch"
	"peridotpick.example/core/ledger"
)

// partitionWriter carries out the writes to one partition of the store, several in a transaction. A
// transaction without an answer is repeated unchanged until its result is known. That is safe
// because the writes are conditional.
type partitionWriter struct {
	entry  *Entry
	writes chan ledger.Write
	// limiter limits the transactions of this entry to its share.
	limiter *rate.Limiter
	// timeout is the timeout of the next transaction.
	timeout time.Duration
}

const (
	// writeQueueSize is the maximum number of queued writes.
	writeQueueSize = 8192
	// maxWritesPerTransaction follows from the store's limit of a hundred conditions and changes
	// together.
	maxWritesPerTransaction = 45
	// The timeout of a transaction is timeoutFactor times the duration of the previous one, within
	// bounds. With a fixed timeout, a store that is slow under load would get each transaction
	// several times and become slower still.
	timeoutFactor         = 4
	minTransactionTimeout = 300 * time.Millisecond
	maxTransactionTimeout = 5 * time.Second
	// transactionRetryPause is the pause after a transaction that was rejected or got no answer.
	transactionRetryPause = 60 * time.Millisecond
	// maxUrgentAttempts is the number of rejected attempts after which an urgent write fails.
	maxUrgentAttempts = 3
)

func newPartitionWriter(e *Entry, limiter *rate.Limiter) *partitionWriter {
	return &partitionWriter{entry: e, writes: make(chan ledger.Write, writeQueueSize), limiter: limiter, timeout: minTransactionTimeout}
}

// enqueue queues a write. If the queue is full, the write is reported as rejected; it was never
// sent.
func (p *partitionWriter) enqueue(w ledger.Write) {
	select {
	case p.writes <- w:
	default:
		go p.reportAll([]ledger.Write{w}, ledger.Rejected)
	}
}

// run carries out queued writes until ctx ends.
func (p *partitionWriter) run(ctx context.Context) error {
	for {
		group, ok := p.nextGroup(ctx)
		if !ok {
			return nil
		}
		p.commit(ctx, group)
	}
}

// nextGroup waits for a write and for the limiter, and returns all writes that are queued by then,
// up to maxWritesPerTransaction. It returns false once ctx has ended.
func (p *partitionWriter) nextGroup(ctx context.Context) ([]ledger.Write, bool) {
	var group []ledger.Write
	select {
	case w := <-p.writes:
		group = append(group, w)
	case <-ctx.Done():
		return nil, false
	}
	if p.limiter.Wait(ctx) != nil {
		return nil, false
	}
	for len(group) < maxWritesPerTransaction {
		select {
		case w := <-p.writes:
			group = append(group, w)
		default:
			return group, true
		}
	}
	return group, true
}

// commit repeats a group of writes until the result of each is known.
func (p *partitionWriter) commit(ctx context.Context, group []ledger.Write) {
	certain := true // no attempt of unknown result may still be carried out
	for attempt := 1; ctx.Err() == nil; attempt++ {
		sentAt := boottime.Now()
		if group = p.abandonOverdue(group, sentAt); len(group) == 0 {
			return
		}
		results, err := p.transact(ctx, group)
		if err != nil {
			p.entry.log.Warn().Err(err).Int("writes", len(group)).Msg("entry: the fate of writes to the store is not known")
			certain = false
			sleep(ctx, transactionRetryPause)
			continue
		}
		p.reportVersion(results, sentAt)
		again := p.reportFinal(group, results, certain && attempt >= maxUrgentAttempts && allRejected(results))
		if len(again) == len(group) {
			sleep(ctx, transactionRetryPause)
		}
		group = again
	}
}

// abandonOverdue reports the writes that are no longer repeated, and returns the others.
func (p *partitionWriter) abandonOverdue(group []ledger.Write, now time.Time) []ledger.Write {
	var due, overdue []ledger.Write
	for _, w := range group {
		if w.RepeatUntil.IsZero() || now.Before(w.RepeatUntil) {
			due = append(due, w)
		} else {
			overdue = append(overdue, w)
		}
	}
	p.reportAll(overdue, ledger.Abandoned)
	return due
}

// transact makes one transaction and adapts the timeout to its duration.
func (p *partitionWriter) transact(ctx context.Context, group []ledger.Write) ([]ledger.WriteResult, error) {
	callCtx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	began := time.Now()
	results, err := p.entry.deps.Store.WriteJobs(callCtx, group)
	if err != nil {
		p.timeout = min(2*p.timeout, maxTransactionTimeout)
		return nil, err
	}
	p.timeout = min(max(timeoutFactor*time.Since(began), minTransactionTimeout), maxTransactionTimeout)
	return results, nil
}

// reportFinal reports the results that are final and returns the writes to repeat. Rejected writes
// are repeated, such as the other writes of a group after a conflict, unless giveUp is set and they
// are urgent.
func (p *partitionWriter) reportFinal(group []ledger.Write, results []ledger.WriteResult, giveUp bool) []ledger.Write {
	var again, final []ledger.Write
	var finalResults []ledger.WriteResult
	for i, w := range group {
		if results[i].Status == ledger.Rejected && !(giveUp && w.Urgent) {
			again = append(again, w)
			continue
		}
		final = append(final, w)
		finalResults = append(finalResults, results[i])
	}
	p.report(final, finalResults)
	return again
}

// reportVersion hands the version of a transaction that was sent at sentAt to the horizon of the jobs:
// rows that were stored before it have lower ones.
func (p *partitionWriter) reportVersion(results []ledger.WriteResult, sentAt time.Time) {
	var newest uint64
	for _, r := range results {
		if r.Status == ledger.Applied {
			newest = max(newest, r.Version)
		}
	}
	if newest > 0 {
		p.entry.post(func(_ *core.Core, now time.Time) { p.entry.durable.takeVersion(now, newest, sentAt) })
	}
}

func allRejected(results []ledger.WriteResult) bool {
	for _, r := range results {
		if r.Status != ledger.Rejected {
			return false
		}
	}
	return true
}

// reportAll reports the same status for all writes.
func (p *partitionWriter) reportAll(writes []ledger.Write, status ledger.WriteStatus) {
	results := make([]ledger.WriteResult, len(writes))
	for i := range results {
		results[i].Status = status
	}
	p.report(writes, results)
}

// report hands the results of writes to the ledger, in the event loop.
func (p *partitionWriter) report(writes []ledger.Write, results []ledger.WriteResult) {
	if len(writes) == 0 {
		return
	}
	p.entry.post(func(_ *core.Core, now time.Time) {
		for i, w := range writes {
			p.entry.durable.ledger.HandleWriteResult(now, w, results[i])
		}
	})
}
