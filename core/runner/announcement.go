package runner

import (
	"time"

	"peridotpick.example/wire/runs"
)

// Announcements of the worker describe it: its service, labels and capacity, and whether it drains.
// They may arrive late and out of order, and other software may send some. An announcement tells the
// worker's clock at the time it was sent, and the worker tells the same clock in its answers, which
// nobody else can send. So:
//   - One whose clock is ahead of the worker's is not the worker's. If that is in doubt the worker is
//     polled, and the announcement waits for the answer.
//   - One whose clock is behind that of another one is late and changes nothing.
//   - One that says that the worker drains takes effect at once. If it is not the worker's, the next
//     one that is takes the worker back into use.
//
// An announcement that says nothing new is not judged, so that an idle worker is not polled.

// clockTolerance is how far ahead, in ms, the clock of an announcement may be of the highest value that
// the worker's clock can show.
const clockTolerance = 100

// announcement is an announcement of an incarnation of the worker.
type announcement struct {
	info runs.Worker
	// clock is the worker's clock in ms, as announced.
	clock      int64
	receivedAt time.Time
}

// clockUpperBound returns the highest value that the worker's clock may show now, in ms. A poll must
// have been answered.
func (w *workerState) clockUpperBound(now time.Time) int64 {
	since := float64(now.Sub(w.answeredPollAt).Milliseconds()) * (1 + maxClockDrift)
	return w.polledClock + int64(since) + clockTolerance
}

// isBelievable reports whether the worker can have sent an announcement.
func (w *workerState) isBelievable(a *announcement, now time.Time) bool {
	return w.polledClock > 0 && a.clock <= w.clockUpperBound(now)
}

// WorkerAnnounced handles an announcement of the worker with a reading of its clock in ms. It
// returns false if the announced incarnation is retired.
func (c *Core) WorkerAnnounced(now time.Time, info runs.Worker, clock int64) bool {
	c.now = now
	a := &announcement{info: info, clock: clock, receivedAt: now}
	switch {
	case c.retired.has(info.Incarnation()):
		return false
	case !c.worker.known:
		c.startIncarnation(info, a)
	case c.worker.info.Incarnation() != info.Incarnation():
		c.worker.candidate = a
	default:
		c.receiveAnnouncement(a)
	}
	return true
}

// receiveAnnouncement handles an announcement of the present incarnation.
func (c *Core) receiveAnnouncement(a *announcement) {
	w := &c.worker
	if w.pending == nil && !w.unannounced && a.info.Equal(&w.info) {
		return
	}
	if a.info.Draining && !w.info.Draining {
		w.info.Draining = true
		c.refuseWaiting(runs.ReasonDraining)
	}
	w.pending = a
	c.judgeAnnouncement()
}

// judgeAnnouncement decides about the pending announcement, unless a poll has to be answered first.
func (c *Core) judgeAnnouncement() {
	w := &c.worker
	a := w.pending
	if a == nil || w.polledClock == 0 {
		return
	}
	believable := w.isBelievable(a, c.now) && w.hasFreshClock(c.now)
	if !believable && w.answeredPollAt.Before(a.receivedAt) {
		return // the answer to a poll that is sent from now on will tell
	}
	w.pending = nil
	switch {
	case !believable:
		w.unannounced = w.unannounced || w.announcedClock == 0 && w.unjudged
		c.logAnnouncement("announcement of another clock", a)
	case a.clock < w.announcedClock, a.clock == w.announcedClock && w.info.Draining && !a.info.Draining:
		c.logAnnouncement("announcement late", a)
	default:
		w.announcedClock = a.clock
		c.applyAnnouncement(&a.info)
	}
	w.unjudged = false
}

// applyAnnouncement takes the description of the worker from an announcement.
func (c *Core) applyAnnouncement(info *runs.Worker) {
	w := &c.worker
	w.unannounced = false
	w.info = *info
	c.refuseUnfitting()
	c.out.Announced = &w.info
}

// logAnnouncement records that an announcement was not followed.
func (c *Core) logAnnouncement(event string, a *announcement) {
	c.out.Decisions = append(c.out.Decisions, Decision{
		Event: event, Worker: a.info.Incarnation(), Previous: c.worker.info.Incarnation(), Age: c.now.Sub(a.receivedAt),
		Clock: a.clock, WorkerClock: c.worker.clock,
	})
}
