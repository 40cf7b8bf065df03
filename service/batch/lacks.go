package batch

import (
	"time"

	core "peridotpick.example/core/batch"
	"peridotpick.example/core/membership"
	"peridotpick.example/service/telemetry"
	"peridotpick.example/wire/runs"
)

// announceLacks announces to the other entries what this one lacks, after each change and when a
// repetition is due. The event loop calls it.
func (p *peers) announceLacks(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	serial, lacks := p.entry.core.Lacks(now, p.view.AliveCount(), len(p.exchanges) > 0)
	telemetry.SetGauge("lacks", p.entry.deps.Metrics, int64(len(lacks)))
	if serial == p.lacksSerial {
		return
	}
	p.lacksSerial = serial
	p.entry.log.Info().Int("lacks", len(lacks)).Uint64("serial", serial).Msg("entry: workers asked for")
	p.broadcastLocked(p.view.SetLacks(lacks), nil)
}

// handleLacks hands to the core what other entries lack, and tells it of new entries.
func (p *peers) handleLacks(ch membership.Change) {
	if len(ch.Lacking) == 0 && len(ch.Joined) == 0 {
		return
	}
	p.entry.post(func(c *core.Core, now time.Time) {
		for _, m := range ch.Lacking {
			c.SetLacks(now, boundLacks(m))
		}
		if len(ch.Joined) > 0 {
			c.HandleNewEntry(now)
		}
	})
}

// boundLacks returns a record with at most runs.MaxLacks lacks.
func boundLacks(m runs.Member) runs.Member {
	m.Lacks = m.Lacks[:min(len(m.Lacks), runs.MaxLacks)]
	return m
}
