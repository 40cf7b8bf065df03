package batch

import "time"

// waits learns how real waits for room compare with the predicted ones. The views
// of several entries are some milliseconds old, so that in overload they send work
// to the same room: then real waits are several times longer, and jobs admitted
// by the prediction alone end late.
type waits struct {
	// real and predicted are decaying sums, in seconds, over runs that were
	// expected to wait.
	real, predicted float64
	// surprise is the decaying mean wait, in seconds, of runs that were expected
	// to start at once.
	surprise float64
}

const (
	// waitsDecay lets about the last 100 waits count.
	waitsDecay = 0.99
	// waitsPrior is the wait, in seconds, that counts as if it had been as predicted.
	waitsPrior = 0.2
	// maxBias bounds what was learned from a short disturbance.
	maxBias = 8.0
)

// observe takes the wait of a run that has ended.
func (w *waits) observe(predicted, real time.Duration) {
	if predicted == 0 {
		w.surprise = w.surprise*waitsDecay + real.Seconds()*(1-waitsDecay)
		return
	}
	w.real = w.real*waitsDecay + real.Seconds()
	w.predicted = w.predicted*waitsDecay + predicted.Seconds()
}

// likely returns the mean of the waits that were predicted like this. A margin for
// their spread would refuse or defer jobs that end in time: a fifth more on each
// wait lost 0.010 of worth in bursts (emulator, six seeds).
func (w *waits) likely(predicted time.Duration) time.Duration {
	bias := min((w.real+waitsPrior)/(w.predicted+waitsPrior), maxBias)
	return time.Duration(w.surprise*float64(time.Second)) + time.Duration(bias*float64(predicted))
}
