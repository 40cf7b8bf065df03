package batch

import "time"

// waitEstimator corrects predicted waits for resources by measured ones. The load reports that
// entries use are some milliseconds old. Under overload several entries therefore send work to the
// same free resources, waits are several times longer than predicted, and jobs admitted by the
// prediction alone end late.
type waitEstimator struct {
	// measured and predicted are decaying sums, in seconds, over runs that were expected to wait.
	measured, predicted float64
	// unpredicted is the decaying mean wait, in seconds, of runs that were expected to start at
	// once.
	unpredicted float64
}

const (
	// waitsDecay is the factor on the sums at each end, so that about the last 100 waits count.
	waitsDecay = 0.99
	// waitsPrior is the wait, in seconds, that is added to both sums, so that the first few waits
	// do not dominate the ratio.
	waitsPrior = 0.2
	// maxWaitBias limits the effect of a short disturbance.
	maxWaitBias = 8.0
)

// observe adds the wait of a run that has ended.
func (w *waitEstimator) observe(predicted, measured time.Duration) {
	if predicted == 0 {
		w.unpredicted = w.unpredicted*waitsDecay + measured.Seconds()*(1-waitsDecay)
		return
	}
	w.measured = w.measured*waitsDecay + measured.Seconds()
	w.predicted = w.predicted*waitsDecay + predicted.Seconds()
}

// expect returns the mean of the measured waits for a predicted one. It adds no margin for their
// variance, which would refuse or defer jobs that end in time: a fifth more on each wait loses
// 0.010 of the total job value in bursts.
func (w *waitEstimator) expect(predicted time.Duration) time.Duration {
	bias := min((w.measured+waitsPrior)/(w.predicted+waitsPrior), maxWaitBias)
	return time.Duration(w.unpredicted*float64(time.Second)) + time.Duration(bias*float64(predicted))
}
