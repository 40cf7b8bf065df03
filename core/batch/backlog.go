package batch

import (
	"sort"
	"time"
)

const (
	// maxDurableWait is the longest expected wait for resources with which a durable task is sent
	// to an agent. Tasks that would wait longer stay in the entry, where their order can still
	// change.
	maxDurableWait = 30 * time.Millisecond
	// durableStartTimeout is how long a durable run may wait for its start at an agent.
	durableStartTimeout = 2 * time.Second
	// backlogScanInterval is the shortest time between two scans of the backlog, and
	// backlogScanMisses the number of jobs that find no capacity after which a scan ends. Under
	// overload each scan would otherwise compare all jobs with all workers.
	backlogScanInterval = 10 * time.Millisecond
	backlogScanMisses   = 6
	// priorityStepWait is the waiting time that outweighs one step of priority, so that queues of
	// lower priority make progress too.
	priorityStepWait = 2 * time.Second
)

// canStart reports whether tasks of a durable job may be started now. Its ownership must be
// confirmed, the runs of previous owners must be over, and it must be stored that this owner starts
// tasks; see recordStart.
func (c *Core) canStart(j *job) bool {
	d := j.durable
	return c.isSafe(d) && !d.needsStartRecord() && d.startRecord <= d.storedSeq
}

// isSafe reports whether the ownership of a durable job is confirmed, also since the last suspension, the runs of
// previous owners are over, and the job is not on hold.
func (c *Core) isSafe(d *durable) bool {
	return !d.onHold && c.now.Before(c.ownershipUntil) && !c.storeReadAt.Before(c.resumedAt) && !c.now.Before(d.safeAt)
}

// placeDurable starts the tasks of a durable job that are expected to get resources soon. It
// reports whether no task that may start is left.
func (c *Core) placeDurable(j *job) bool {
	if !c.canStart(j) {
		return false
	}
	if j.durable.outOfNumbers {
		c.StopLost(c.now, j.name)
		c.out.OutOfNumbers = append(c.out.OutOfNumbers, j.name)
		return false
	}
	p := c.planWithin(j, maxDurableWait)
	if len(p.placements) > 0 && j.durable.state == JobQueued {
		j.durable.state = JobRunning
		c.scheduleRecord(j, beginRecordDelay)
	}
	c.startPlan(p)
	return p.missing == 0 && !p.truncated
}

// placeBacklog starts waiting tasks of durable jobs, the most urgent jobs first.
func (c *Core) placeBacklog() {
	if c.now.Sub(c.backlogScannedAt) < backlogScanInterval {
		return
	}
	c.backlogScannedAt = c.now
	c.backlogScans++
	var waiting []waitingJob
	for j := range c.jobs.Values() {
		if j.durable == nil || j.ended || !c.isSafe(j.durable) || !j.hasWaitingTask() {
			continue
		}
		if j.durable.needsStartRecord() {
			c.recordStart(j)
		}
		if c.canStart(j) {
			waiting = append(waiting, waitingJob{job: j, usefulness: c.usefulnessOf(j), virtualDeadline: j.virtualDeadline()})
		}
	}
	sort.SliceStable(waiting, func(i, k int) bool { return waiting[i].isBefore(waiting[k]) })
	misses := 0
	for _, w := range waiting {
		if !c.placeDurable(w.job) {
			misses++
		}
		if misses >= backlogScanMisses {
			break
		}
	}
	c.hasBacklog = misses > 0
}

// usefulness tells whether a job that starts now still ends in time. Lower values go first.
type usefulness uint8

const (
	// meetsObjective jobs can still meet their objective, stillUseful ones can end while their
	// answer is useful.
	meetsObjective usefulness = iota
	stillUseful
	// noLongerUseful jobs end too late for their callers' purpose. They are run because they
	// were accepted, but not before jobs that would become late as well.
	noLongerUseful
)

// noLongerUsefulPeriod is the number of scans of which one treats jobs that are no longer useful
// like those that meet their objective, so that they make progress under a lasting overload.
const noLongerUsefulPeriod = 8

// usefulnessOf returns the usefulness of a job for the current scan.
func (c *Core) usefulnessOf(j *job) usefulness {
	switch slack := j.slackLeft(c.now); {
	case slack >= 0:
		return meetsObjective
	case slack >= -(usefulFactor-1)*j.objective:
		return stillUseful
	}
	if c.backlogScans%noLongerUsefulPeriod == 0 {
		return meetsObjective
	}
	return noLongerUseful
}

// waitingJob is a durable job with tasks that wait for capacity.
type waitingJob struct {
	job             *job
	usefulness      usefulness
	virtualDeadline time.Time
}

// isBefore orders the backlog by usefulness, then by virtual deadline. After an outage of the store
// or the loss of an entry, several seconds of work wait. In order of arrival they would make all
// later jobs late too, for as long as the load stays close to the capacity.
func (w waitingJob) isBefore(other waitingJob) bool {
	if w.usefulness != other.usefulness {
		return w.usefulness < other.usefulness
	}
	return w.virtualDeadline.Before(other.virtualDeadline)
}

// virtualDeadline returns the time by which jobs of the same usefulness are ordered: the end of the
// job's objective, later for queues of lower priority.
func (j *job) virtualDeadline() time.Time {
	return j.arrived.Add(j.objective + time.Duration(j.queue.Priority)*priorityStepWait)
}
