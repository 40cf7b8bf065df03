// Package claimstore keeps claims in the platform's table service.
//
// One goroutine owns the Grouper; each transaction runs in a goroutine of its
// own and reports back through a bounded ring. Next to each open claim stands
// an index row under the name of its owner, so that the claims of a lost entry
// can be listed. Rows that exceed the table's row size go to the object store
// first and are referred to by name.
package claimstore

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"peridotpick.example/common/table"
	"peridotpick.example/core/claim"
	"peridotpick.example/core/group"
	"peridotpick.example/wire"
)

// Key prefixes in the table.
const (
	prefixClaim = "claim/"
	prefixOwned = "owned/"
	// prefixEnded holds ended claims by the minute of their end.
	prefixEnded = "ended/"
	// blobPrefix names objects that hold rows too large for the table.
	blobPrefix = "claim-"
)

// Settings of a Store.
type Settings struct {
	Group group.Params
	// Timeout bounds one request to the platform.
	Timeout time.Duration
	// MaxRow is the largest row kept in the table, in bytes.
	MaxRow int
}

// DefaultSettings returns the settings used unless configured otherwise.
func DefaultSettings() Settings {
	return Settings{Group: group.DefaultParams(), Timeout: 2 * time.Second, MaxRow: 32 << 10}
}

// Store writes and reads claims.
type Store struct {
	settings Settings
	table    table.Table
	objects  table.Objects
	events   chan func(now time.Time)
	grouper  *group.Grouper
	deliver  func([]claim.Result)
}

// ringSize bounds the events that wait for the owner goroutine.
const ringSize = 8192

// New returns a store. deliver is called from the store's goroutine with the
// fates of writes; it must not block for long.
func New(settings Settings, t table.Table, o table.Objects, deliver func([]claim.Result)) *Store {
	return &Store{
		settings: settings, table: t, objects: o, deliver: deliver,
		events: make(chan func(time.Time), ringSize), grouper: group.New(settings.Group),
	}
}

// Run owns the grouper until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-s.events:
			event(time.Now())
		case <-timer.C:
		}
		s.drainEvents()
		wake := s.send(ctx)
		if results := s.grouper.Results(); len(results) > 0 {
			s.deliver(results)
		}
		timer.Reset(until(wake))
	}
}

func (s *Store) drainEvents() {
	for range ringSize {
		select {
		case event := <-s.events:
			event(time.Now())
		default:
			return
		}
	}
}

// send starts the transactions that the grouper allows and returns when to look again.
func (s *Store) send(ctx context.Context) time.Time {
	for {
		g, wake := s.grouper.Next(time.Now())
		if g == nil {
			return wake
		}
		go s.commit(ctx, g)
	}
}

// idleWake bounds the sleep when nothing is due.
const idleWake = time.Minute

func until(wake time.Time) time.Duration {
	if wake.IsZero() {
		return idleWake
	}
	return max(0, time.Until(wake))
}

// Write queues writes. It reports false, without effect, if the ring is full.
func (s *Store) Write(writes []claim.Write) bool {
	return s.post(func(time.Time) {
		for _, w := range writes {
			s.grouper.Add(w)
		}
	})
}

// Reachable tells what another request to the table service learned of it.
func (s *Store) Reachable(ok bool) {
	s.post(func(time.Time) { s.grouper.Reachable(ok) })
}

// SetShares states among how many live entries the budget is divided.
func (s *Store) SetShares(n int) {
	s.post(func(time.Time) { s.grouper.SetShares(n) })
}

// Snapshot is the state of a store for metrics.
type Snapshot struct {
	group.Stats
	Waiting int
	// Rate is this entry's share of the write budget, per second.
	Rate float64
	Away bool
}

// Snapshot returns the state; it waits for the store's goroutine.
func (s *Store) Snapshot(ctx context.Context) Snapshot {
	got := make(chan Snapshot, 1)
	ok := s.post(func(time.Time) {
		got <- Snapshot{Stats: s.grouper.Stats(), Waiting: s.grouper.Waiting(), Rate: s.grouper.Rate(), Away: s.grouper.Away()}
	})
	if !ok {
		return Snapshot{}
	}
	select {
	case snapshot := <-got:
		return snapshot
	case <-ctx.Done():
		return Snapshot{}
	}
}

