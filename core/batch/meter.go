package batch

import (
	"math"
	"time"
)

// meter measures an amount of work a second.
type meter struct {
	// sum is a decaying sum of work as of the time at.
	sum float64
	at  time.Time
}

// meterHalfLife is the time after which work counts half: bursts last a few seconds.
const meterHalfLife = time.Second

func (m *meter) took(now time.Time, work float64) {
	m.sum = m.sum*decay(now.Sub(m.at), meterHalfLife) + work
	m.at = now
}

// rate returns the work a second of the last seconds.
func (m *meter) rate(now time.Time) float64 {
	return m.sum * decay(now.Sub(m.at), meterHalfLife) * math.Ln2 / meterHalfLife.Seconds()
}

// decay returns what is left of a value after a time.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// startedWork is the work that this entry has started for a service, in thousandths of a
// core-second: of jobs taken at once, and of deferred ones.
type startedWork struct{ urgent, deferred meter }

func (c *Core) workOf(service string) *startedWork {
	w := c.started[service]
	if w == nil {
		w = new(startedWork)
		c.started[service] = w
	}
	return w
}
