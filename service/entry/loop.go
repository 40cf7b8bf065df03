package entry

import (
	"context"
	"time"

	"peridotpick.example/core/claim"
	"peridotpick.example/core/dispatch"
	"peridotpick.example/service/eventloop"
	"peridotpick.example/wire"
)

// post queues an event for the event loop, unless the entry has stopped.
func (e *Entry) post(ev eventloop.Event[*dispatch.Core]) { e.events.Post(ev) }

// statsInterval is the period at which counters are published and links are checked.
const statsInterval = time.Second

// runEventLoop runs the event loop, the only goroutine that uses the core, until ctx ends.
func (e *Entry) runEventLoop(ctx context.Context) error {
	ticker := time.NewTicker(statsInterval)
	defer ticker.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-e.events.Events():
			e.events.HandleBatch(ev, e.core, time.Now())
		case <-timer.C:
		case now := <-ticker.C:
			e.publishStats()
			e.links.checkLinks(now)
		}
		e.flush()
		timer.Reset(e.timeUntilNextTimer())
	}
}

// timeUntilNextTimer returns the time until the core's next timer is due; an hour if there is none.
func (e *Entry) timeUntilNextTimer() time.Duration {
	next := e.core.NextTimer()
	if next.IsZero() {
		return time.Hour
	}
	return max(0, time.Until(next))
}

// flush executes the core's output, repeatedly if executing it gave the core new events.
func (e *Entry) flush() {
	for {
		now := time.Now()
		if hasNewEvents := e.perform(e.core.Flush(now), now); !hasNewEvents {
			return
		}
	}
}

// perform executes one output of the core. It reports whether the core got new events meanwhile.
func (e *Entry) perform(out dispatch.Output, now time.Time) (hasNewEvents bool) {
	for _, send := range out.Sends {
		e.links.send(send.Link, send.Msg)
	}
	for _, answer := range out.Answers {
		if waiter := e.waiters[answer.Request]; waiter != nil {
			delete(e.waiters, answer.Request)
			waiter <- answer.Outcome
		}
	}
	if len(out.Writes) > 0 && !e.claims.Enqueue(out.Writes) {
		e.reportNotSent(out.Writes, now)
		hasNewEvents = true
	}
	for _, submission := range out.Reads {
		if !e.startRead(submission) {
			e.core.ClaimRead(now, submission, false, nil, 0)
			hasNewEvents = true
		}
	}
	for _, req := range out.OwnerQueries {
		go e.awaitOwner(req)
	}
	for _, dial := range out.Dials {
		e.links.connect(dial.ID, dial.Address)
	}
	e.logDecisions(out.Decisions)
	return hasNewEvents
}

// reportNotSent reports claim writes to the core as not sent.
func (e *Entry) reportNotSent(writes []claim.Write, now time.Time) {
	for _, w := range writes {
		e.core.ClaimWritten(now, claim.Result{Submission: w.Row.Submission, Nonce: w.Row.Nonce, Status: claim.NotSent})
	}
}

// startRead reads a claim in a goroutine. It reports false, without effect, if maxClaimReads reads
// are running already.
func (e *Entry) startRead(submission string) bool {
	select {
	case e.claimReads <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-e.claimReads }()
		row, version, err := e.claims.Read(e.work, submission)
		e.post(func(core *dispatch.Core, now time.Time) {
			core.ClaimRead(now, submission, err == nil, row, version)
		})
	}()
	return true
}

// handleWriteResults hands the results of claim writes to the core.
func (e *Entry) handleWriteResults(results []claim.Result) {
	e.post(func(core *dispatch.Core, now time.Time) {
		for _, r := range results {
			core.ClaimWritten(now, r)
		}
	})
}

