package ledger

import (
	"math"
	"time"

	"github.com/rotisserie/eris"

	"peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/wire/runs"
)

// Terms is what a job needs of the configuration of its queue, as it was when the job was submitted. A
// later configuration may no longer have the queue; the job runs to its end all the same.
type Terms struct {
	// Service is the service whose workers run the tasks.
	Service     string `cbor:"1,keyasint"`
	Priority    int    `cbor:"2,keyasint,omitempty"`
	MaxAttempts int    `cbor:"3,keyasint"`
	// Stretch and Target define the latency objective.
	Stretch float64       `cbor:"4,keyasint"`
	Target  time.Duration `cbor:"5,keyasint"`
}

// Bounds of the numbers in Terms. Sums of times that are computed with them do not overflow.
const (
	maxPriority = 1 << 16
	maxAttempts = 1 << 16
	maxStretch  = 1 << 10
	maxTarget   = 24 * time.Hour
)

// NewRow returns the row of a new job of a queue. No worker has a service whose name is too long for the
// terms.
func NewRow(queue *catalog.Queue, spec string, steps []batch.Step) *Row {
	return &Row{Queue: queue.Name, Spec: spec, Steps: steps, Terms: &Terms{
		Service: queue.Service[:min(len(queue.Service), runs.MaxNameBytes)], Priority: min(max(queue.Priority, 0), maxPriority), MaxAttempts: min(max(queue.MaxAttempts, 1), maxAttempts),
		Stretch: boundedStretch(queue.Stretch), Target: min(max(queue.Target, 0), maxTarget),
	}}
}

func boundedStretch(stretch float64) float64 {
	if math.IsNaN(stretch) {
		return 1
	}
	return min(max(stretch, 1), maxStretch)
}

// queue returns the configuration of the queue of a job with these terms.
func (t *Terms) queue(name string) *catalog.Queue {
	return &catalog.Queue{Name: name, Service: t.Service, Priority: t.Priority, MaxAttempts: t.MaxAttempts, Stretch: t.Stretch, Target: t.Target}
}

// check returns an error that names the field and the limit if no entry has written the terms.
func (t *Terms) check() error {
	switch {
	case t == nil:
		return nil
	case len(t.Service) > runs.MaxNameBytes:
		return eris.Errorf("terms: service: %d bytes, at most %d", len(t.Service), runs.MaxNameBytes)
	case t.Priority < 0 || t.Priority > maxPriority:
		return eris.Errorf("terms: priority: %d, from 0 to %d", t.Priority, maxPriority)
	case t.MaxAttempts < 1 || t.MaxAttempts > maxAttempts:
		return eris.Errorf("terms: attempts: %d, from 1 to %d", t.MaxAttempts, maxAttempts)
	case !(t.Stretch >= 1 && t.Stretch <= maxStretch): // false for a value that is not a number
		return eris.Errorf("terms: stretch: %g, from 1 to %d", t.Stretch, maxStretch)
	case t.Target < 0 || t.Target > maxTarget:
		return eris.Errorf("terms: target: %v, from 0 to %v", t.Target, maxTarget)
	}
	return nil
}
