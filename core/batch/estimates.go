package batch

import "time"

// estimates corrects declared run times by what was measured, for each queue.
type estimates struct{ queues map[string]*ratio }

// ratio holds decaying sums of measured and declared run times, in seconds.
type ratio struct{ ran, declared float64 }

const (
	// estimateDecay is the weight the sums keep at each end: the last 100 count.
	estimateDecay = 0.99
	// estimatePrior is the declared time, in seconds, that counts as if it had
	// been measured as declared, so that the first ends do not decide alone.
	estimatePrior = 1.0
)

func newEstimates() estimates { return estimates{queues: make(map[string]*ratio)} }

func (e estimates) observe(queue string, declared, ran time.Duration) {
	r := e.queues[queue]
	if r == nil {
		r = &ratio{ran: estimatePrior, declared: estimatePrior}
		e.queues[queue] = r
	}
	r.ran = r.ran*estimateDecay + ran.Seconds()
	r.declared = r.declared*estimateDecay + declared.Seconds()
}

// expect returns the run time to expect of a task.
func (e estimates) expect(queue string, declared time.Duration) time.Duration {
	r := e.queues[queue]
	if r == nil || r.declared == 0 {
		return declared
	}
	return time.Duration(float64(declared) * r.ran / r.declared)
}
