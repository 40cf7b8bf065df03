package runs

import "github.com/rotisserie/eris"

// Limits of the description of a worker. Other software than the worker and its agent can send one.
const (
	// MaxCapacity is in the unit of each resource. Sums over all workers of a deployment stay exact.
	MaxCapacity = 1 << 40
	// MaxNameBytes bounds names and labels in bytes, MaxLabels the number of labels.
	MaxNameBytes = 256
	MaxLabels    = 64
)

// Check returns an error that names the field and the limit if a description is outside the limits.
func (w *Worker) Check() error {
	for _, r := range []struct {
		name        string
		value, from int
	}{{"cpu", w.Capacity.CPU, 1}, {"memory", w.Capacity.Memory, 0}, {"gpu", w.Capacity.GPU, 0}} {
		if r.value < r.from || r.value > MaxCapacity {
			return eris.Errorf("capacity: %s is %d, from %d to %d", r.name, r.value, r.from, MaxCapacity)
		}
	}
	if len(w.Labels) > MaxLabels {
		return eris.Errorf("labels: %d, at most %d", len(w.Labels), MaxLabels)
	}
	names := append([]string{w.ID, w.Service, w.DataCentre, w.Agent}, w.Labels...)
	fields := []string{"id", "service", "data centre", "agent", "a label"}
	for i, name := range names {
		if len(name) > MaxNameBytes {
			return eris.Errorf("%s: %d bytes, at most %d", fields[min(i, len(fields)-1)], len(name), MaxNameBytes)
		}
	}
	return nil
}
