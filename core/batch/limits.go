package batch

import (
	"time"

	"github.com/rotisserie/eris"

	"peridotpick.example/common/room"
	"peridotpick.example/wire/runs"
)

// Limits of the steps of a job. MaxTasks is for all steps together and far above the 140 tasks of the
// largest expected job. Sums of MaxEstimate over all steps stay far below the longest time.Duration.
const (
	MaxSteps    = 64
	MaxTasks    = 10000
	MaxEstimate = 30 * 24 * time.Hour
)

// CheckSteps returns an error that names the field and the limit if the steps of a job are not valid.
func CheckSteps(steps []Step) error {
	if len(steps) == 0 || len(steps) > MaxSteps {
		return eris.Errorf("steps: %d, from 1 to %d", len(steps), MaxSteps)
	}
	tasks := 0
	for i := range steps {
		if err := steps[i].check(i); err != nil {
			return err
		}
		tasks += steps[i].Count
	}
	if tasks > MaxTasks {
		return eris.Errorf("steps: %d tasks, at most %d", tasks, MaxTasks)
	}
	return nil
}

// check returns an error that names the invalid field; index is the index of the step.
func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return eris.Errorf("steps[%d].count: %d, from 1 to %d", index, s.Count, MaxTasks)
	}
	if !s.Need.IsNonNegative() || s.Estimate < 0 || s.AntiAffinity < 0 {
		return eris.Errorf("steps[%d]: a number is below 0", index)
	}
	if most := (room.Resources{CPU: runs.MaxCapacity, Memory: runs.MaxCapacity, GPU: runs.MaxCapacity}); !most.Fits(s.Need) {
		return eris.Errorf("steps[%d]: a need is above %d", index, runs.MaxCapacity)
	}
	if s.Estimate > MaxEstimate {
		return eris.Errorf("steps[%d]: an estimate of %v, at most %v", index, s.Estimate, MaxEstimate)
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return eris.Errorf("steps[%d].after: %d is no earlier step", index, before)
		}
	}
	return nil
}
