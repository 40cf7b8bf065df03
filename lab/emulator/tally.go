package emulator

import (
	"time"

	"peridotpick.example/wire/runs"
)

// fate is what became of a job.
type fate uint8

const (
	// fateOpen: nothing yet.
	fateOpen fate = iota
	fateServed
	fateRefused
	fateFailed
	// fateUnanswered: the caller got no answer and has given up.
	fateUnanswered
	// fateLeft: the caller left early; such a job is not owed.
	fateLeft
)

// record is what became of one job.
type record struct {
	kind   int
	centre int
	// sent is when its caller first handed it in, ended when it got its last answer.
	sent, ended time.Duration
	// objective is the time within which it should end.
	objective time.Duration
	// worth is what it is worth in time, late what it is worth within the late bound.
	worth, late float64
	// work is its work in core-seconds.
	work float64
	fate fate
	// began is true once a task of it has begun at a worker.
	began bool
}

func (r *record) end(f fate, now time.Duration) {
	if r.fate == fateOpen {
		r.fate, r.ended = f, now
	}
}

// heldShare is the part of its objective after which a caller that gets nothing was held
// up: early enough it could have gone elsewhere, or told a person.
const heldShare = 0.25

// held reports whether the caller waited long for nothing: no task ever began.
func (r *record) held() bool {
	nothing := r.fate == fateRefused || r.fate == fateUnanswered
	return nothing && !r.began && float64(r.ended-r.sent) > heldShare*float64(r.objective)
}

// tally counts over a play.
type tally struct {
	records []*record
	// wasted is work that was done and not used, in core-seconds; done all that was.
	wasted, done float64
}

// ran takes the end of a run.
func (t *tally) ran(k *worker, r *workerRun, how runs.How) {
	if t == nil {
		return
	}
	work := r.worked(k.w.now).Seconds() * float64(r.need.CPU) / milliCores
	if how == runs.Done {
		t.done += work
		return
	}
	t.wasted += work
}

// milliCores are the units of room in a core.
const milliCores = 1000
