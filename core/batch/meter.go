package batch

import (
	"math"
	"time"
)

// rateMeter measures a rate of work.
type rateMeter struct {
	// sum is the exponentially decaying sum of work as of updatedAt.
	sum       float64
	updatedAt time.Time
}

// meterHalfLife is the time in which the weight of work halves. It is short because bursts last a
// few seconds.
const meterHalfLife = time.Second

// add adds work done at the given time.
func (m *rateMeter) add(now time.Time, work float64) {
	m.sum = m.sum*decay(now.Sub(m.updatedAt), meterHalfLife) + work
	m.updatedAt = now
}

// rate returns the work per second over the last seconds.
func (m *rateMeter) rate(now time.Time) float64 {
	return m.sum * decay(now.Sub(m.updatedAt), meterHalfLife) * math.Ln2 / meterHalfLife.Seconds()
}

// decay returns the remaining share of a value after the given time.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// startedWork is the work that this entry has started for a service, in thousandths of a
// core-second: that of jobs started on admission and that of deferred jobs.
type startedWork struct{ immediate, deferred rateMeter }

// startedWorkOf returns the work started for a service.
func (c *Core) startedWorkOf(service string) *startedWork {
	w := c.startedWork[service]
	if w == nil {
		w = new(startedWork)
		c.startedWork[service] = w
	}
	return w
}
