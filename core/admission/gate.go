// Package admission decides which jobs may wait for resources while there are too few of them: who is
// refused at once, and for whom a promise to run late is made.
//
// It serves loads above the capacity that last for seconds. The number of jobs that are served is the
// same whichever are admitted, as long as some work waits for each worker. What is admitted beyond
// that only makes jobs late. So jobs are admitted while the forecast wait is a part of the time that
// they can wait, and a queue gives way to more urgent ones by a shorter permitted wait: it still takes
// resources that nobody waits for.
//
// A Gate is deterministic: it has no clock and does no I/O.
package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// waitShare is the part of its slack that a job may be forecast to wait. The rest is for run
	// times that exceed their estimates, which callers declare only roughly, and for the last task
	// of a job, which may wait longer than the others.
	waitShare = 0.5
	// priorityShare is the permitted wait behind all waiting work relative to that of the next more
	// urgent queue. A queue stops to admit before work of the more urgent one has to be refused.
	priorityShare = 0.75
	// DefaultFloor is the floor of a queue if the operator sets none: callers of less urgent queues
	// may be refused more often, but not so often that their queue is of no use to them.
	DefaultFloor = 0.7
	// halfLife is the time in which the weight of offered work halves: loads change within seconds.
	halfLife = time.Second
	// priorWork is added to the offered work of each queue, in thousandths of a core-second, so that
	// the first refusal of a quiet queue does not count as a loss of everything.
	priorWork = 5000
	// activeWork is the offered work below which a queue counts as silent, so that others do not
	// give way to it.
	activeWork = 1
)

// Queue is what the gate needs to know of a queue.
type Queue struct {
	Name, Service string
	// Priority orders the queues of a service; 0 is the most urgent.
	Priority int
}

// Gate decides on the admission of jobs. It learns from what was offered and served.
type Gate struct {
	// floor is the share of the served work of more urgent queues that a queue keeps.
	floor  float64
	queues map[string]*state
	// shares holds the callers of each service.
	shares map[string]*shares
}

// state is what is known of one queue. Its sums decay with time and are valid as of updatedAt.
type state struct {
	queue Queue
	// offered and lost are sums of work, in thousandths of a core-second.
	offered, lost float64
	// slack is the work-weighted sum of the slack of offered jobs.
	slack     float64
	promises  promises
	updatedAt time.Time
}

// NewGate returns a gate with a floor: the share of the served work of more urgent queues that a less
// urgent one keeps, from 0 to 1.
func NewGate(floor float64) *Gate {
	return &Gate{floor: floor, queues: make(map[string]*state), shares: make(map[string]*shares)}
}

// state returns the state of a queue as of the given time.
func (g *Gate) state(now time.Time, q Queue) *state {
	s := g.queues[q.Name]
	if s == nil {
		s = &state{updatedAt: now}
		g.queues[q.Name] = s
	}
	s.queue = q
	s.decay(now)
	return s
}

func (s *state) decay(now time.Time) {
	rest := math.Exp2(-now.Sub(s.updatedAt).Seconds() / halfLife.Seconds())
	s.offered *= rest
	s.lost *= rest
	s.slack *= rest
	s.updatedAt = now
}

// Job is what the gate needs to know of a job.
type Job struct {
	Queue Queue
	// Caller is who submitted it; empty if that is not known.
	Caller string
	// Work is in thousandths of a core-second.
	Work float64
}

// Offered records a job that a caller has submitted, with the time that it can wait.
func (g *Gate) Offered(now time.Time, j Job, slack time.Duration) {
	s := g.state(now, j.Queue)
	s.offered += j.Work
	s.slack += j.Work * max(slack, 0).Seconds()
	if j.Caller != "" {
		g.sharesOf(j.Queue.Service).demand(now, j.Caller).offered += j.Work
	}
}

// Lost records an offered job that was refused or given up.
func (g *Gate) Lost(now time.Time, j Job) {
	g.state(now, j.Queue).lost += j.Work
	if j.Caller != "" {
		g.sharesOf(j.Queue.Service).demand(now, j.Caller).lost += j.Work
	}
}

// servedShare returns the share of the offered work that was not lost.
func (s *state) servedShare() float64 { return 1 - min(s.lost/(s.offered+priorWork), 1) }

// meanSlack returns how long jobs of a queue can wait, in seconds.
func (s *state) meanSlack() float64 { return s.slack / s.offered }

