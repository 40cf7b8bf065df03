package reach

import (
	"peridotpick.example/common/ordered"
	"peridotpick.example/wire/runs"
)

// Board holds the announced lacks of the other entries.
type Board struct {
	members ordered.Map[string, runs.Member]
}

// Set replaces the lacks of an entry by those in its newest record.
func (b *Board) Set(m runs.Member) {
	if m.Gone || len(m.Lacks) == 0 {
		b.members.Delete(m.Entry.Address)
		return
	}
	b.members.Put(m.Entry.Address, m)
}

// Len returns the number of entries that lack something.
func (b *Board) Len() int { return b.members.Len() }

// Addresses returns the addresses of the entries that lack something.
func (b *Board) Addresses() []string {
	list := make([]string, 0, b.members.Len())
	for address := range b.members.All() {
		list = append(list, address)
	}
	return list
}

// AskOf returns what an entry asks of the agent beside a worker. Its limit is 0 if the worker has
// nothing that the entry lacks.
func (b *Board) AskOf(address string, w *runs.Worker) runs.Ask {
	m := b.members.Get(address)
	ask := runs.Ask{Entry: m.Entry, Serial: m.Serial}
	if ask.Entry.Address == "" {
		ask.Entry.Address = address
	}
	for _, l := range m.Lacks {
		if w.ID != "" && !w.Draining && w.Meets(l.Requirement) {
			ask.Limit = max(ask.Limit, l.Limit)
		}
	}
	return ask
}
