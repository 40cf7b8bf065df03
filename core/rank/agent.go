package rank

import (
	"math"
	"time"

	"peridotpick.example/common/label"
)

// ID identifies one incarnation of an agent.
type ID struct {
	Agent       string
	Incarnation uint64
}

// Parameters of the statistics of an agent and of its ejection.
const (
	// slownessWeight and failRateWeight are the weights of a new observation in the exponentially
	// weighted means.
	slownessWeight = 0.1
	failRateWeight = 0.1
	// minSamples is the number of results of an agent from which failures count into its failure
	// rate. StragglerThreshold needs four times as many results of a kind.
	minSamples = 8
	// ejectFailures is the number of consecutive failures at which an agent is ejected.
	ejectFailures = 3
	// ejectSlowness is the slowness from which an agent is ejected, once there are
	// ejectSlownessSamples results.
	ejectSlowness        = 3.0
	ejectSlownessSamples = 3
	// maxOverdueShare is the share of an agent's slots taken by overdue tasks from which the agent
	// gets no new tasks.
	maxOverdueShare = 0.25
	// ejectFailRate is the failure rate from which an agent is ejected.
	ejectFailRate = 0.5
	// maxEjectedShare is the highest share of the agents of a pool that may be ejected.
	maxEjectedShare = 0.34
	// minProbePause is the first pause before a probe. Each unsuccessful probe doubles it, up to
	// maxProbePause.
	minProbePause = 500 * time.Millisecond
	maxProbePause = 20 * time.Second
)

// Agent is what an entry knows of one agent. An agent that fails often or is very slow is ejected:
// it gets no tasks except single probes, until one of them succeeds in normal time.
type Agent struct {
	ID         ID
	Service    string
	Worker     string
	DataCentre string
	Rack       string
	Labels     label.Set
	Slots      int
	// NotAccepting is set while the agent accepts no new tasks, since it drains or rests (see package
	// wake).
	NotAccepting bool
	// IsHome is set if this entry is the home of the agent, the entry that mainly uses it.
	IsHome bool
	// IsDown is set while there is no link to the agent.
	IsDown bool

	// ReportedTasks is the number of tasks at the agent by its last load report.
	ReportedTasks int
	// othersLoad is the number of tasks of other entries at the agent, as of reportedAt.
	othersLoad float64
	reportedAt time.Time
	// TasksInFlight is the number of tasks that this entry has sent and that are not answered yet.
	TasksInFlight int

	// slowness is the mean ratio of run times here to the mean of the kind; zero before the first
	// result.
	slowness float64
	// failRate is the failure rate, between 0 and 1.
	failRate float64
	// samples is the number of results since the agent was added or restored.
	samples int
	// meanRun is the mean run time of tasks here.
	meanRun time.Duration

	// consecutiveFailures is the number of failures since the last success.
	consecutiveFailures int
	// overdueTasks is the number of tasks of this entry that run far longer than their kind usually
	// does.
	overdueTasks int

	ejected bool
	// probeAt is the earliest time of the next probe.
	probeAt    time.Time
	probePause time.Duration
	// probeInFlight is set while a probe is not answered yet.
	probeInFlight bool
}

// IsEjected reports whether the agent gets no tasks except probes.
func (a *Agent) IsEjected() bool { return a.ejected }

// Slowness returns the mean ratio of run times here to the mean of the kind over all agents; 1 if
// none is measured.
func (a *Agent) Slowness() float64 {
	if a.slowness == 0 {
		return 1
	}
	return a.slowness
}

// RecordLoad records a load report of a: the number of tasks there, and how many of them are of this
// entry.
func (p *Pool) RecordLoad(now time.Time, a *Agent, total, mine int) {
	a.othersLoad = float64(max(0, total-mine))
	a.ReportedTasks = total
	a.reportedAt = now
	p.utilization += utilizationWeight * (float64(total)/float64(a.Slots) - p.utilization)
}

// utilizationWeight is the weight of one load report in Pool.utilization.
const utilizationWeight = 0.02

// RecordSent records that a task was sent to the agent.
func (a *Agent) RecordSent() { a.TasksInFlight++ }

// RecordAnswered records that a task sent to the agent was answered or given up.
func (a *Agent) RecordAnswered() {
	if a.TasksInFlight > 0 {
		a.TasksInFlight--
	}
}

// Load estimates the number of tasks at the agent: those of this entry, which are known, and those
// of others. The reported load of others decays with the mean run time towards the load that the
// utilization of all agents predicts.
func (p *Pool) Load(now time.Time, a *Agent) float64 {
	own := float64(a.TasksInFlight)
	others := a.othersLoad
	if age := now.Sub(a.reportedAt); a.meanRun > 0 && age > 0 {
		remaining := math.Exp(-float64(age) / float64(a.meanRun))
		expected := max(0, p.utilization*float64(a.Slots)-own)
		if a.IsHome {
			expected = 0 // other entries send few tasks to an agent whose home they are not
		}
		others = others*remaining + expected*(1-remaining)
	}
	return own + others
}

// expectedFinish returns the expected time to completion here: the wait for a slot plus the run
// time.
func (a *Agent) expectedFinish(load float64, run time.Duration) time.Duration {
	runHere := float64(run) * a.Slowness()
	wait := 0.0
	if over := load - float64(a.Slots) + 1; over > 0 {
		wait = over / float64(a.Slots) * runHere
	}
	// A small term that rises with the load spreads tasks among agents that all have free slots.
	spread := load / float64(a.Slots) * runHere * spreadWeight
	return time.Duration(wait + runHere + spread)
}

// spreadWeight is the weight of the load, as a fraction of the slots, in the run time of the
// spreading term.
const spreadWeight = 0.05

// isProbeDue reports whether an ejected agent may get a task as a probe.
func (a *Agent) isProbeDue(now time.Time) bool {
	return !a.probeInFlight && !now.Before(a.probeAt)
}

// RecordProbe records that a task was sent to the agent, which is a probe if the agent is ejected.
func (a *Agent) RecordProbe() {
	if a.ejected {
		a.probeInFlight = true
	}
}
