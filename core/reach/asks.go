package reach

import (
	"time"

	"peridotpick.example/common/ordered"
	"peridotpick.example/core/subset"
	"peridotpick.example/wire/runs"
)

const (
	// askRetention is how long an agent tries to link to an entry that has asked and does not repeat
	// the ask. It is longer than maxRepeatInterval.
	askRetention = 5 * time.Minute
	// needGrace is how long a link on demand stays after its entry last said that it needs the agent.
	// It covers several heartbeats of an idle link.
	needGrace = 3 * time.Second
)

// Asks are the asks that one agent has received, by the entries that lack what its worker has.
type Asks struct {
	agent string
	asks  ordered.Map[string, *ask]
}

// ask is the newest ask of an entry.
type ask struct {
	entry  runs.Entry
	serial uint64
	// until is the time until which the agent has to link to the entry; zero if it does not.
	until time.Time
	// linked is set while a link to the entry is open. until is then up to the entry's own word.
	linked bool
}

// NewAsks returns no asks, for an agent of the given name.
func NewAsks(agent string) *Asks { return &Asks{agent: agent} }

// Receive takes asks that an entry has passed on. It returns the entries that the agent has to link to
// from now on.
func (a *Asks) Receive(now time.Time, list []runs.Ask) []runs.Entry {
	var added []runs.Entry
	for _, r := range list {
		known := a.asks.Get(r.Entry.Address)
		if r.Limit == 0 {
			known.withdraw(now)
			continue
		}
		if known == nil {
			known = &ask{}
			a.asks.Put(r.Entry.Address, known)
		}
		if known.entry.Incarnation == r.Entry.Incarnation && runs.IsLater(known.serial, r.Serial) {
			continue
		}
		known.entry, known.serial = r.Entry, r.Serial
		if subset.Score(a.agent, r.Entry.Address) > r.Limit {
			continue
		}
		if !now.Before(known.until) {
			added = append(added, r.Entry)
		}
		known.extend(now)
	}
	return added
}

// extend extends the time for which the agent links to the entry.
func (k *ask) extend(now time.Time) {
	until := now.Add(askRetention)
	if k.linked {
		until = now.Add(needGrace)
	}
	if until.After(k.until) {
		k.until = until
	}
}

// withdraw ends an ask that no link was opened for yet.
func (k *ask) withdraw(now time.Time) {
	if k != nil && !k.linked && k.until.After(now.Add(needGrace)) {
		k.until = now.Add(needGrace) // the link may be under way
	}
}

// SetLinked records whether a link to an entry is open.
func (a *Asks) SetLinked(now time.Time, address string, open bool) {
	known := a.asks.Get(address)
	if known == nil {
		return
	}
	if open && !known.linked && now.Before(known.until) {
		known.until = now.Add(needGrace)
	}
	known.linked = open
}

// Needed records that an entry has said on its link that it needs the agent.
func (a *Asks) Needed(now time.Time, address string) {
	if known := a.asks.Get(address); known != nil && known.linked {
		known.extend(now)
	}
}

// Entries returns the entries to link to on demand, and the time at which the first of them no longer
// is; zero if there are none.
func (a *Asks) Entries(now time.Time) (list []runs.Entry, next time.Time) {
	for address, known := range a.asks.All() {
		if !now.Before(known.until) {
			if !known.linked {
				a.asks.Delete(address)
			}
			continue
		}
		list = append(list, known.entry)
		if next.IsZero() || known.until.Before(next) {
			next = known.until
		}
	}
	return list, next
}
