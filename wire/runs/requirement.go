package runs

import (
	"fmt"
	"slices"

	"peridotpick.example/common/room"
)

// Requirement is what a task requires of a worker, whatever the worker's load.
type Requirement struct {
	Service string `cbor:"1,keyasint"`
	// Label is a label that the worker must have; empty if any worker will do.
	Label string `cbor:"2,keyasint,omitempty"`
	// Need is what the worker's capacity must cover.
	Need room.Resources `cbor:"3,keyasint"`
}

// Meets reports whether a worker meets a requirement.
func (w *Worker) Meets(r Requirement) bool {
	return w.Service == r.Service && w.Capacity.Fits(r.Need) && (r.Label == "" || slices.Contains(w.Labels, r.Label))
}

// String returns r as it appears in logs.
func (r Requirement) String() string {
	s := fmt.Sprintf("service %s, cpu %d, memory %d, gpu %d", r.Service, r.Need.CPU, r.Need.Memory, r.Need.GPU)
	if r.Label != "" {
		s += ", label " + r.Label
	}
	return s
}
