package admission

import (
	"math"
	"time"
)

// A deferred job is a promise: its caller waits for an answer that is late but still useful, and
// cannot go elsewhere meanwhile. Promises that are not kept are worse for callers than refusals.

const (
	// keptShare is the share of promises that must be kept: a caller who is told to wait should get
	// the answer in four of five cases.
	keptShare = 0.8
	// priorKept is the number of kept promises assumed at the start, so that a quiet queue may make
	// a few promises.
	priorKept = 10
	// promiseHalfLife is the time in which the weight of a promise halves. It is longer than a
	// promise stays open, so that broken ones still count when the next are made.
	promiseHalfLife = 2 * time.Second
)

// promises are decaying counts of the promises of a queue.
type promises struct {
	kept, broken float64
	// open is the number of promises that are neither kept nor broken.
	open      int
	updatedAt time.Time
}

func (p *promises) decay(now time.Time) {
	if !p.updatedAt.IsZero() {
		rest := math.Exp2(-now.Sub(p.updatedAt).Seconds() / promiseHalfLife.Seconds())
		p.kept *= rest
		p.broken *= rest
	}
	p.updatedAt = now
}

// mayPromise reports whether enough promises of a queue are kept to make another one. Open ones
// count as broken, so that their number is bounded by how many were kept lately.
func (p *promises) mayPromise(now time.Time) bool {
	p.decay(now)
	kept := p.kept + priorKept
	return kept >= keptShare*(kept+p.broken+float64(p.open))
}

// MayPromise reports whether a job of a queue may be deferred, judged by how many promises were kept
// lately.
func (g *Gate) MayPromise(now time.Time, q Queue) bool {
	return g.state(now, q).promises.mayPromise(now)
}

// Promised records that a job was deferred.
func (g *Gate) Promised(now time.Time, q Queue) { g.state(now, q).promises.open++ }

// Outcome is what became of a deferred job.
type Outcome uint8

// Outcomes of a deferred job.
const (
	// Kept: the job was served.
	Kept Outcome = iota
	// Broken: the job was given up.
	Broken
	// Withdrawn: the caller no longer waits for it.
	Withdrawn
)

// Resolved records the outcome of a deferred job.
func (g *Gate) Resolved(now time.Time, q Queue, o Outcome) {
	p := &g.state(now, q).promises
	p.decay(now)
	p.open = max(p.open-1, 0)
	switch o {
	case Kept:
		p.kept++
	case Broken:
		p.broken++
	}
}
