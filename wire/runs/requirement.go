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

// maxLoggedLabel is the number of bytes of a label that logs show. Callers choose the labels.
const maxLoggedLabel = 100

// String returns r as it appears in logs.
func (r Requirement) String() string {
	s := fmt.Sprintf("service %s, cpu %d, memory %d, gpu %d", r.Service, r.Need.CPU, r.Need.Memory, r.Need.GPU)
	if r.Label != "" {
		s += ", label " + r.Label[:min(len(r.Label), maxLoggedLabel)]
	}
	return s
}

// Covers reports whether each worker that meets r also meets other.
func (r Requirement) Covers(other Requirement) bool {
	return r.Service == other.Service && r.Need.Fits(other.Need) && (other.Label == "" || r.Label == other.Label)
}

// MaxLacks is the greatest number of lacks that an entry announces at a time, which bounds them to
// about a kilobyte of each message between entries.
const MaxLacks = 16

// Lack is a requirement of an entry's tasks that no worker of its linked agents meets.
type Lack struct {
	Requirement Requirement `cbor:"1,keyasint"`
	// Limit is the highest score of the agents that are asked to link to the entry; see package
	// reach.
	Limit uint64 `cbor:"2,keyasint"`
}

// Ask asks an agent to link to an entry that lacks what the agent's worker has.
type Ask struct {
	Entry Entry `cbor:"1,keyasint"`
	// Serial is the serial number of the entry's record that the ask comes from.
	Serial uint64 `cbor:"2,keyasint"`
	// Limit is the highest score of the agents that are asked; 0 if none is asked any more.
	Limit uint64 `cbor:"3,keyasint"`
}
