package runner

import (
	"peridotpick.example/common/boottime"
	"peridotpick.example/wire/runs"
)

// addAskingEntries returns the entries that ask for this agent, and adds those that are not known. The
// caller holds mu.
func (d *directory) addAskingEntries() []runs.Entry {
	var list []runs.Entry
	list, d.askExpiresAt = d.asks.Entries(boottime.Now())
	for _, e := range list {
		if d.contacts[e.Address] == nil {
			d.contacts[e.Address] = &contact{entry: e}
		}
	}
	return list
}

// receiveAsks handles what entries ask of this agent.
func (d *directory) receiveAsks(list []runs.Ask) {
	if len(list) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := boottime.Now()
	for _, e := range d.asks.Receive(now, list) {
		d.agent.log.Info().Str("entry", e.Address).Uint64("incarnation", e.Incarnation).Msg("agent: link asked for")
	}
	for _, ask := range list {
		if c := d.contacts[ask.Entry.Address]; c != nil && c.link != nil {
			d.asks.SetLinked(now, ask.Entry.Address, true)
		}
	}
	d.invalidateChoice()
}

// setNeeded records that an entry has said on its link that it needs this agent.
func (d *directory) setNeeded(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asks.Needed(boottime.Now(), address)
}