// submit hands a request to the core and waits for its outcome; nil means that it still runs.
func (e *Entry) submit(r *dispatch.Request) *wire.Outcome {
	waiter := make(chan *wire.Outcome, 1)
	e.post(func(core *dispatch.Core, now time.Time) {
		e.waiters[r.ID] = waiter
		core.Submit(now, r)
	})
	select {
	case outcome := <-waiter:
		return outcome
	case <-e.work.Done():
		return stoppedOutcome()
	}
}

// awaitOutcome waits for the outcome of a submission that this entry owns, after canceling it if
// cancel is set. ok is false if this entry does not own it; the outcome is nil if the submission did
// not end within wait.
func (e *Entry) awaitOutcome(submission string, wait time.Duration, cancel bool) (outcome *wire.Outcome, ok bool) {
	id := e.nextID()
	waiter := make(chan *wire.Outcome, 1)
	known := make(chan bool, 1)
	e.post(func(core *dispatch.Core, now time.Time) {
		if !core.AddWaiter(submission, id) {
			known <- false
			return
		}
		e.waiters[id] = waiter
		if cancel {
			core.Cancel(now, submission)
		}
		known <- true
	})
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case ok := <-known:
		if !ok {
			return nil, false
		}
	case <-e.work.Done():
		return nil, false
	}
	select {
	case outcome := <-waiter:
		return outcome, true
	case <-timer.C:
		e.post(func(core *dispatch.Core, _ time.Time) {
			delete(e.waiters, id)
			core.RemoveWaiter(submission, id)
		})
		return nil, true
	case <-e.work.Done():
		return nil, false
	}
}

// logDecisions logs one line for each decision.
func (e *Entry) logDecisions(decisions []dispatch.Decision) {
	for i := range decisions {
		d := &decisions[i]
		line := e.routeLog.Info()
		if line == nil {
			return
		}
		line.Str("submission", d.Submission).Uint32("task", d.Task).Uint32("attempt", d.Attempt)
		if d.Agent.Agent != "" {
			line.Str("agent", d.Agent.Agent).Dur("expected", d.ExpectedTime)
		}
		if d.RunnerUp.Agent != "" {
			line.Str("runnerUp", d.RunnerUp.Agent).Dur("runnerUpExpected", d.RunnerUpExpectedTime)
		}
		if d.Reason != 0 {
			line.Stringer("reason", d.Reason)
		}
		line.Msg("route: " + string(d.Kind))
	}
}

// ownerWait bounds the time for which the owner of a submission is asked to wait for the outcome.
const ownerWait = 5 * time.Second

// awaitOwner asks the owner of a submission for its outcome and reports the answer to the core.
func (e *Entry) awaitOwner(req dispatch.OwnerQuery) {
	status, reply := e.askOwner(req)
	e.post(func(core *dispatch.Core, now time.Time) {
		core.PeerReplied(now, req.Submission, req.Owner.Incarnation, status, reply)
	})
}

// askOwner asks the owner of a submission for its outcome. The status is PeerRefused if the owner's
// incarnation has certainly ended; the reply is nil unless the status is PeerAnswered.
func (e *Entry) askOwner(req dispatch.OwnerQuery) (dispatch.PeerStatus, *wire.AwaitReply) {
	dialCtx, cancelDial := context.WithTimeout(e.work, dialTimeout)
	defer cancelDial()
	conn, err := e.deps.Transport.Dial(dialCtx, req.Owner.Address)
	if err != nil {
		if isConnectionRefused(err) {
			return dispatch.PeerRefused, nil
		}
		return dispatch.PeerTimedOut, nil
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(e.work, ownerWait+dialTimeout)
	defer cancel()
	reply, err := wire.Await(ctx, conn, &wire.AwaitRequest{
		Submission: req.Submission, Incarnation: req.Owner.Incarnation, Cancel: req.Cancel, Wait: ownerWait,
	})
	switch {
	case err != nil:
		return dispatch.PeerTimedOut, nil
	case reply.Incarnation != req.Owner.Incarnation:
		return dispatch.PeerRefused, nil
	}
	return dispatch.PeerAnswered, reply
}
