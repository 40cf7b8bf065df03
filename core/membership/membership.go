// Package membership keeps one entry's view of which entries are alive.
//
// Entries exchange their views with a few neighbours only (package subset). A view that
// does not change costs one short message a beat and neighbour, whatever the number of
// entries: a message carries a digest of the view, the records that have changed, and
// all records only where two digests stay different.
//
// What is said of an address is ordered by a serial number that only the entry at that
// address raises. Rules:
//   - An entry whose neighbour has lost it is said to be gone. One that hears so of
//     itself, or hears of a former process at its address, raises its serial number:
//     its word outranks theirs.
//   - At the same serial number, "gone" outranks "alive".
//   - Entries that are gone are remembered for a while, so that the late word of another
//     entry does not bring them back.
//
// An entry that was cut off and is said to be gone by all is back as soon as one exchange
// reaches it.
//
// The package is pure: events and time go in, changes come out.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"peridotpick.example/common/ordered"
	"peridotpick.example/wire/runs"
)

// remember is how long entries that are gone are remembered: far longer than a message
// takes to all entries.
const remember = 30 * time.Second

// View is one entry's view.
type View struct {
	self    runs.Member
	members ordered.Map[string, *member]
	// digest is of the members that are alive, this one included.
	digest uint64
	alive  int
}

// member is what is known of another entry.
type member struct {
	record runs.Member
	goneAt time.Time
}

// Change is what an event has changed in the view.
type Change struct {
	// Records are to be passed on.
	Records []runs.Member
	// Joined are processes that were not known before or say something new of themselves,
	// Gone those that are gone now.
	Joined, Gone []runs.Entry
}

// New returns the view of an entry that knows no others.
func New(self runs.Entry) *View {
	v := &View{self: runs.Member{Entry: self, Serial: 1}, alive: 1}
	v.digest = fingerprint(v.self)
	return v
}

// Self returns what this entry says of itself.
func (v *View) Self() runs.Member { return v.self }

// SetShort says whether this entry has too few agents.
func (v *View) SetShort(short bool) Change {
	if v.self.Entry.Short == short {
		return Change{}
	}
	self := v.self
	self.Entry.Short = short
	return v.raise(self, v.self.Serial)
}

// raise changes what this entry says of itself, over a serial number.
func (v *View) raise(self runs.Member, above uint64) Change {
	v.digest ^= fingerprint(v.self)
	v.self = self
	v.self.Serial = above + 1
	v.digest ^= fingerprint(v.self)
	return Change{Records: []runs.Member{v.self}}
}

// Digest tells apart views of other members.
func (v *View) Digest() uint64 { return v.digest }

// Len returns the number of entries that are alive, this one included.
func (v *View) Len() int { return v.alive }

// Gone reports whether an entry is taken to be gone.
func (v *View) Gone(address string) bool {
	m := v.members.Get(address)
	return m != nil && m.record.Gone
}

// Lives reports whether an entry is known and alive.
func (v *View) Lives(address string) bool {
	m := v.members.Get(address)
	return m != nil && !m.record.Gone
}

// Alive returns the entries that are alive, this one first.
func (v *View) Alive() []runs.Entry {
	list := make([]runs.Entry, 0, v.alive)
	list = append(list, v.self.Entry)
	for m := range v.members.Values() {
		if !m.record.Gone {
			list = append(list, m.record.Entry)
		}
	}
	return list
}

// Records returns all that is known, entries that are gone included.
func (v *View) Records() []runs.Member {
	list := make([]runs.Member, 0, v.members.Len()+1)
	list = append(list, v.self)
	for m := range v.members.Values() {
		list = append(list, m.record)
	}
	return list
}

// Hear takes records from another entry.
func (v *View) Hear(now time.Time, records []runs.Member) Change {
	var ch Change
	for _, r := range records {
		if r.Entry.Address == v.self.Entry.Address {
			v.hearOfSelf(r, &ch)
		} else {
			v.take(now, r, &ch)
		}
	}
	return ch
}

// hearOfSelf answers word of this address that would outrank this process.
func (v *View) hearOfSelf(r runs.Member, ch *Change) {
	same := r.Entry.Incarnation == v.self.Entry.Incarnation && !r.Gone
	if r.Serial < v.self.Serial || r.Serial == v.self.Serial && same {
		return
	}
	ch.Records = append(ch.Records, v.raise(v.self, r.Serial).Records...)
}

func (v *View) take(now time.Time, r runs.Member, ch *Change) {
	m := v.members.Get(r.Entry.Address)
	if m == nil {
		if r.Gone {
			return // nobody here counts on it
		}
		m = &member{record: runs.Member{Entry: runs.Entry{Address: r.Entry.Address}, Gone: true}}
		v.members.Put(r.Entry.Address, m)
	}
	if !outranks(r, m.record) {
		return
	}
	v.replace(now, m, r, ch)
}

// outranks reports whether one record replaces another of the same address.
func outranks(r, old runs.Member) bool {
	if r.Serial != old.Serial {
		return r.Serial > old.Serial
	}
	return r.Gone && !old.Gone
}

func (v *View) replace(now time.Time, m *member, r runs.Member, ch *Change) {
	old := m.record
	if !old.Gone {
		v.digest ^= fingerprint(old)
		v.alive--
	}
	if !r.Gone {
		v.digest ^= fingerprint(r)
		v.alive++
	}
	m.record, m.goneAt = r, now
	ch.Records = append(ch.Records, r)
	switch {
	case r.Gone && !old.Gone:
		ch.Gone = append(ch.Gone, r.Entry)
	case !r.Gone && (old.Gone || old.Entry != r.Entry):
		ch.Joined = append(ch.Joined, r.Entry)
	}
}

// Lost says that an entry is gone, which this entry had an exchange with.
func (v *View) Lost(now time.Time, address string) Change {
	var ch Change
	m := v.members.Get(address)
	if m == nil || m.record.Gone {
		return ch
	}
	gone := m.record
	gone.Gone = true
	v.replace(now, m, gone, &ch)
	return ch
}

// Forget drops entries that have been gone for long.
func (v *View) Forget(now time.Time) {
	for address, m := range v.members.All() {
		if m.record.Gone && now.Sub(m.goneAt) > remember {
			v.members.Delete(address)
		}
	}
}

// Addresses returns the addresses of the entries that are alive, without this one, in
// a fixed order.
func (v *View) Addresses() []string {
	var list []string
	for address, m := range v.members.All() {
		if !m.record.Gone {
			list = append(list, address)
		}
	}
	slices.SortFunc(list, strings.Compare)
	return list
}

// fingerprint is the part of the digest that a member makes.
func fingerprint(r runs.Member) uint64 {
	var raw [16]byte
	put(raw[:8], r.Serial)
	put(raw[8:], r.Entry.Incarnation)
	return xxh3.HashString(r.Entry.Address + string(raw[:]))
}

func put(raw []byte, x uint64) {
	for i := range raw {
		raw[i] = byte(x >> (8 * i))
	}
}
