package batch

// Runs of a durable job are numbered within the epoch of its owner: the upper bits of a number are
// the epoch less one, the lower bits count the runs of the task in that epoch from 1. Only one owner
// has an epoch, and it has it once, so that no two runs of a task ever have the same number, and the
// runs of a later owner have higher numbers than those of all earlier ones. An owner need not know
// what its predecessors have started.
//
// The runs of an awaited job are numbered from 1 by each entry that gets it. What tells them apart
// is the agent that ran them and the incarnation of the entry that ordered them: see receiveEnd, and
// admit in core/runner.
const (
	// epochShift is the number of bits that count the runs of a task in one epoch.
	epochShift = 16
	// MaxEpoch is the highest epoch for which there are run numbers.
	MaxEpoch = 1 << (32 - epochShift)
	// maxRunsInEpoch is how often a task can be started in one epoch.
	maxRunsInEpoch = 1<<epochShift - 1
)

// runsBefore returns the highest run number that owners before an epoch can have given.
func runsBefore(epoch uint64) uint32 {
	if epoch <= 1 {
		return 0
	}
	return uint32(min(epoch, MaxEpoch)-1) << epochShift
}

// nextRun returns the number of the task's next start.
func (t *task) nextRun() uint32 {
	if t.job.durable == nil {
		return t.run + 1
	}
	return max(t.run, runsBefore(t.job.durable.epoch)) + 1
}

// usesLastNumber reports whether the newest start of the task has the last number of its epoch.
func (t *task) usesLastNumber() bool {
	return t.job.durable != nil && t.run == runsBefore(t.job.durable.epoch)+maxRunsInEpoch
}
