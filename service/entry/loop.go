package entry

import (
	"context"
	"time"

	"peridotpick.example/core/claim"
	"peridotpick.example/core/dispatch"
	"peridotpick.example/service/eventloop"
	"peridotpick.example/wire"
)

// post hands an event to the loop, unless the entry has stopped.
func (e *Entry) post(ev eventloop.Event[*dispatch.Core]) { e.events.Post(ev) }

// statsEvery is how often counters are published and links are looked at.
const statsEvery = time.Second

// loop owns the core.
func (e *Entry) loop(ctx context.Context) error {
	ticker := time.NewTicker(statsEvery)
	defer ticker.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-e.events.Next():
			e.events.Take(ev, e.core, time.Now())
		case <-timer.C:
		case now := <-ticker.C:
			e.publish()
			e.links.heartbeats(now)
		}
		e.flush()
		timer.Reset(e.untilTimer())
	}
}

func (e *Entry) untilTimer() time.Duration {
	next := e.core.NextTimer()
	if next.IsZero() {
		return time.Hour
	}
	return max(0, time.Until(next))
}

// flush carries out what the core asks for, until it asks for nothing more.
func (e *Entry) flush() {
	for {
		now := time.Now()
		if again := e.perform(e.core.Flush(now), now); !again {
			return
		}
	}
}

// perform carries out one output. It reports whether the core has new events
// to act on.
func (e *Entry) perform(out dispatch.Output, now time.Time) (again bool) {
	for _, send := range out.Sends {
		e.links.send(send.Link, send.Msg)
	}
	for _, answer := range out.Answers {
		if waiting := e.pending[answer.Request]; waiting != nil {
			delete(e.pending, answer.Request)
			waiting <- answer.Outcome
		}
	}
	if len(out.Writes) > 0 && !e.claims.Write(out.Writes) {
		e.unsent(out.Writes, now)
		again = true
	}
	for _, submission := range out.Reads {
		if !e.startRead(submission) {
			e.core.ClaimRead(now, submission, false, nil, 0)
			again = true
		}
	}
	for _, ask := range out.Awaits {
		go e.awaitPeer(ask)
	}
	for _, dial := range out.Dials {
		e.links.connect(dial.ID, dial.Address)
	}
	e.logDecisions(out.Decisions)
	return again
}

func (e *Entry) unsent(writes []claim.Write, now time.Time) {
	for _, w := range writes {
		e.core.ClaimWritten(now, claim.Result{Submission: w.Row.Submission, Nonce: w.Row.Nonce, Status: claim.NotSent})
	}
}

// startRead looks a claim up in the background. It reports false if too many
// look-ups are under way.
func (e *Entry) startRead(submission string) bool {
	select {
	case e.reads <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-e.reads }()
		row, version, err := e.claims.Read(e.work, submission)
		e.post(func(core *dispatch.Core, now time.Time) {
			core.ClaimRead(now, submission, err == nil, row, version)
		})
	}()
	return true
}

// claimsWritten receives the fates of claim writes.
func (e *Entry) claimsWritten(results []claim.Result) {
	e.post(func(core *dispatch.Core, now time.Time) {
		for _, r := range results {
			core.ClaimWritten(now, r)
		}
	})
}

// submit hands a request to the core and waits for its answer.
func (e *Entry) submit(r *dispatch.Request) *wire.Outcome {
	waiting := make(chan *wire.Outcome, 1)
	e.post(func(core *dispatch.Core, now time.Time) {
		e.pending[r.ID] = waiting
		core.Submit(now, r)
	})
	select {
	case outcome := <-waiting:
		return outcome
	case <-e.work.Done():
		return stopped()
	}
}

// watch waits for the end of a submission that this entry owns; ok is false
// if it does not, and the outcome is nil if it did not end in time.
func (e *Entry) watch(submission string, wait time.Duration, cancel bool) (outcome *wire.Outcome, ok bool) {
	id := e.nextID()
	waiting := make(chan *wire.Outcome, 1)
	known := make(chan bool, 1)
	e.post(func(core *dispatch.Core, now time.Time) {
		if !core.Watch(submission, id) {
			known <- false
			return
		}
		e.pending[id] = waiting
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
	case outcome := <-waiting:
		return outcome, true
	case <-timer.C:
		e.post(func(core *dispatch.Core, _ time.Time) {
			delete(e.pending, id)
			core.Unwatch(submission, id)
		})
		return nil, true
	case <-e.work.Done():
		return nil, false
	}
}

// logDecisions writes one line for each decision.
func (e *Entry) logDecisions(decisions []dispatch.Decision) {
	for i := range decisions {
		d := &decisions[i]
		line := e.routeLog.Info()
		if line == nil {
			return
		}
		line.Str("submission", d.Submission).Uint32("task", d.Task).Uint32("attempt", d.Attempt)
		if d.Agent.Agent != "" {
			line.Str("agent", d.Agent.Agent).Dur("expected", d.Finish)
		}
		if d.RunnerUp.Agent != "" {
			line.Str("runnerUp", d.RunnerUp.Agent).Dur("runnerUpExpected", d.RunnerUpFinish)
		}
		if d.Reason != 0 {
			line.Stringer("reason", d.Reason)
		}
		line.Msg("route: " + string(d.Kind))
	}
}

// awaitWait bounds one question to the owner of a submission.
const awaitWait = 5 * time.Second

// awaitPeer asks the owner of a submission for its outcome.
func (e *Entry) awaitPeer(ask dispatch.PeerAwait) {
	fate, reply := e.askPeer(ask)
	e.post(func(core *dispatch.Core, now time.Time) {
		core.PeerReplied(now, ask.Submission, ask.Owner.Incarnation, fate, reply)
	})
}

func (e *Entry) askPeer(ask dispatch.PeerAwait) (dispatch.PeerFate, *wire.AwaitReply) {
	dialing, cancelDial := context.WithTimeout(e.work, dialTimeout)
	defer cancelDial()
	conn, err := e.deps.Transport.Dial(dialing, ask.Owner.Address)
	if err != nil {
		if refused(err) {
			return dispatch.PeerRefused, nil
		}
		return dispatch.PeerSilent, nil
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(e.work, awaitWait+dialTimeout)
	defer cancel()
	reply, err := wire.Await(ctx, conn, &wire.AwaitRequest{
		Submission: ask.Submission, Incarnation: ask.Owner.Incarnation, Cancel: ask.Cancel, Wait: awaitWait,
	})
	switch {
	case err != nil:
		return dispatch.PeerSilent, nil
	case reply.Incarnation != ask.Owner.Incarnation:
		return dispatch.PeerRefused, nil
	}
	return dispatch.PeerAnswered, reply
}
