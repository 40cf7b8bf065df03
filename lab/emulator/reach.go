package emulator

import (
	"time"

	"peridotpick.example/wire/runs"
)

// lacksHeard identifies the newest announcement of another entry that an entry has received.
type lacksHeard struct{ incarnation, serial uint64 }

// announceLacks updates what the entry lacks, in contact with the given other entries.
func (e *entryProcess) announceLacks(others []runs.Entry) {
	e.lacksSerial, e.lacks = e.core.Lacks(e.sim.now, len(others)+1, len(others) > 0)
}

// hearLacks takes the announcements of the other entries that are in contact, and forgets those of the
// others.
func (e *entryProcess) hearLacks(others []runs.Entry) {
	inContact := make(map[string]bool)
	for _, o := range others {
		inContact[o.Address] = true
	}
	for _, other := range e.sim.entries {
		if other == e {
			continue
		}
		last := e.heardLacks[other.address]
		m := runs.Member{Entry: other.self, Serial: other.lacksSerial, Lacks: other.lacks}
		if !inContact[other.address] {
			m = runs.Member{Entry: other.self, Gone: true}
		}
		current := lacksHeard{m.Entry.Incarnation, m.Serial}
		if current == last {
			continue
		}
		e.heardLacks[other.address] = current
		if m.Serial != last.serial {
			e.sim.announcements++
		}
		e.deliver(time.Millisecond, func() {
			e.core.SetLacks(e.sim.now, m)
			if m.Entry.Incarnation != last.incarnation && !m.Gone {
				e.core.HandleNewEntry(e.sim.now)
			}
			e.perform()
		})
	}
}

// receiveAsks handles what entries ask of the agent, and what the entry of a link says of its need.
func (a *agentProcess) receiveAsks(l *simLink, msg *runs.ToAgent) {
	for _, e := range a.asks.Receive(a.sim.now, msg.Asks) {
		a.sim.logEvent("%s agent: link asked for by %s", a.worker.name, e.Address)
	}
	for _, ask := range msg.Asks {
		for other := range a.links.Values() {
			if other.entry.address == ask.Entry.Address {
				a.asks.SetLinked(a.sim.now, ask.Entry.Address, true)
			}
		}
	}
	if msg.Needed {
		a.asks.Needed(a.sim.now, l.entry.address)
	}
}

// askingEntries returns the addresses of the entries that ask for the agent.
func (a *agentProcess) askingEntries() map[string]bool {
	list, _ := a.asks.Entries(a.sim.now)
	addresses := make(map[string]bool, len(list))
	for _, e := range list {
		addresses[e.Address] = true
	}
	return addresses
}
