package batch

import (
	"time"

	core "peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// maxPendingSuspects is the maximum number of suspects that wait for the next message of an
// exchange; the oldest beyond it are dropped. Real suspects are few. If there are more, workers are
// being lost for another reason.
const maxPendingSuspects = 64

// broadcastSuspects sends tasks suspected of crashing workers to the other entries.
func (p *peers) broadcastSuspects(list []runs.Suspect) {
	if len(list) > 0 {
		p.tellAll(func(x *exchange) { x.suspects = appendNewest(x.suspects, list, maxPendingSuspects) })
	}
}

// receiveSuspects hands suspects that another entry has sent to the core.
func (p *peers) receiveSuspects(list []runs.Suspect) {
	if len(list) == 0 {
		return
	}
	p.entry.post(func(c *core.Core, now time.Time) { c.MergeSuspects(now, list) })
}
