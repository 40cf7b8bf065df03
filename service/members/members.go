// Package members is the registry of a region's entries, with one row per entry in the table
// service. It tells which entries are alive and detects lost ones.
//
// Each entry renews its row every RenewInterval. An entry counts as alive if its row changes within
// deadTimeout on the observer's own clock, so that clocks need not agree. An entry whose row has not
// changed is lost, and is marked dead by a conditional write; a concurrent renewal either makes that
// write fail or conflicts itself. The row of a dead entry stays until its incarnation owns no claim,
// so that another entry continues a sweep of its claims that is interrupted.
//
// An entry that is marked dead while it is alive does no harm: claims are taken over one at a time,
// under the next epoch, after agents have been fenced.
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

// Intervals and timeouts of membership.
const (
	// RenewInterval is the period of renewals of the own row.
	RenewInterval = 3 * time.Second
	// ReadInterval is the period of reads of the rows of all entries.
	ReadInterval = 3 * time.Second
	// deadTimeout is the time for which a row may stay unchanged before its entry counts as lost.
	deadTimeout = 12 * time.Second
)

// MaxEntries is the largest number of entries of a region.
const MaxEntries = 256

// keyPrefix is the key prefix of the rows of entries.
const keyPrefix = "entries/"

// Prefix returns the key prefix of a region's entries.
func Prefix(region string) string { return keyPrefix + region + "/" }

// Row is the content of an entry's row.
type Row struct {
	Entry wire.EntryInfo `json:"entry"`
	// Renewals is the number of renewals of the row, so that each renewal changes it.
	Renewals uint64 `json:"beat"`
	// Config is the configuration version in force at the entry.
	Config uint64 `json:"config"`
	// Dead is set by another entry that found the row unchanged for longer than deadTimeout.
	Dead bool `json:"dead,omitempty"`
}

// observedRow is the last state read of a row and the time at which it was first read.
type observedRow struct {
	row            Row
	version        uint64
	unchangedSince time.Time
}

// Registry is one entry's view of the entries of its region. It is not safe for concurrent use.
type Registry struct {
	table    table.Table
	region   string
	self     wire.EntryInfo
	renewals uint64
	// version is the table version of the own row; 0 if the row is not known to exist.
	version uint64
	// peers are the last read rows of the other entries, by entry ID.
	peers map[string]observedRow
}

// New returns the registry of an entry.
func New(t table.Table, region string, self wire.EntryInfo) *Registry {
	return &Registry{table: t, region: region, self: self, peers: make(map[string]observedRow)}
}

func (r *Registry) key(id string) string { return Prefix(r.region) + id }

// Renewal is the result of a Renew.
type Renewal struct {
	// Sent is the time at which the renewal was sent, from which the entry's lease counts.
	Sent time.Time
	// Previous is the other incarnation of this entry whose row was replaced, or nil.
	Previous *wire.EntryInfo
}

// Renew writes the own row with a configuration version. After an error the write may have taken
// effect; the next call handles both cases.
func (r *Registry) Renew(ctx context.Context, now time.Time, config uint64) (Renewal, error) {
	r.renewals++
	row := Row{Entry: r.self, Renewals: r.renewals, Config: config}
	renewal := Renewal{Sent: now}
	for range maxRenewAttempts {
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
		renewal.Previous = r.previousIncarnation(current)
	}
	return renewal, eris.New("own row changed during each attempt to renew it")
}

// maxRenewAttempts bounds the attempts of one renewal to replace a row that has changed.
const maxRenewAttempts = 3

// previousIncarnation returns the other incarnation of this entry that wrote the row, or nil.
func (r *Registry) previousIncarnation(current *table.Row) *wire.EntryInfo {
	var old Row
	if json.Unmarshal(current.Value, &old) != nil || old.Entry.Incarnation == r.self.Incarnation {
		return nil
	}
	return &old.Entry
}

// encode returns the stored form of a row.
func encode(row Row) []byte {
	data, err := json.Marshal(row)
	if err != nil {
		panic(err) // a Row has no values that cannot be encoded
	}
	return data
}

// ReadRows reads the rows of all entries of the region.
func (r *Registry) ReadRows(ctx context.Context, now time.Time) error {
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
		if known, ok := r.peers[row.Entry.ID]; ok && known.version == stored.Version {
			continue
		}
		r.peers[row.Entry.ID] = observedRow{row: row, version: stored.Version, unchangedSince: now}
	}
	for id := range r.peers {
		if !present[id] {
			delete(r.peers, id)
		}
	}
	return nil
}

// LiveEntries returns the live entries of the region, the own first and the others by ID.
func (r *Registry) LiveEntries(now time.Time) []wire.EntryInfo {
	var list []wire.EntryInfo
	for _, peer := range r.peers {
		if !peer.row.Dead && now.Sub(peer.unchangedSince) <= deadTimeout {
			list = append(list, peer.row.Entry)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return append([]wire.EntryInfo{r.self}, list...)
}

// ConfigVersions returns the configuration version in force at each live entry but the own, by ID.
func (r *Registry) ConfigVersions(now time.Time) map[string]uint64 {
	versions := make(map[string]uint64)
	for id, peer := range r.peers {
		if !peer.row.Dead && now.Sub(peer.unchangedSince) <= deadTimeout {
			versions[id] = peer.row.Config
		}
	}
	return versions
}

// LostEntries returns the entries whose rows are marked dead or unchanged for longer than
// deadTimeout, by ID.
func (r *Registry) LostEntries(now time.Time) []wire.EntryInfo {
	var list []wire.EntryInfo
	for _, peer := range r.peers {
		if peer.row.Dead || now.Sub(peer.unchangedSince) > deadTimeout {
			list = append(list, peer.row.Entry)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// MarkDead marks the row of a lost entry as dead. It reports false if the row has changed, since the
// entry may then be alive.
func (r *Registry) MarkDead(ctx context.Context, id string) (bool, error) {
	peer, ok := r.peers[id]
	if !ok {
		return false, nil
	}
	if peer.row.Dead {
		return true, nil
	}
	peer.row.Dead = true
	commit, err := r.table.Commit(ctx, []table.Op{{Key: r.key(id), Value: encode(peer.row), IfVersion: peer.version}})
	if err != nil {
		return false, eris.Wrap(err, "mark entry dead")
	}
	if commit.Applied {
		peer.version = commit.Version
		r.peers[id] = peer
	}
	return commit.Applied, nil
}

// Remove deletes the row of a dead entry that owns no claims, unless the row has changed.
func (r *Registry) Remove(ctx context.Context, id string) error {
	peer, ok := r.peers[id]
	if !ok {
		return nil
	}
	_, err := r.table.Commit(ctx, []table.Op{{Key: r.key(id), Delete: true, IfVersion: peer.version}})
	return eris.Wrap(err, "remove dead entry")
}

// RemoveOwnRow deletes the own row at the end of a drain.
func (r *Registry) RemoveOwnRow(ctx context.Context) error {
	_, err := r.table.Commit(ctx, []table.Op{{Key: r.key(r.self.ID), Delete: true, IfVersion: r.version}})
	return eris.Wrap(err, "leave")
}
