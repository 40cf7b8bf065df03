package batch

import (
	"testing"

	"peridotpick.example/wire/runs"
)

// shortAt lets time pass in ticks and reports whether agents are asked for then.
func (r *rig) shortAt(ms int) bool {
	short := false
	for now := r.now; now.Before(after(ms)); now = now.Add(beatEvery) {
		r.Tick(now)
		r.flush(now)
		short = r.Short(true)
	}
	return short
}

// TestEntryThatWasAwayGivesItsAgentsTime: after a suspension or a cut all agents of the
// fleet would come at once, for a moment.
func TestEntryThatWasAwayGivesItsAgentsTime(t *testing.T) {
	r := newRig(t, 0)
	r.is.True(r.shortAt(3200))
	r.is.True(!r.Short(false)) // nobody hears it
	r.is.True(!r.shortAt(6100))
	r.is.True(r.shortAt(6400))
	r.Tick(after(9000)) // it was suspended
	r.is.True(!r.Short(true))
}

// TestEntryWithoutAgentsAsksForAll: agents that come only since they are asked for do not
// count, or they would go as soon as they had come.
func TestEntryWithoutAgentsAsksForAll(t *testing.T) {
	r := newRig(t, fewAgents-1)
	r.is.True(!r.shortAt(2900))
	r.is.True(r.shortAt(3200))
	const asked = 7
	r.LinkUp(after(3200), asked)
	r.hear(after(3200), asked, func(m *runs.ToEntry) { m.Worker.OnDemand = true })
	r.is.True(r.shortAt(3300))
	r.hear(after(3300), asked, func(m *runs.ToEntry) { m.Worker.OnDemand = false })
	r.is.True(!r.shortAt(3400))
	r.hear(after(3400), 0, func(m *runs.ToEntry) { m.Worker.Released = true })
	r.is.True(!r.shortAt(6300))
	r.is.True(r.shortAt(6500))
}
