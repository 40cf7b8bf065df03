// Package members makes entries known to each other through a few rows of the
// table service, and finds entries that are lost.
//
// Each entry renews its row every RenewEvery. Whether another entry is alive is
// judged by whether its row changes within DeadAfter on the observer's own
// clock, so that clocks need not agree. An entry whose row has not changed is
// marked dead by compare-and-set; a renewal that races it wins or is told. The
// dead row stays until no claim of the incarnation is left, so that a sweep
// that is cut short is taken up by another entry.
//
// Being judged dead wrongly is harmless: claims are taken over one by one,
// under the next epoch, and agents are fenced first.
package members

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"peridotpick.example/common/table"
	"peridotpick.example/wire"
)

// Times of membership.
const (
	// RenewEvery is the pause between renewals of a row.
	RenewEvery = 3 * time.Second
	// LookEvery is the pause between looks at the other rows.
	LookEvery = 3 * time.Second
	// DeadAfter is how long a row may stay unchanged.
	DeadAfter = 12 * time.Second
)

// MaxEntries bounds the entries of a region.
const MaxEntries = 256

// prefix of the rows of entries.
const prefix = "entries/"

// Prefix returns the key prefix of a region's entries.
func Prefix(region string) string { return prefix + region + "/" }

// Row is the content of an entry's row.
type Row struct {
	Entry wire.EntryInfo `json:"entry"`
	// Beat grows with each renewal.
	Beat uint64 `json:"beat"`
	// Config is the configuration version in force at the entry.
	Config uint64 `json:"config"`
	// Dead is set by another entry that found the row unchanged for too long.
	Dead bool `json:"dead,omitempty"`
}

// seen is the newest state of a row and since when it stands.
type seen struct {
	row     Row
	version uint64
	since   time.Time
}

// Registry is one entry's view of the entries of its region. One goroutine
// owns it.
type Registry struct {
	table  table.Table
	region string
	self   wire.EntryInfo
	beat   uint64
	// version of the own row; 0 if it is not known to exist.
	version uint64
	others  map[string]seen
}

// New returns the registry of an entry.
func New(t table.Table, region string, self wire.EntryInfo) *Registry {
	return &Registry{table: t, region: region, self: self, others: make(map[string]seen)}
}

func (r *Registry) key(id string) string { return Prefix(r.region) + id }

// Renewal is the result of a Renew.
type Renewal struct {
	// Sent is when the renewal was sent: the lease counts from there.
	Sent time.Time
	// Previous is another incarnation whose row was replaced, or nil.
	Previous *wire.EntryInfo
}

// Renew writes the own row. An error leaves open whether it took effect; the
// next call finds out.
func (r *Registry) Renew(ctx context.Context, now time.Time, config uint64) (Renewal, error) {
	r.beat++
	row := Row{Entry: r.self, Beat: r.beat, Config: config}
	renewal := Renewal{Sent: now}
	for range renewTries {
		commit, err := r.table.Commit(ctx, []table.Op{{Key: r.key(r.self.ID), Value: encode(row), IfVersion: r.version}})
		if err != nil {
			return renewal, eris.Wrap(err, "renew own row")
		}
		if commit.Applied {
			r.version = commit.Version
			return renewal, nil
		}
		current := commit.Conflicts[0].Current
		if current == nil {
			r.version = 0
			continue
		}
		r.version = current.Version
		renewal.Previous = r.previous(current)
	}
	return renewal, eris.New("own row keeps changing")
}

// renewTries bounds the attempts to replace a changed row.
const renewTries = 3

// previous returns the other incarnation that the row belongs to, or nil.
func (r *Registry) previous(current *table.Row) *wire.EntryInfo {
	var old Row
	if json.Unmarshal(current.Value, &old) != nil || old.Entry.Incarnation == r.self.Incarnation {
		return nil
	}
	return &old.Entry
}

func encode(row Row) []byte {
	data, err := json.Marshal(row)
	if err != nil {
		panic(err) // a Row has no values that cannot be encoded
	}
	return data
}

// Look reads the rows of the region.
func (r *Registry) Look(ctx context.Context, now time.Time) error {
	rows, err := r.table.List(ctx, Prefix(r.region), "", MaxEntries)
	if err != nil {
		return eris.Wrap(err, "list entries")
	}
	present := make(map[string]bool, len(rows))
	for _, stored := range rows {
		var row Row
		if json.Unmarshal(stored.Value, &row) != nil || row.Entry.ID == r.self.ID {
			continue
		}
		present[row.Entry.ID] = true
		if known, ok := r.others[row.Entry.ID]; ok && known.version == stored.Version {
			continue
		}
		r.others[row.Entry.ID] = seen{row: row, version: stored.Version, since: now}
	}
	for id := range r.others {
		if !present[id] {
			delete(r.others, id)
		}
	}
	return nil
}

// Live returns the live entries of the region, the own first and the others by name.
func (r *Registry) Live(now time.Time) []wire.EntryInfo {
	var list []wire.EntryInfo
	for _, other := range r.others {
		if !other.row.Dead && now.Sub(other.since) <= DeadAfter {
			list = append(list, other.row.Entry)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return append([]wire.EntryInfo{r.self}, list...)
}

// Versions returns the configuration version in force at each live entry but
// the own, by name.
func (r *Registry) Versions(now time.Time) map[string]uint64 {
	versions := make(map[string]uint64)
	for id, other := range r.others {
		if !other.row.Dead && now.Sub(other.since) <= DeadAfter {
			versions[id] = other.row.Config
		}
	}
	return versions
}

// Lost returns the entries whose rows are dead or unchanged for too long.
func (r *Registry) Lost(now time.Time) []wire.EntryInfo {
	var list []wire.EntryInfo
	for _, other := range r.others {
		if other.row.Dead || now.Sub(other.since) > DeadAfter {
			list = append(list, other.row.Entry)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// MarkDead marks a lost entry. It reports false if the row has changed, so
// that the entry may be alive.
func (r *Registry) MarkDead(ctx context.Context, id string) (bool, error) {
	other, ok := r.others[id]
	if !ok {
		return false, nil
	}
	if other.row.Dead {
		return true, nil
	}
	other.row.Dead = true
	commit, err := r.table.Commit(ctx, []table.Op{{Key: r.key(id), Value: encode(other.row), IfVersion: other.version}})
	if err != nil {
		return false, eris.Wrap(err, "mark entry dead")
	}
	if commit.Applied {
		other.version = commit.Version
		r.others[id] = other
	}
	return commit.Applied, nil
}

// Remove deletes the row of a dead entry that owns nothing any more.
func (r *Registry) Remove(ctx context.Context, id string) error {
	other, ok := r.others[id]
	if !ok {
		return nil
	}
	_, err := r.table.Commit(ctx, []table.Op{{Key: r.key(id), Delete: true, IfVersion: other.version}})
	return eris.Wrap(err, "remove dead entry")
}

// Leave deletes the own row at a graceful end.
func (r *Registry) Leave(ctx context.Context) error {
	_, err := r.table.Commit(ctx, []table.Op{{Key: r.key(r.self.ID), Delete: true, IfVersion: r.version}})
	return eris.Wrap(err, "leave")
}
