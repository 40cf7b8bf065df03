// Package confwatch stores the versioned configuration in the table service and polls it for new
// versions.
//
// A change replaces the current row by a conditional write and adds a history row in the same
// transaction. Each change carries a nonce, so that a put that is repeated after its answer was lost
// recognizes its own change instead of reporting a conflict. A process never returns to a lower
// version.
package confwatch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"peridotpick.example/common/config"
	"peridotpick.example/common/errkind"
	"peridotpick.example/common/table"
)

// Keys of the configuration in the table.
const (
	keyCurrent = "config/current"
	// keyHead holds only the number of the version in force, which keeps the row that all entries
	// poll small.
	keyHead       = "config/head"
	prefixHistory = "config/history/"
)

// Store reads and changes the configuration in the table service.
type Store struct{ table table.Table }

// NewStore returns the store of the configuration in t.
func NewStore(t table.Table) *Store { return &Store{table: t} }

// Current returns the configuration version in force and the table version of its row; nil and 0 if
// no configuration exists.
func (s *Store) Current(ctx context.Context) (*config.Version, uint64, error) {
	row, err := s.table.Get(ctx, keyCurrent)
	if err != nil || row == nil {
		return nil, 0, err
	}
	version := new(config.Version)
	if err := json.Unmarshal(row.Value, version); err != nil {
		return nil, 0, eris.Wrap(err, "decode configuration")
	}
	return version, row.Version, nil
}

// Head returns the number of the version in force; 0 if no configuration exists.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	row, err := s.table.Get(ctx, keyHead)
	if err != nil || row == nil {
		return 0, err
	}
	number, err := strconv.ParseUint(string(row.Value), 10, 64)
	return number, eris.Wrap(err, "decode head of configuration")
}

// Conflict is the error of Put if another change was accepted first.
type Conflict struct {
	// Winner is the version in force.
	Winner *config.Version
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("version %d by %s is in force", c.Winner.Number, c.Winner.Author)
}

// maxPutAttempts bounds the attempts of one put.
const maxPutAttempts = 5

// putRetryPause is the pause between attempts.
const putRetryPause = 100 * time.Millisecond

// Put replaces version base of the configuration; base is 0 if there is none yet. The document must
// be valid. The error is a Conflict if another change was accepted first, of the kind
// store-unavailable if the change certainly has no effect, and of the kind fate-unknown otherwise.
func (s *Store) Put(ctx context.Context, base uint64, author string, now time.Time, document []byte) (*config.Version, error) {
	next := &config.Version{Number: base + 1, Author: author, AcceptedAt: now, Nonce: newNonce(), Document: document}
	var lastErr error
	mayHaveApplied := false
	for attempt := range maxPutAttempts {
		if attempt > 0 {
			sleep(ctx, putRetryPause)
		}
		current, rowVersion, err := s.Current(ctx)
		if err != nil {
			lastErr = err
			continue
		}
		if current != nil && current.Nonce == next.Nonce {
			return next, nil // an earlier attempt took effect
		}
		if numberOf(current) != base {
			if mayHaveApplied && numberOf(current) > base && s.inHistory(ctx, next) {
				return next, nil // an earlier attempt took effect and was replaced since
			}
			return nil, &Conflict{Winner: current}
		}
		commit, err := s.commit(ctx, next, rowVersion)
		if err == nil && commit.Applied {
			return next, nil
		}
		mayHaveApplied = mayHaveApplied || err != nil && !errors.Is(err, table.ErrNotSent) && !errors.Is(err, table.ErrThrottled)
		lastErr = err
	}
	if lastErr == nil {
		lastErr = eris.New("the configuration keeps changing")
	}
	kind := errkind.StoreUnavailable
	if mayHaveApplied {
		kind = errkind.FateUnknown
	}
	return nil, errkind.New(kind, lastErr.Error())
}

// numberOf returns the number of a version; 0 if it is nil.
func numberOf(v *config.Version) uint64 {
	if v == nil {
		return 0
	}
	return v.Number
}

// commit writes the current, head and history rows of a version in one transaction, provided that
// the current row still has rowVersion.
func (s *Store) commit(ctx context.Context, next *config.Version, rowVersion uint64) (table.CommitResult, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return table.CommitResult{}, eris.Wrap(err, "encode configuration")
	}
	return s.table.Commit(ctx, []table.Op{
		{Key: keyCurrent, Value: data, IfVersion: rowVersion},
		{Key: keyHead, Value: strconv.AppendUint(nil, next.Number, 10), IfVersion: table.AnyVersion},
		{Key: historyKey(next.Number), Value: data, IfVersion: 0},
	})
}

// historyKey returns the key of a history row. It pads the number with zeros, so that keys sort by
// number.
func historyKey(number uint64) string { return fmt.Sprintf("%s%012d", prefixHistory, number) }

// inHistory reports whether the history row of the version's number has the version's nonce.
func (s *Store) inHistory(ctx context.Context, v *config.Version) bool {
	recorded, err := s.Version(ctx, v.Number)
	return err == nil && recorded != nil && recorded.Nonce == v.Nonce
}

// Version returns the version with the given number, or nil.
func (s *Store) Version(ctx context.Context, number uint64) (*config.Version, error) {
	row, err := s.table.Get(ctx, historyKey(number))
	if err != nil || row == nil {
		return nil, err
	}
	version := new(config.Version)
	return version, eris.Wrap(json.Unmarshal(row.Value, version), "decode configuration")
}

// History returns up to limit versions with numbers above after, oldest first.
func (s *Store) History(ctx context.Context, after uint64, limit int) ([]config.Version, error) {
	rows, err := s.table.List(ctx, prefixHistory, historyKey(after), limit)
	if err != nil {
		return nil, eris.Wrap(err, "list history")
	}
	versions := make([]config.Version, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &versions[i]); err != nil {
			return nil, eris.Wrap(err, "decode configuration")
		}
	}
	return versions, nil
}

func newNonce() string {
	var nonce [12]byte
	_, _ = rand.Read(nonce[:]) // never fails
	return hex.EncodeToString(nonce[:])
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
