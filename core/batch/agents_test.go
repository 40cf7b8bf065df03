package batch

import (
	"testing"

	"peridotpick.example/wire/runs"
)

// isShortAt ticks the core until the given time and reports whether the entry asks for agents then.
func (h *harness) isShortAt(ms int) bool {
	short := false
	for now := h.now; now.Before(after(ms)); now = now.Add(heartbeatCheckInterval) {
		h.Tick(now)
		h.flush(now)
		short = h.IsShortOfAgents(true)
	}
	return short
}

// TestShortIsDelayedAfterASuspensionOrLossOfContact verifies that the entry does not ask for agents
// right after a suspension or a loss of contact. Its agents need time to reconnect; otherwise all
// agents of the deployment would connect for a moment.
func TestShortIsDelayedAfterASuspensionOrLossOfContact(t *testing.T) {
	h := newHarness(t, 0)
	h.is.True(h.isShortAt(3200))
	h.is.True(!h.IsShortOfAgents(false)) // no other entry is in contact
	h.is.True(!h.isShortAt(6100))
	h.is.True(h.isShortAt(6400))
	h.Tick(after(9000)) // a gap that counts as a suspension
	h.is.True(!h.IsShortOfAgents(true))
}

// TestShortCountsOnlyAgentsThatChoseTheEntry verifies that agents which connect only because they
// were asked to do not count. Otherwise they would disconnect as soon as they had connected.
func TestShortCountsOnlyAgentsThatChoseTheEntry(t *testing.T) {
	h := newHarness(t, minAgents-1)
	h.is.True(!h.isShortAt(2900))
	h.is.True(h.isShortAt(3200))
	const asked = 7
	h.LinkUp(after(3200), asked)
	h.receiveReport(after(3200), asked, func(m *runs.ToEntry) { m.Worker.OnDemand = true })
	h.is.True(h.isShortAt(3300))
	h.receiveReport(after(3300), asked, func(m *runs.ToEntry) { m.Worker.OnDemand = false })
	h.is.True(!h.isShortAt(3400))
	h.receiveReport(after(3400), 0, func(m *runs.ToEntry) { m.Worker.Released = true })
	h.is.True(!h.isShortAt(6300))
	h.is.True(h.isShortAt(6500))
}
