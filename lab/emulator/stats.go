package emulator

import (
	"time"

	"peridotpick.example/wire/runs"
)

// jobOutcome is how a job ended for its caller.
type jobOutcome uint8

const (
	// outcomeOpen: the job has not ended.
	outcomeOpen jobOutcome = iota
	outcomeServed
	outcomeRefused
	outcomeFailed
	// outcomeUnanswered: the caller got no answer and has no submissions left.
	outcomeUnanswered
	// outcomeCancelled: the caller cancelled the job, which then does not count.
	outcomeCancelled
)

// jobRecord records one job and its outcome.
type jobRecord struct {
	// kind and dataCentre are indexes into Deployment.Kinds and Deployment.DataCentres.
	kind       int
	dataCentre int
	// sent is when its caller first submitted it, ended when it received the last answer, as times
	// since the start of the simulation.
	sent, ended time.Duration
	// objective is the time within which the job should end.
	objective time.Duration
	// worth is its value if it ends within the objective, lateWorth within lateFactor times the
	// objective.
	worth, lateWorth float64
	// work is the total work of its tasks in core-seconds.
	work    float64
	outcome jobOutcome
	// started is true once a worker has started one of its tasks.
	started bool
}

func (r *jobRecord) end(outcome jobOutcome, now time.Duration) {
	if r.outcome == outcomeOpen {
		r.outcome, r.ended = outcome, now
	}
}

// maxVainWaitShare is the part of its objective after which a caller has waited in vain for a job
// of which nothing has started: with an earlier refusal it could have gone elsewhere or alerted a
// person.
const maxVainWaitShare = 0.25

// waitedInVain reports whether the caller waited longer than maxVainWaitShare and no task ever
// started.
func (r *jobRecord) waitedInVain() bool {
	noResult := r.outcome == outcomeRefused || r.outcome == outcomeUnanswered
	return noResult && !r.started && float64(r.ended-r.sent) > maxVainWaitShare*float64(r.objective)
}

// stats collects the outcomes of the jobs and the work done in a trial.
type stats struct {
	records []*jobRecord
	// doneWork is the work of runs that ended as done, wastedWork that of all other runs, in
	// core-seconds.
	wastedWork, doneWork float64
}

// addRun adds the work of a run that has ended.
func (s *stats) addRun(w *worker, r *workerRun, outcome runs.Outcome) {
	if s == nil {
		return
	}
	work := r.workDone(w.sim.now).Seconds() * float64(r.need.CPU) / milliCoresPerCore
	if outcome == runs.OutcomeDone {
		s.doneWork += work
		return
	}
	s.wastedWork += work
}

// milliCoresPerCore converts CPU in thousandths of a core to cores.
const milliCoresPerCore = 1000
