// Package membership keeps one entry's view of which entries are alive, by gossip.
//
// Each entry exchanges its view with a few neighbours only (package subset). A message carries a
// digest of the view and the records that have changed. All records are sent only if two digests
// stay different. While nothing changes, an entry therefore sends one short message per interval
// and neighbour, whatever the number of entries.
//
// A record (runs.Member) states whether the entry at an address is alive. Records of the same
// address are ordered by a serial number that only the entry at that address raises:
//   - An entry that loses its gossip stream with a neighbour declares the neighbour gone. An entry
//     that receives such a record about itself, or a record of a previous process at its address,
//     publishes a record with a higher serial number, which outranks the other one.
//   - At the same serial number, "gone" outranks "alive".
//   - Records of entries that are gone are kept for goneRetention, so that an older record from
//     another entry does not bring them back.
//
// An entry that was partitioned and declared gone by all others is back as soon as it exchanges
// views with one of them.
//
// The package is pure: events and the current time are its input, changes are its result.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"peridotpick.example/common/ordered"
	"peridotpick.example/wire/runs"
)

// goneRetention is how long the record of an entry that is gone is kept. It is far longer than a
// message takes to reach all entries.
const goneRetention = 30 * time.Second

// View is the membership view of one entry.
type View struct {
	self    runs.Member
	members ordered.Map[string, *member]
	// digest is the XOR of the fingerprints of the live members, this entry included.
	digest uint64
	alive  int
}

// member is what is known of another entry.
type member struct {
	record runs.Member
	goneAt time.Time
}

// Change is the effect of an event on the view.
type Change struct {
	// Records are the records to pass on to the neighbours.
	Records []runs.Member
	// Joined are the entries that are new or that have changed their own record, Gone the entries
	// that are gone since this event.
	Joined, Gone []runs.Entry
	// Lacking are the records of the entries whose lacks have changed or were announced again, and of
	// entries that are gone and lacked something.
	Lacking []runs.Member
}

// New returns the view of an entry that knows no other entry.
func New(self runs.Entry) *View {
	v := &View{self: runs.Member{Entry: self, Serial: 1}, alive: 1}
	v.digest = fingerprint(v.self)
	return v
}

// Self returns the record of this entry.
func (v *View) Self() runs.Member { return v.self }

// SetShort sets whether this entry is short of agents.
func (v *View) SetShort(short bool) Change {
	if v.self.Entry.ShortOfAgents == short {
		return Change{}
	}
	self := v.self
	self.Entry.ShortOfAgents = short
	return v.updateSelf(self, v.self.Serial)
}

// SetLacks sets what this entry lacks. Equal lacks are announced again.
func (v *View) SetLacks(lacks []runs.Lack) Change {
	self := v.self
	self.Lacks = lacks
	return v.updateSelf(self, v.self.Serial)
}

// updateSelf replaces the record of this entry and gives it the serial number above + 1.
func (v *View) updateSelf(self runs.Member, above uint64) Change {
	v.digest ^= fingerprint(v.self)
	v.self = self
	v.self.Serial = above + 1
	v.digest ^= fingerprint(v.self)
	return Change{Records: []runs.Member{v.self}}
}

// Digest returns the digest of the live members. Views with the same live members have the same
// digest, others have different ones.
func (v *View) Digest() uint64 { return v.digest }

// AliveCount returns the number of live entries, this one included.
func (v *View) AliveCount() int { return v.alive }

// IsGone reports whether an entry is known and gone.
func (v *View) IsGone(address string) bool {
	m := v.members.Get(address)
	return m != nil && m.record.Gone
}

// IsAlive reports whether another entry is known and alive.
func (v *View) IsAlive(address string) bool {
	m := v.members.Get(address)
	return m != nil && !m.record.Gone
}

// Alive returns the live entries, this one first.
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

// Records returns all records, this entry's first, those of entries that are gone included.
func (v *View) Records() []runs.Member {
	list := make([]runs.Member, 0, v.members.Len()+1)
	list = append(list, v.self)
	for m := range v.members.Values() {
		list = append(list, m.record)
	}
	return list
}

// Merge merges records that another entry has sent.
func (v *View) Merge(now time.Time, records []runs.Member) Change {
	var ch Change
	for _, r := range records {
		if r.Entry.Address == v.self.Entry.Address {
			v.applySelfRecord(r, &ch)
		} else {
			v.applyRecord(now, r, &ch)
		}
	}
	return ch
}

// applySelfRecord handles a record of this entry's address: if it outranks this entry's own record
// and differs from it, this entry publishes a newer one.
func (v *View) applySelfRecord(r runs.Member, ch *Change) {
	same := r.Entry.Incarnation == v.self.Entry.Incarnation && !r.Gone
	if runs.IsLater(v.self.Serial, r.Serial) || r.Serial == v.self.Serial && same {
		return
	}
	ch.Records = append(ch.Records, v.updateSelf(v.self, r.Serial).Records...)
}

func (v *View) applyRecord(now time.Time, r runs.Member, ch *Change) {
	m := v.members.Get(r.Entry.Address)
	switch {
	case m == nil && r.Gone:
		return // an unknown entry that is gone is of no interest
	case m == nil:
		m = &member{record: runs.Member{Entry: runs.Entry{Address: r.Entry.Address}, Gone: true}}
		v.members.Put(r.Entry.Address, m)
	case !outranks(r, m.record):
		return
	}
	v.replaceRecord(now, m, r, ch)
}

// outranks reports whether record r replaces an older record of the same address.
func outranks(r, old runs.Member) bool {
	if r.Serial != old.Serial {
		return runs.IsLater(r.Serial, old.Serial)
	}
	return r.Gone && !old.Gone
}

func (v *View) replaceRecord(now time.Time, m *member, r runs.Member, ch *Change) {
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
	if len(r.Lacks)+len(old.Lacks) > 0 {
		ch.Lacking = append(ch.Lacking, r)
	}
	switch {
	case r.Gone && !old.Gone:
		ch.Gone = append(ch.Gone, r.Entry)
	case !r.Gone && (old.Gone || old.Entry != r.Entry):
		ch.Joined = append(ch.Joined, r.Entry)
	}
}

// MarkGone declares an entry gone whose gossip stream to this entry was lost.
func (v *View) MarkGone(now time.Time, address string) Change {
	var ch Change
	m := v.members.Get(address)
	if m == nil || m.record.Gone {
		return ch
	}
	gone := m.record
	gone.Gone = true
	v.replaceRecord(now, m, gone, &ch)
	return ch
}

// ForgetGone removes the records of entries that have been gone for longer than goneRetention.
func (v *View) ForgetGone(now time.Time) {
	for address, m := range v.members.All() {
		if m.record.Gone && now.Sub(m.goneAt) > goneRetention {
			v.members.Delete(address)
		}
	}
}

// AliveAddresses returns the addresses of the other live entries in alphabetical order.
func (v *View) AliveAddresses() []string {
	var list []string
	for address, m := range v.members.All() {
		if !m.record.Gone {
			list = append(list, address)
		}
	}
	slices.SortFunc(list, strings.Compare)
	return list
}

// fingerprint returns the contribution of a record to the digest.
func fingerprint(r runs.Member) uint64 {
	var raw [16]byte
	putUint64(raw[:8], r.Serial)
	putUint64(raw[8:], r.Entry.Incarnation)
	return xxh3.HashString(r.Entry.Address + string(raw[:]))
}

func putUint64(raw []byte, x uint64) {
	for i := range raw {
		raw[i] = byte(x >> (8 * i))
	}
}
