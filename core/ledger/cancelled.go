package ledger

import (
	"time"

	"peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// The owner of a job may be cut off from the store while another entry stores that the job is cancelled. It
// would go on with the job until its ownership is no longer confirmed. So entries also tell each other.

// tellCancelled has the other entries told, once, that a job is cancelled in the store, unless this entry owns it.
func (c *Core) tellCancelled(j *job) {
	if j.cancelTold || c.isOwned(j) {
		return
	}
	j.cancelTold = true
	c.out.CancelNotices = append(c.out.CancelNotices, runs.CancelledJob{Job: j.name, Version: j.version})
}

// HandleCancelNotices handles that jobs are cancelled in the store, as another entry tells. Notices of jobs of
// other entries are passed on.
func (c *Core) HandleCancelNotices(now time.Time, notices []runs.CancelledJob) {
	c.now = now
	for _, n := range notices {
		j := c.jobs[n.Job]
		if j == nil || j.version == 0 {
			continue
		}
		if n.Version > j.version && !j.row.State.Ended() {
			row := *j.row
			row.State = batch.JobCancelled
			c.logDecision(j, "cancelled by another entry", "")
			c.applyRow(&StoredRow{Job: n.Job, Row: &row, Version: n.Version})
		}
		if j.row.State == batch.JobCancelled {
			c.tellCancelled(j)
		}
	}
}
