package rank

import (
	"math"
	"time"

	"peridotpick.example/common/label"
)

// ID names one incarnation of an agent.
type ID struct {
	Agent       string
	Incarnation uint64
}

// Tuning of what is learned about an agent.
const (
	// slowWeight and failWeight are the weights of a new observation.
	slowWeight = 0.1
	failWeight = 0.1
	// minSamples is the number of results before an agent is judged by its rates.
	minSamples = 8
	// ejectAfter is the number of failures in a row from which an agent is ejected.
	ejectAfter = 3
	// ejectSlowness is the slowness from which an agent is ejected, judged by at
	// least slowSamples results.
	ejectSlowness = 3.0
	slowSamples   = 3
	// suspectOverdue is the part of an agent's slots that may be taken by tasks
	// which run far too long before it gets no more.
	suspectOverdue = 0.25
	// ejectFailRate is the failure rate from which an agent is ejected.
	ejectFailRate = 0.5
	// ejectShare bounds the ejected part of the pool.
	ejectShare = 0.34
	// probeBase is the first pause before a probe; it doubles up to probeMax.
	probeBase = 500 * time.Millisecond
	probeMax  = 20 * time.Second
)

// Agent is what an entry knows of one agent.
type Agent struct {
	ID         ID
	Service    string
	Worker     string
	DataCentre string
	Rack       string
	Labels     label.Set
	Slots      int
	// Leaving agents get no new work.
	Leaving bool
	// Home is set if this entry is the one that mainly uses the agent.
	Home bool
	// Down agents have no link at present.
	Down bool

	// Reported is the number of tasks in the newest report.
	Reported int
	// others is the load that other entries caused, as of reportedAt.
	others     float64
	reportedAt time.Time
	// InFlight counts own tasks sent and not yet answered.
	InFlight int

	// slow is the learned ratio of run times here to the kind's mean elsewhere.
	slow     float64
	failRate float64
	samples  int
	meanRun  time.Duration

	// failedRow counts failures since the last success; overdue own tasks that
	// run far longer than their kind does.
	failedRow int
	overdue   int

	ejected    bool
	probeAt    time.Time
	probePause time.Duration
	probing    bool
}

// Ejected reports whether the agent gets probes only.
func (a *Agent) Ejected() bool { return a.ejected }

// Slowness returns the learned ratio of run times here to those elsewhere.
func (a *Agent) Slowness() float64 {
	if a.slow == 0 {
		return 1
	}
	return a.slow
}

// Report records a load report of a: total tasks there and the entry's own part.
func (p *Pool) Report(now time.Time, a *Agent, total, mine int) {
	a.others = float64(max(0, total-mine))
	a.Reported = total
	a.reportedAt = now
	p.utilization += utilizationWeight * (float64(total)/float64(a.Slots) - p.utilization)
}

// utilizationWeight is that of one report in the mean load of all agents.
const utilizationWeight = 0.02

// Sent records that a task was sent.
func (a *Agent) Sent() { a.InFlight++ }

// Answered records that a task sent earlier was answered, or given up.
func (a *Agent) Answered() {
	if a.InFlight > 0 {
		a.InFlight--
	}
}

// Load estimates the tasks at the agent: the entry's own, which it knows, and
// those of others. What a report said of these fades, within the mean run time,
// into what the mean load of all agents lets expect.
func (p *Pool) Load(now time.Time, a *Agent) float64 {
	own := float64(a.InFlight)
	others := a.others
	if age := now.Sub(a.reportedAt); a.meanRun > 0 && age > 0 {
		kept := math.Exp(-float64(age) / float64(a.meanRun))
		expected := max(0, p.utilization*float64(a.Slots)-own)
		if a.Home {
			expected = 0 // few others send here
		}
		others = others*kept + expected*(1-kept)
	}
	return own + others
}

// expectedFinish is the expected wait for a slot plus the run time here.
func (a *Agent) expectedFinish(load float64, run time.Duration) time.Duration {
	here := float64(run) * a.Slowness()
	wait := 0.0
	if over := load - float64(a.Slots) + 1; over > 0 {
		wait = over / float64(a.Slots) * here
	}
	// A small term spreads work among agents that all have free slots.
	spread := load / float64(a.Slots) * here * spreadWeight
	return time.Duration(wait + here + spread)
}

const spreadWeight = 0.05

// probeDue reports whether an ejected agent may get one task to prove itself.
func (a *Agent) probeDue(now time.Time) bool {
	return !a.probing && !now.Before(a.probeAt)
}

// Probing marks that a probe is on its way.
func (a *Agent) Probing() {
	if a.ejected {
		a.probing = true
	}
}