func (s *Store) post(event func(time.Time)) bool {
	select {
	case s.events <- event:
		return true
	default:
		return false
	}
}

// commit sends one transaction and reports its fate.
func (s *Store) commit(ctx context.Context, g *group.Group) {
	fate, version, conflicts := s.transact(ctx, g)
	done := func(now time.Time) { s.grouper.Done(now, g.ID, fate, version, conflicts) }
	select {
	case s.events <- done:
	case <-ctx.Done():
	}
}

func (s *Store) transact(ctx context.Context, g *group.Group) (group.Fate, uint64, []group.Conflict) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	ops := make([]table.Op, 0, 2*len(g.Writes))
	for _, w := range g.Writes {
		op, err := s.claimOp(ctx, w)
		if err != nil {
			return group.Refused, 0, nil // the transaction itself was not sent
		}
		ops = append(ops, op)
	}
	for _, w := range g.Writes {
		ops = append(ops, s.indexOps(w.Row)...)
	}
	commit, err := s.table.Commit(ctx, ops)
	switch {
	case errors.Is(err, table.ErrNotSent), errors.Is(err, table.ErrThrottled):
		return group.Refused, 0, nil
	case err != nil:
		return group.Lost, 0, nil
	case commit.Applied:
		return group.Applied, commit.Version, nil
	}
	conflicts, err := s.conflicts(ctx, commit.Conflicts)
	if err != nil {
		return group.Refused, 0, nil // a conflicting transaction had no effect
	}
	return group.Conflicted, 0, conflicts
}

// claimOp encodes one write, moving a large row to the object store.
func (s *Store) claimOp(ctx context.Context, w claim.Write) (table.Op, error) {
	data, err := w.Row.Encode()
	if err != nil {
		return table.Op{}, err
	}
	if len(data) > s.settings.MaxRow {
		name := blobPrefix + strconv.FormatUint(w.Row.Nonce, 16)
		if err := s.objects.Put(ctx, name, data); err != nil {
			return table.Op{}, eris.Wrap(err, "store large claim")
		}
		stub := *w.Row
		stub.Outcome, stub.Request, stub.Blob = nil, nil, name
		w.Row.Blob = name
		if data, err = stub.Encode(); err != nil {
			return table.Op{}, err
		}
	}
	return table.Op{Key: rowKey(w.Row.Submission), Value: data, IfVersion: w.IfVersion}, nil
}

// indexOps adds the index row of the owner of an open claim; for one that has
// ended it removes that row and adds one under the time of its end.
func (s *Store) indexOps(row *claim.Row) []table.Op {
	owned := table.Op{Key: ownedPrefix(row.Owner) + row.Submission, IfVersion: table.Any, Value: []byte{'1'}}
	if row.Phase == claim.Running {
		return []table.Op{owned}
	}
	owned.Delete = true
	owned.Value = nil
	ended := table.Op{Key: endedKey(time.Now(), row.Submission), IfVersion: table.Any, Value: []byte(row.Blob)}
	return []table.Op{owned, ended}
}

// endedKey orders ended claims by minute.
func endedKey(at time.Time, submission string) string {
	return fmt.Sprintf("%s%010d/%s", prefixEnded, at.Unix()/secondsPerMinute, submission)
}

const secondsPerMinute = 60

// Expire deletes up to limit claims that ended before a time, in one
// transaction. It returns how many index rows were handled.
func (s *Store) Expire(ctx context.Context, before time.Time, limit int) (int, error) {
	rows, err := s.table.List(ctx, prefixEnded, "", limit)
	if err != nil {
		return 0, err
	}
	bound := endedKey(before, "")
	for i, row := range rows {
		if row.Key >= bound {
			rows = rows[:i]
			break
		}
	}
	if len(rows) == 0 {
		return 0, nil
	}
	changed, err := s.deleteEnded(ctx, rows, nil)
	if err == nil && len(changed) > 0 {
		_, err = s.deleteEnded(ctx, rows, changed)
	}
	return len(rows), err
}

