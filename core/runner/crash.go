package runner

import (
	"peridotpick.example/common/room"
	"peridotpick.example/wire/runs"
)

// A task may crash each worker that starts it. Its entry counts the workers that were lost
// under each task. To tell such a task from those that ran beside it, a crash is put down
// to the run that had begun last, and a task that is suspected already runs apart from
// other suspects, or alone.

// lostReason tells why the runs of the present incarnation are over.
func (c *Core) lostReason() runs.Reason {
	if c.worker.info.Draining || !c.worker.leftAt.IsZero() {
		return runs.NoWorker // it has said that it leaves
	}
	return runs.Crashed
}

// markSuspects marks the run to which the loss of the worker is put down, if that is a
// crash: the last that has certainly begun.
func (c *Core) markSuspects() {
	if c.lostReason() != runs.Crashed {
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

// lostEnd is the end of a run that was lost with its worker. A start without an answer may
// have found the worker gone: that is no crash under it, unless it was to be alone there.
func (c *Core) lostEnd(r *run, how runs.How, reason runs.Reason) runs.End {
	end := runs.End{Key: r.key, How: how, Reason: reason}
	if reason != runs.Crashed {
		return end
	}
	began, alone := !r.confirmedAt.IsZero(), r.start.Suspicion == runs.Alone
	if !began && !alone {
		end.Reason = runs.Lapsed
		return end
	}
	end.Suspect = r.suspect || alone
	return end
}

// lapsedEnd is an end by a lease that ran out while the worker was out of reach: whether it
// has crashed shows when it is back.
type lapsedEnd struct {
	end   runs.End
	owner runs.Entry
}

// rememberLapsed keeps the present runs for the time when the worker is back.
func (c *Core) rememberLapsed() {
	for r := range c.runs.Values() {
		if r.phase != phaseWaiting && !r.orphan && !r.confirmedAt.IsZero() {
			c.lapsedEnds = append(c.lapsedEnds, lapsedEnd{c.lostEnd(r, runs.Gone, runs.Crashed), r.owner})
		}
	}
}

// settleLapsed tells entries that the worker had crashed, if it had: it is back as another
// incarnation then.
func (c *Core) settleLapsed(crashed bool) {
	for _, l := range c.lapsedEnds {
		if crashed {
			c.tellLost(l.owner, l.end)
		}
	}
	c.lapsedEnds = nil
}

// tellLost tells the owner of a run that it was lost with its worker, or all entries if the
// owner is gone: another one may have taken its job over.
func (c *Core) tellLost(owner runs.Entry, end runs.End) {
	if c.linked(owner) {
		c.tellEnd(owner, end)
		return
	}
	for l := range c.links.Values() {
		l.out.Ends = append(l.out.Ends, end)
		l.dirty = true
	}
}

// gate tells which suspects may start beside what runs.
type gate struct {
	// running is the number of runs at the worker, suspects that of suspected ones.
	running, suspects int
	// closed is set while a run is there that nothing may run beside.
	closed bool
}

func (c *Core) newGate() gate {
	var g gate
	for r := range c.runs.Values() {
		if r.phase != phaseWaiting {
			g.pass(r.start.Suspicion)
		}
	}
	return g
}

// pass counts a run that starts, or is there.
func (g *gate) pass(s runs.Suspicion) {
	g.running++
	if s != runs.Trusted {
		g.suspects++
	}
	g.closed = g.closed || s == runs.Alone
}

// admits reports whether a run may start.
func (g *gate) admits(s runs.Suspicion) bool {
	switch {
	case g.closed:
		return false
	case s == runs.Alone:
		return g.running == 0
	case s == runs.Apart:
		return g.suspects == 0
	}
	return true
}

// roomBeside returns the room that is left beside what runs, which is none beside a run
// that has to be alone.
func (c *Core) roomBeside(left room.Room) room.Room {
	if g := c.newGate(); g.closed {
		return room.Room{}
	}
	return left
}
