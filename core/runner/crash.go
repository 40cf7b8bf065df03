package runner

import (
	"peridotpick.example/common/room"
	"peridotpick.example/wire/runs"
)

// A task may crash every worker that starts it. Its entry counts the workers that were lost while
// the task ran there. To tell such a task from those that ran beside it, a crash is blamed on the
// run that started last, and a task that is already suspected runs apart from other suspects, or
// alone.

// currentLossReason returns the reason with which the runs of the present incarnation end if it
// is over.
func (c *Core) currentLossReason() runs.Reason {
	if c.worker.info.Draining || !c.worker.leavingSince.IsZero() {
		return runs.ReasonNoWorker // it announced that it leaves
	}
	return runs.ReasonWorkerCrashed
}

// markSuspect marks the run on which the loss of the worker is blamed, if that is a crash: the
// last one that has certainly started.
func (c *Core) markSuspect() {
	if c.currentLossReason() != runs.ReasonWorkerCrashed {
		return
	}
	var last *run
	for r := range c.runs.Values() {
		if r.phase == phaseRunning && (last == nil || r.confirmedAt.After(last.confirmedAt)) {
			last = r
		}
	}
	if last != nil {
		last.suspect = true
	}
}

// lossEnd returns the end of a run that was lost with its worker. If its start got no answer, the
// worker may have crashed before the start arrived: the run is not blamed then, unless it had to
// run alone.
func (c *Core) lossEnd(r *run, outcome runs.Outcome, reason runs.Reason) runs.End {
	end := runs.End{Key: r.key, Outcome: outcome, Reason: reason}
	if reason != runs.ReasonWorkerCrashed {
		return end
	}
	began, alone := !r.confirmedAt.IsZero(), r.start.Isolation == runs.IsolationExclusive
	if !began && !alone {
		end.Reason = runs.ReasonLeaseExpired
		return end
	}
	end.Suspect = r.suspect || alone
	return end
}

// expiredEnd is an end by expiry of the lease while the worker was unreachable. Whether the
// worker had crashed is known once it answers again.
type expiredEnd struct {
	end   runs.End
	owner runs.Entry
}

// keepExpiredEnds keeps the ends of the present runs until the worker answers again.
func (c *Core) keepExpiredEnds() {
	for r := range c.runs.Values() {
		if r.phase != phaseWaiting && !r.orphan && !r.confirmedAt.IsZero() {
			c.expiredEnds = append(c.expiredEnds, expiredEnd{c.lossEnd(r, runs.OutcomeGone, runs.ReasonWorkerCrashed), r.owner})
		}
	}
}

// resolveExpiredEnds handles that the worker answers again. If it had crashed, it is another
// incarnation now, and the entries receive the expired ends as crashes.
func (c *Core) resolveExpiredEnds(crashed bool) {
	for _, e := range c.expiredEnds {
		if crashed {
			c.sendLoss(e.owner, e.end)
		}
	}
	c.expiredEnds = nil
}

// sendLoss sends the end of a run that was lost with its worker to the owner, or to all entries
// if the owner has no link: another one may have taken its job over.
func (c *Core) sendLoss(owner runs.Entry, end runs.End) {
	if c.hasLink(owner) {
		c.sendEnd(owner, end)
		return
	}
	for l := range c.links.Values() {
		l.out.Ends = append(l.out.Ends, end)
		l.dirty = true
	}
}

// isolation tracks which runs may start beside those at the worker.
type isolation struct {
	// running is the number of runs at the worker, suspects the number of suspected ones among
	// them.
	running, suspects int
	// exclusive is set while a run is there that must run alone.
	exclusive bool
}

// newIsolation returns the isolation with the runs at the worker.
func (c *Core) newIsolation() isolation {
	var i isolation
	for r := range c.runs.Values() {
		if r.phase != phaseWaiting {
			i.add(r.start.Isolation)
		}
	}
	return i
}

// add counts a run that is at the worker or starts there.
func (i *isolation) add(s runs.Isolation) {
	i.running++
	if s != runs.IsolationNone {
		i.suspects++
	}
	i.exclusive = i.exclusive || s == runs.IsolationExclusive
}

// admits reports whether a run that needs the given isolation may start.
func (i *isolation) admits(s runs.Isolation) bool {
	switch {
	case i.exclusive:
		return false
	case s == runs.IsolationExclusive:
		return i.running == 0
	case s == runs.IsolationFromSuspects:
		return i.suspects == 0
	}
	return true
}

// isolatedCapacity returns the given free capacity, or none while a run must be alone.
func (c *Core) isolatedCapacity(left room.Resources) room.Resources {
	if i := c.newIsolation(); i.exclusive {
		return room.Resources{}
	}
	return left
}
