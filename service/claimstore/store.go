// Package claimstore stores claims in the platform's table service.
//
// The goroutine of Run owns the Grouper, which groups writes into transactions. Each transaction runs
// in its own goroutine and reports its status through a bounded queue. Each open claim has an index
// row under its owner, so that the claims of a lost entry can be listed; each ended claim has one
// under the minute of its end, so that expired claims can be found. A claim that exceeds the row size
// of the table is written to the object store first, and its row refers to the object by name.
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
	// prefixEnded is the prefix of index rows of ended claims by the minute of their end.
	prefixEnded = "ended/"
	// prefixBlob is the prefix of the names of objects with claims that are too large for the table.
	prefixBlob = "claim-"
)

// Settings of a Store.
type Settings struct {
	Group group.Params
	// Timeout bounds one request to the platform.
	Timeout time.Duration
	// MaxRow is the size of the largest claim stored in the table itself, in bytes.
	MaxRow int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{Group: group.DefaultParams(), Timeout: 2 * time.Second, MaxRow: 32 << 10}
}

// Store writes and reads claims.
type Store struct {
	settings Settings
	table    table.Table
	objects  table.ObjectStore
	events   chan func(now time.Time)
	grouper  *group.Grouper
	deliver  func([]claim.Result)
}

// eventQueueSize is the number of events that may wait for the goroutine of Run.
const eventQueueSize = 8192

// New returns a store. deliver is called from the goroutine of Run with the results of writes; it
// must not block for long.
func New(settings Settings, t table.Table, o table.ObjectStore, deliver func([]claim.Result)) *Store {
	return &Store{
		settings: settings, table: t, objects: o, deliver: deliver,
		events: make(chan func(time.Time), eventQueueSize), grouper: group.New(settings.Group),
	}
}

// Run executes queued events and starts transactions until ctx ends.
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
		wake := s.startTransactions(ctx)
		if results := s.grouper.Results(); len(results) > 0 {
			s.deliver(results)
		}
		timer.Reset(timeUntil(wake))
	}
}

// drainEvents executes the events that wait, up to eventQueueSize.
func (s *Store) drainEvents() {
	for range eventQueueSize {
		select {
		case event := <-s.events:
			event(time.Now())
		default:
			return
		}
	}
}

// startTransactions starts the transactions that the grouper allows now. It returns the time at which
// the grouper may allow the next one; zero if it waits for writes.
func (s *Store) startTransactions(ctx context.Context) time.Time {
	for {
		g, wake := s.grouper.Next(time.Now())
		if g == nil {
			return wake
		}
		go s.runTransaction(ctx, g)
	}
}

// maxSleep is the longest sleep of Run when nothing is due.
const maxSleep = time.Minute

// timeUntil returns the time until wake, or maxSleep if wake is zero.
func timeUntil(wake time.Time) time.Duration {
	if wake.IsZero() {
		return maxSleep
	}
	return max(0, time.Until(wake))
}

// Enqueue queues writes. It reports false, without effect, if the event queue is full.
func (s *Store) Enqueue(writes []claim.Write) bool {
	return s.post(func(time.Time) {
		for _, w := range writes {
			s.grouper.Add(w)
		}
	})
}

// ReportReachable reports whether the table service answered another request. The report is dropped
// if the event queue is full.
func (s *Store) ReportReachable(ok bool) {
	s.post(func(time.Time) { s.grouper.ReportReachable(ok) })
}

// SetLiveEntries sets the number of live entries by which the write budget is divided.
func (s *Store) SetLiveEntries(n int) {
	s.post(func(time.Time) { s.grouper.SetLiveEntries(n) })
}

// Snapshot is the state of a store for metrics.
type Snapshot struct {
	group.Stats
	// Waiting is the number of writes that wait for a transaction.
	Waiting int
	// Rate is this entry's share of the write budget, in transactions per second.
	Rate float64
	// InOutage reports an outage of the table service.
	InOutage bool
}