// deleteEnded deletes index rows and their claims, but for claims in keep. It
// returns the indexes of claims that changed after their index row was written
// (both were written in one transaction and share its version); then nothing
// was deleted.
func (s *Store) deleteEnded(ctx context.Context, rows []table.Row, keep map[int]bool) (map[int]bool, error) {
	var ops []table.Op
	owner := make(map[int]int) // operation to row
	for i, row := range rows {
		ops = append(ops, table.Op{Key: row.Key, Delete: true, IfVersion: table.Any})
		if keep[i] {
			continue
		}
		_, submission, _ := strings.Cut(strings.TrimPrefix(row.Key, prefixEnded), "/")
		owner[len(ops)] = i
		ops = append(ops, table.Op{Key: rowKey(submission), Delete: true, IfVersion: row.Version})
	}
	commit, err := s.table.Commit(ctx, ops)
	if err != nil {
		return nil, err
	}
	if !commit.Applied {
		changed := make(map[int]bool)
		for _, c := range commit.Conflicts {
			changed[owner[c.Op]] = true
		}
		return changed, nil
	}
	return nil, s.deleteBlobs(ctx, rows, keep)
}

// deleteBlobs deletes the objects of deleted claims.
func (s *Store) deleteBlobs(ctx context.Context, rows []table.Row, keep map[int]bool) error {
	for i, row := range rows {
		if len(row.Value) == 0 || keep[i] {
			continue
		}
		if err := s.objects.Delete(ctx, string(row.Value)); err != nil {
			return err
		}
	}
	return nil
}

func ownedPrefix(owner wire.EntryInfo) string {
	return prefixOwned + url.PathEscape(owner.ID) + "/" + strconv.FormatUint(owner.Incarnation, 16) + "/"
}

func rowKey(submission string) string { return prefixClaim + submission }

func (s *Store) conflicts(ctx context.Context, list []table.Conflict) ([]group.Conflict, error) {
	var out []group.Conflict
	for _, c := range list {
		conflict := group.Conflict{Index: c.Op}
		if c.Current != nil {
			row, err := s.decode(ctx, c.Current.Value)
			if err != nil {
				return nil, err
			}
			conflict.Current = row
			conflict.Version = c.Current.Version
		}
		out = append(out, conflict)
	}
	return out, nil
}

// decode parses a stored row and fetches its object if it has one.
func (s *Store) decode(ctx context.Context, data []byte) (*claim.Row, error) {
	row, err := claim.Decode(data)
	if err != nil || row.Blob == "" {
		return row, err
	}
	full, err := s.objects.Get(ctx, row.Blob)
	if err != nil {
		return nil, eris.Wrap(err, "fetch large claim")
	}
	whole, err := claim.Decode(full)
	if err != nil {
		return nil, err
	}
	whole.Blob = row.Blob
	return whole, nil
}

// Read returns the claim of a submission and its version, or nil if there is none.
func (s *Store) Read(ctx context.Context, submission string) (*claim.Row, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	row, err := s.table.Get(ctx, rowKey(submission))
	if err != nil || row == nil {
		return nil, 0, err
	}
	decoded, err := s.decode(ctx, row.Value)
	return decoded, row.Version, err
}

// Owned lists open submissions of an entry incarnation.
func (s *Store) Owned(ctx context.Context, owner wire.EntryInfo, limit int) ([]string, error) {
	prefix := ownedPrefix(owner)
	rows, err := s.table.List(ctx, prefix, "", limit)
	if err != nil {
		return nil, err
	}
	list := make([]string, len(rows))
	for i, row := range rows {
		list[i] = strings.TrimPrefix(row.Key, prefix)
	}
	return list, nil
}

// Forget removes a stale index row, such as one left by a takeover.
func (s *Store) Forget(ctx context.Context, owner wire.EntryInfo, submissions []string) error {
	ops := make([]table.Op, len(submissions))
	for i, submission := range submissions {
		ops[i] = table.Op{Key: ownedPrefix(owner) + submission, Delete: true, IfVersion: table.Any}
	}
	_, err := s.table.Commit(ctx, ops)
	return err
}

// ListTeam returns up to limit claims of submissions with the prefix, after a key.
func (s *Store) ListTeam(ctx context.Context, prefix, after string, limit int) ([]*claim.Row, error) {
	if after != "" {
		after = rowKey(prefix + after)
	}
	rows, err := s.table.List(ctx, rowKey(prefix), after, limit)
	if err != nil {
		return nil, err
	}
	list := make([]*claim.Row, 0, len(rows))
	for _, row := range rows {
		decoded, err := claim.Decode(row.Value)
		if err != nil {
			return nil, err
		}
		list = append(list, decoded)
	}
	return list, nil
}
