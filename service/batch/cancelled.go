package batch

import (
	"time"

	core "peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// maxPendingCancelled is the maximum number of cancelled jobs that wait for the next message of an exchange; the oldest
// beyond it are dropped. Their owners read them in the store.
const maxPendingCancelled = 256

// broadcastCancelled tells the other entries which jobs are cancelled in the store.
func (p *peers) broadcastCancelled(list []runs.CancelledJob) {
	if len(list) > 0 {
		p.tellAll(func(x *exchange) { x.cancelled = appendNewest(x.cancelled, list, maxPendingCancelled) })
	}
}

// receiveCancelled hands the cancelled jobs that another entry tells to the ledger.
func (p *peers) receiveCancelled(list []runs.CancelledJob) {
	if len(list) == 0 {
		return
	}
	p.entry.post(func(_ *core.Core, now time.Time) { p.entry.durable.ledger.HandleCancelNotices(now, list) })
}
