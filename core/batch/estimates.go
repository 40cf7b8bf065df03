package batch

import "time"

// runTimeEstimator corrects declared run times by measured ones, for each queue.
type runTimeEstimator struct{ queues map[string]*runTimeSums }

// runTimeSums holds decaying sums of measured and declared run times, in seconds.
type runTimeSums struct{ measured, declared float64 }

const (
	// estimateDecay is the factor on the sums at each end, so that about the last 100 ends count.
	estimateDecay = 0.99
	// estimatePrior is the initial value of both sums, in seconds. It keeps the first few ends from
	// dominating the ratio.
	estimatePrior = 1.0
)

func newRunTimeEstimator() runTimeEstimator {
	return runTimeEstimator{queues: make(map[string]*runTimeSums)}
}

// observe adds the run time of a run that completed its task.
func (e runTimeEstimator) observe(queue string, declared, ran time.Duration) {
	r := e.queues[queue]
	if r == nil {
		r = &runTimeSums{measured: estimatePrior, declared: estimatePrior}
		e.queues[queue] = r
	}
	r.measured = r.measured*estimateDecay + ran.Seconds()
	r.declared = r.declared*estimateDecay + declared.Seconds()
}

// expect returns the expected run time of a task with the given declared one.
func (e runTimeEstimator) expect(queue string, declared time.Duration) time.Duration {
	r := e.queues[queue]
	if r == nil || r.declared == 0 {
		return declared
	}
	return time.Duration(float64(declared) * r.measured / r.declared)
}