// Snapshot returns the state of the store, read in the goroutine of Run; the zero Snapshot if the
// event queue is full or ctx ends first.
func (s *Store) Snapshot(ctx context.Context) Snapshot {
	snapshots := make(chan Snapshot, 1)
	ok := s.post(func(time.Time) {
		snapshots <- Snapshot{Stats: s.grouper.Stats(), Waiting: s.grouper.Waiting(), Rate: s.grouper.Rate(), InOutage: s.grouper.InOutage()}
	})
	if !ok {
		return Snapshot{}
	}
	select {
	case snapshot := <-snapshots:
		return snapshot
	case <-ctx.Done():
		return Snapshot{}
	}
}

// post queues an event for the goroutine of Run. It reports false if the queue is full.
func (s *Store) post(event func(time.Time)) bool {
	select {
	case s.events <- event:
		return true
	default:
		return false
	}
}

// runTransaction commits a group and reports the status to the grouper. It waits for a free place in
// the event queue, since a status must not be dropped.
func (s *Store) runTransaction(ctx context.Context, g *group.Group) {
	status, version, conflicts := s.commitGroup(ctx, g)
	done := func(now time.Time) { s.grouper.Done(now, g.ID, status, version, conflicts) }
	select {
	case s.events <- done:
	case <-ctx.Done():
	}
}

// commitGroup commits the claims of a group and their index rows in one transaction. It returns the
// status, the new version of the rows if the transaction was applied, and the conflicting rows if it
// conflicted.
func (s *Store) commitGroup(ctx context.Context, g *group.Group) (group.TxnStatus, uint64, []group.Conflict) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	ops := make([]table.Op, 0, 2*len(g.Writes))
	for _, w := range g.Writes {
		op, err := s.encodeClaim(ctx, w)
		if err != nil {
			return group.NotApplied, 0, nil // the transaction was not sent
		}
		ops = append(ops, op)
	}
	for _, w := range g.Writes {
		ops = append(ops, s.indexOps(w.Row)...)
	}
	commit, err := s.table.Commit(ctx, ops)
	switch {
	case errors.Is(err, table.ErrNotSent), errors.Is(err, table.ErrThrottled):
		return group.NotApplied, 0, nil
	case err != nil:
		return group.Lost, 0, nil
	case commit.Applied:
		return group.Applied, commit.Version, nil
	}
	conflicts, err := s.decodeConflicts(ctx, commit.Conflicts)
	if err != nil {
		return group.NotApplied, 0, nil // a conflicting transaction had no effect
	}
	return group.Conflicted, 0, conflicts
}

// encodeClaim returns the operation for one write. It stores a claim larger than MaxRow in the object
// store and returns a row without request and outcome that refers to the object.
func (s *Store) encodeClaim(ctx context.Context, w claim.Write) (table.Op, error) {
	data, err := w.Row.Encode()
	if err != nil {
		return table.Op{}, err
	}
	if len(data) > s.settings.MaxRow {
		name := prefixBlob + strconv.FormatUint(w.Row.Nonce, 16)
		if err := s.objects.Put(ctx, name, data); err != nil {
			return table.Op{}, eris.Wrap(err, "store large claim")
		}
		reference := *w.Row
		reference.Outcome, reference.Request, reference.Blob = nil, nil, name
		w.Row.Blob = name
		if data, err = reference.Encode(); err != nil {
			return table.Op{}, err
		}
	}
	return table.Op{Key: rowKey(w.Row.Submission), Value: data, IfVersion: w.IfVersion}, nil
}

// indexOps returns the operations on the index rows of a claim. An open claim gets a row under its
// owner; for an ended claim that row is deleted and one under the time of its end is added.
func (s *Store) indexOps(row *claim.Row) []table.Op {
	owned := table.Op{Key: ownedPrefix(row.Owner) + row.Submission, IfVersion: table.AnyVersion, Value: []byte{'1'}}
	if row.Phase == claim.Running {
		return []table.Op{owned}
	}
	owned.Delete = true
	owned.Value = nil
	ended := table.Op{Key: endedKey(time.Now(), row.Submission), IfVersion: table.AnyVersion, Value: []byte(row.Blob)}
	return []table.Op{owned, ended}
}

