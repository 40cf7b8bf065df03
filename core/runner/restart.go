package runner

import (
	"slices"
	"time"

	"peridotpick.example/common/ordered"
	"peridotpick.example/wire/runs"
)

// A backend server may start again under the ID that it had. An order that names the ID
// alone then reaches the new incarnation, which has seen no fencing token, and whose
// clock and numbers of ends begin anew. What follows from it:
//   - An incarnation is an ID and the time of its start. The worker's lists tell both.
//   - While the worker may have started again it is asked who it is, without a lease and
//     without leave to forget ends: both would be in terms of the former incarnation.
//   - The token for the new incarnation is above that for the former, so that no order for
//     the former has an effect once the new one was looked at. What ran, or may have been
//     started, under the former is over only then, unless the new one lists it.

// livesKept bounds the incarnations that are remembered as over: words of them come late
// for some seconds.
const livesKept = 64

// lives remembers incarnations that are over, the latest of them.
type lives struct {
	known map[runs.Life]bool
	order []runs.Life
}

func (l *lives) add(life runs.Life) {
	if l.known[life] {
		return
	}
	if l.known == nil {
		l.known = make(map[runs.Life]bool)
	}
	l.known[life] = true
	l.order = append(l.order, life)
	if len(l.order) > livesKept {
		delete(l.known, l.order[0])
		l.order = l.order[1:]
	}
}

func (l *lives) has(life runs.Life) bool { return l.known[life] }

// hasID reports whether an incarnation under an ID is over.
func (l *lives) hasID(id string) bool {
	return slices.ContainsFunc(l.order, func(life runs.Life) bool { return life.ID == id })
}

// mayHaveRestarted reports whether the server may have started again under its ID since it
// last told who it is.
func (c *Core) mayHaveRestarted() bool {
	w := &c.worker
	return w.info.Born != 0 && (w.doubted || w.unanswered > 0 || w.candidate.ID == w.info.ID)
}

// clockJump is a step of the worker's clock, in ms, that an answer which lay for a while
// cannot explain: it is the clock of another incarnation.
const clockJump = 60_000

// readAnswer takes the reading of the worker's clock in an answer to an order. If it is
// that of another clock the worker is asked who it is.
func (c *Core) readAnswer(clock int64) {
	w := &c.worker
	if w.info.Born != 0 && w.clock != 0 && clock != 0 && (clock < w.clock-clockJump || clock > w.earliest(c.now)+clockJump) {
		w.doubted = true
		return
	}
	w.read(c.now, clock)
}

// restarted handles that the server answers in another incarnation under the same ID.
// Until that announces itself nothing is known of it but what it lists.
func (c *Core) restarted(a Answer) {
	former := c.worker
	next := former.info
	next.Born = a.Born
	announced := former.candidate.ID != "" && former.candidate.Life() == next.Life()
	if announced {
		next = former.candidate
	}
	c.retire(former.info.Life())
	c.markSuspects()
	crashed := c.lostReason()
	c.settleLapsed(crashed == runs.Crashed)
	c.refuseWaiting(runs.NoWorker)
	c.held = ordered.Map[int64, *heldEnd]{} // what the former one listed is gone with it
	c.worker = workerState{
		info: next, known: true, again: true, unannounced: !announced, epoch: former.epoch + 1, token: max(a.Clock, former.token+1),
		formerLease: formerLeases * c.settings.WorkerLease.Milliseconds(),
	}
	c.worker.read(c.now, a.Clock)
	c.pace = pace{}
	for r := range c.runs.Values() {
		if r.phase == phaseOrdered {
			r.phase = phaseDoubtful
		}
		r.lost = crashed
	}
	c.noteLife("worker restarted", former.info.Life())
	c.workerChanged()
}

// strandedAnswered handles the answer to a start that was on its way when the worker was
// lost. If it was carried out, that may have been by the next incarnation.
func (c *Core) strandedAnswered(r *run, a Answer) {
	if a.Verdict != Accepted {
		c.finish(r, c.lostEnd(r, runs.Stopped, r.lost))
		return
	}
	r.phase = phaseDoubtful
}

// expireStranded ends runs whose worker has not come back: their leases are over.
func (c *Core) expireStranded() {
	for r := range c.runs.Values() {
		if r.stranded && c.now.Sub(r.orderedAt) > c.longestLease()+strandedSlack {
			c.finish(r, runs.End{Key: r.key, How: runs.Gone, Reason: runs.NoWorker})
		}
	}
}

// strandedSlack covers the time of a call and a slow clock of the worker.
const strandedSlack = time.Second

// longestLease is the longest lease that a worker may take.
func (c *Core) longestLease() time.Duration {
	return max(c.settings.LongestLease, formerLeases*c.settings.WorkerLease)
}

// promiseLongest counts on the longest lease if a new incarnation under a known ID holds
// something already: it carried out what was meant for the former one, in terms of
// another clock.
func (c *Core) promiseLongest(l Listing) {
	if c.worker.again && len(l.Running)+len(l.Ended) > 0 {
		c.worker.promised(c.worker.clock + c.longestLease().Milliseconds())
	}
}

func (c *Core) noteLife(event string, former runs.Life) {
	c.out.Notes = append(c.out.Notes, Note{Event: event, Worker: c.worker.info.Life(), Former: former})
}