// Verdict is a decision on a job.
type Verdict uint8

// Verdicts.
const (
	// Admit: the job is expected to meet its objective.
	Admit Verdict = iota
	// NoTime: the job would wait too long.
	NoTime
	// GiveWay: the job leaves the resources to more urgent queues.
	GiveWay
	// OverShare: the caller has got its share, and others ask for theirs.
	OverShare
)

// Forecast is when a job is expected to start.
type Forecast struct {
	// Wait is the time until all its tasks have started, if what arrives later does not pass it.
	Wait time.Duration
	// WaitBehindAll is the same if it starts after everything that waits now.
	WaitBehindAll time.Duration
	// Slack is how long it can wait.
	Slack time.Duration
}

// Decide decides on a job.
func (g *Gate) Decide(now time.Time, j Job, f Forecast) Verdict {
	q := j.Queue
	switch {
	case f.Wait <= 0 && f.Slack >= 0:
		return Admit // it takes resources for which nobody waits
	case float64(f.Wait) > waitShare*float64(f.Slack):
		return NoTime
	case float64(f.Wait) > g.waitFactor(now, j)*waitShare*float64(f.Slack):
		return OverShare
	case f.WaitBehindAll > g.permittedBehindAll(now, q) && g.isAboveFloor(now, q):
		return GiveWay
	}
	return Admit
}

// waitFactor returns the permitted wait of a job relative to that of callers below their share.
func (g *Gate) waitFactor(now time.Time, j Job) float64 {
	if j.Caller == "" {
		return 1
	}
	return g.sharesOf(j.Queue.Service).waitFactor(now, j.Caller)
}

// permittedBehindAll returns the wait behind all waiting work up to which a queue admits jobs. It
// falls with each more urgent queue that has work.
func (g *Gate) permittedBehindAll(now time.Time, q Queue) time.Duration {
	limit := math.Inf(1)
	for _, s := range g.moreUrgent(now, q) {
		limit = priorityShare * min(limit, waitShare*s.meanSlack())
	}
	if math.IsInf(limit, 1) {
		return math.MaxInt64
	}
	return time.Duration(limit * float64(time.Second))
}

// moreUrgent returns the active queues of the same service that are more urgent, the most urgent
// first, one of each priority: the one that may wait least.
func (g *Gate) moreUrgent(now time.Time, q Queue) []*state {
	var list []*state
	for _, s := range g.queues {
		s.decay(now)
		if s.queue.Service == q.Service && s.queue.Priority < q.Priority && s.offered >= activeWork {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *state) int {
		if a.queue.Priority != b.queue.Priority {
			return a.queue.Priority - b.queue.Priority
		}
		return cmp.Compare(a.meanSlack(), b.meanSlack())
	})
	return slices.CompactFunc(list, func(a, b *state) bool { return a.queue.Priority == b.queue.Priority })
}

// isAboveFloor reports whether a queue is served so well that it may give way.
func (g *Gate) isAboveFloor(now time.Time, q Queue) bool {
	urgent := 1.0
	for _, s := range g.queues {
		if s.queue.Service == q.Service && s.queue.Priority < q.Priority {
			s.decay(now)
			urgent = min(urgent, s.servedShare())
		}
	}
	return g.state(now, q).servedShare() > g.floor*urgent
}

// Shares returns the share of the offered work of each queue that was served lately, by name.
func (g *Gate) Shares(now time.Time) map[string]float64 {
	shares := make(map[string]float64, len(g.queues))
	for name, s := range g.queues {
		s.decay(now)
		shares[name] = s.servedShare()
	}
	return shares
}

const (
	// minRetryDelay is the delay after which a refused job may be submitted again while few are
	// refused, maxRetryDelay the longest one.
	minRetryDelay = time.Second
	maxRetryDelay = 10 * time.Second
)

// RetryDelay returns the delay after which a refused job of a queue may be submitted again. It is so
// long that the refused jobs that return take no more than what is served: twice as long if half of
// the work is lost. The random number, from 0 to 1, spreads those that were refused together.
func (g *Gate) RetryDelay(now time.Time, q Queue, random float64) time.Duration {
	served := max(g.state(now, q).servedShare(), float64(minRetryDelay)/float64(maxRetryDelay))
	return time.Duration((0.5 + random) * float64(minRetryDelay) / served)
}