// endedKey returns the key of the index row of an ended claim. Keys sort by the minute of the end.
func endedKey(at time.Time, submission string) string {
	return fmt.Sprintf("%s%010d/%s", prefixEnded, at.Unix()/secondsPerMinute, submission)
}

const secondsPerMinute = 60

// DeleteExpired deletes up to limit claims that ended before a time, in one transaction, together
// with their index rows and objects. It returns the number of index rows that it found.
func (s *Store) DeleteExpired(ctx context.Context, before time.Time, limit int) (int, error) {
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

// deleteEnded deletes index rows and their claims, except the claims whose indexes are in keep. If
// claims have changed since their index rows were written, it deletes nothing and returns the indexes
// of these claims. It detects that by the version, since a claim and its index row are written in one
// transaction and share its version.
func (s *Store) deleteEnded(ctx context.Context, rows []table.Row, keep map[int]bool) (map[int]bool, error) {
	var ops []table.Op
	rowOfOp := make(map[int]int) // index of the row by that of the operation
	for i, row := range rows {
		ops = append(ops, table.Op{Key: row.Key, Delete: true, IfVersion: table.AnyVersion})
		if keep[i] {
			continue
		}
		_, submission, _ := strings.Cut(strings.TrimPrefix(row.Key, prefixEnded), "/")
		rowOfOp[len(ops)] = i
		ops = append(ops, table.Op{Key: rowKey(submission), Delete: true, IfVersion: row.Version})
	}
	commit, err := s.table.Commit(ctx, ops)
	if err != nil {
		return nil, err
	}
	if !commit.Applied {
		changed := make(map[int]bool)
		for _, c := range commit.Conflicts {
			changed[rowOfOp[c.Op]] = true
		}
		return changed, nil
	}
	return nil, s.deleteBlobs(ctx, rows, keep)
}

// deleteBlobs deletes the objects of deleted claims; the value of an index row is the object's name.
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

// ownedPrefix returns the key prefix of the index rows of an entry incarnation.
func ownedPrefix(owner wire.EntryInfo) string {
	return prefixOwned + url.PathEscape(owner.ID) + "/" + strconv.FormatUint(owner.Incarnation, 16) + "/"
}

func rowKey(submission string) string { return prefixClaim + submission }

// decodeConflicts decodes the rows that made a transaction conflict.
func (s *Store) decodeConflicts(ctx context.Context, list []table.Conflict) ([]group.Conflict, error) {
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

// decode decodes a stored claim, from its object if it has one.
func (s *Store) decode(ctx context.Context, data []byte) (*claim.Row, error) {
	row, err := claim.Decode(data)
	if err != nil || row.Blob == "" {
		return row, err
	}
	full, err := s.objects.Get(ctx, row.Blob)
	if err != nil {
		return nil, eris.Wrap(err, "fetch large claim")
	}
	complete, err := claim.Decode(full)
	if err != nil {
		return nil, err
	}
	complete.Blob = row.Blob
	return complete, nil
}

// Read returns the claim of a submission and the version of its row, or nil if there is none.
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

// ListOwned returns up to limit submissions that an entry incarnation owns according to its index
// rows, some of which may be stale.
func (s *Store) ListOwned(ctx context.Context, owner wire.EntryInfo, limit int) ([]string, error) {
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

// DeleteIndexRows deletes index rows of an entry incarnation that are stale, such as those left by a
// takeover.
func (s *Store) DeleteIndexRows(ctx context.Context, owner wire.EntryInfo, submissions []string) error {
	ops := make([]table.Op, len(submissions))
	for i, submission := range submissions {
		ops[i] = table.Op{Key: ownedPrefix(owner) + submission, Delete: true, IfVersion: table.AnyVersion}
	}
	_, err := s.table.Commit(ctx, ops)
	return err
}

// ListTeam returns up to limit claims of submissions whose names start with prefix, in order, from
// the one after prefix+after. Outcomes and requests stored as objects are not fetched.
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
