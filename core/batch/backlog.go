package batch

import (
	"sort"
	"time"
)

const (
	// durableAhead is the longest expected wait for room with which a durable task
	// is sent to an agent. What waits longer stays here, where order can change.
	durableAhead = 30 * time.Millisecond
	// durablePatience is how long such a run may wait at its agent.
	durablePatience = 2 * time.Second
	// backlogEvery is the shortest time between two walks of the backlog, and
	// backlogMisses the number of jobs without room after which a walk ends: under
	// overload each walk would otherwise cost a comparison of all jobs and workers.
	backlogEvery  = 10 * time.Millisecond
	backlogMisses = 6
	// priorityStep is the waiting time that makes up for one step of priority, so
	// that less urgent queues get on, too.
	priorityStep = 2 * time.Second
)

// mayStart reports whether tasks of a job may be started now.
func (c *Core) mayStart(j *job) bool {
	d := j.durable
	return d == nil || c.now.Before(c.ownedUntil) && !c.now.Before(d.safeAt)
}

// placeDurable sends those tasks of a job out that will soon have room. It reports
// whether none is left.
func (c *Core) placeDurable(j *job) bool {
	if !c.mayStart(j) {
		return false
	}
	p := c.planWithin(j, durableAhead)
	if len(p.places) > 0 && j.durable.state == JobQueued {
		j.durable.state = JobRunning
		c.changed(j, recordBegin)
	}
	c.carryOut(p)
	return p.missing == 0 && !p.held
}

// placeBacklog places tasks of durable jobs, the most urgent first.
func (c *Core) placeBacklog() {
	if c.now.Sub(c.backlogAt) < backlogEvery {
		return
	}
	c.backlogAt = c.now
	c.walks++
	var waiting []backlogged
	for j := range c.jobs.Values() {
		if j.durable != nil && !j.ended && c.mayStart(j) && j.hasWaiting() {
			waiting = append(waiting, backlogged{job: j, use: c.useOf(j), turn: j.turn()})
		}
	}
	sort.SliceStable(waiting, func(i, k int) bool { return waiting[i].goesBefore(waiting[k]) })
	misses := 0
	for _, w := range waiting {
		if !c.placeDurable(w.job) {
			misses++
		}
		if misses >= backlogMisses {
			break
		}
	}
	c.backlogged = misses > 0
}

// use tells what a job's end is still good for.
type use uint8

const (
	// inAim jobs can still end within their objective, usable ones soon after.
	inAim use = iota
	usable
	// outlived jobs end too late for their callers' purpose. They were accepted, so
	// they are run, but not before others that would become late as well.
	outlived
)

// outlivedTurn is the number of walks of which one begins with the jobs that have
// outlived their use, so that they get on under lasting overload, too.
const outlivedTurn = 8

func (c *Core) useOf(j *job) use {
	switch slack := j.slackLeft(c.now); {
	case slack >= 0:
		return inAim
	case slack >= -(lateFactor-1)*j.objective:
		return usable
	}
	if c.walks%outlivedTurn == 0 {
		return inAim
	}
	return outlived
}

// backlogged is a durable job with tasks that wait for room.
type backlogged struct {
	job  *job
	use  use
	turn time.Time
}

// goesBefore orders the backlog. The load it answers: after an outage of the store or
// the loss of an entry seconds of work wait; first come, first served would then make
// all later jobs late as well, for as long as the load is near the room there is.
func (b backlogged) goesBefore(other backlogged) bool {
	if b.use != other.use {
		return b.use < other.use
	}
	return b.turn.Before(other.turn)
}

// turn orders jobs of the same use.
func (j *job) turn() time.Time {
	return j.arrived.Add(j.objective + time.Duration(j.queue.Priority)*priorityStep)
}
