// Package confwatch keeps the versioned configuration in the table service and
// follows it.
//
// A change replaces the current row by compare-and-set and adds a history row
// in the same transaction. Each change carries a nonce, so that a put whose
// answer was lost and is repeated is recognised as itself and not reported as a
// conflict. A process never steps back to a lower version.
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
	// keyHead holds only the number of the version in force: it is what all
	// entries read all the time.
	keyHead       = "config/head"
	prefixHistory = "config/history/"
)

// Store reads and changes the configuration.
type Store struct{ table table.Table }

// NewStore returns the configuration in t.
func NewStore(t table.Table) *Store { return &Store{table: t} }

// Current returns the version in force and the row's version; nil if none was ever put.
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

// Head returns the number of the version in force; 0 if none was ever put.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	row, err := s.table.Get(ctx, keyHead)
	if err != nil || row == nil {
		return 0, err
	}
	number, err := strconv.ParseUint(string(row.Value), 10, 64)
	return number, eris.Wrap(err, "decode head of configuration")
}

// Conflict is returned by Put if another change won.
type Conflict struct {
	// Winner is the version in force.
	Winner *config.Version
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("version %d by %s is in force", c.Winner.Number, c.Winner.Author)
}

// putTries bounds the repetitions of a put whose answer was lost.
const putTries = 5

// putPause is the pause between them.
const putPause = 100 * time.Millisecond

// Put replaces version base of the configuration, 0 being none. The document
// must have been checked. After an error other than a Conflict the change may
// have taken effect.
func (s *Store) Put(ctx context.Context, base uint64, author string, now time.Time, document []byte) (*config.Version, error) {
	next := &config.Version{Number: base + 1, Author: author, At: now, Nonce: newNonce(), Document: document}
	var last error
	sent := false
	for try := range putTries {
		if try > 0 {
			pause(ctx, putPause)
		}
		current, rowVersion, err := s.Current(ctx)
		if err != nil {
			last = err
			continue
		}
		if current != nil && current.Nonce == next.Nonce {
			return next, nil // an earlier try took effect
		}
		if number(current) != base {
			if sent && number(current) > base && s.inHistory(ctx, next) {
				return next, nil // it took effect and was replaced since
			}
			return nil, &Conflict{Winner: current}
		}
		commit, err := s.commit(ctx, next, rowVersion)
		if err == nil && commit.Applied {
			return next, nil
		}
		sent = sent || err != nil && !errors.Is(err, table.ErrNotSent) && !errors.Is(err, table.ErrThrottled)
		last = err
	}
	if last == nil {
		last = eris.New("the configuration keeps changing")
	}
	kind := errkind.StoreUnavailable
	if sent {
		kind = errkind.FateUnknown
	}
	return nil, errkind.New(kind, last.Error())
}

func number(v *config.Version) uint64 {
	if v == nil {
		return 0
	}
	return v.Number
}

func (s *Store) commit(ctx context.Context, next *config.Version, rowVersion uint64) (table.Commit, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return table.Commit{}, eris.Wrap(err, "encode configuration")
	}
	return s.table.Commit(ctx, []table.Op{
		{Key: keyCurrent, Value: data, IfVersion: rowVersion},
		{Key: keyHead, Value: strconv.AppendUint(nil, next.Number, 10), IfVersion: table.Any},
		{Key: historyKey(next.Number), Value: data, IfVersion: 0},
	})
}

func historyKey(number uint64) string { return fmt.Sprintf("%s%012d", prefixHistory, number) }

// inHistory reports whether the change is the one recorded under its number.
func (s *Store) inHistory(ctx context.Context, v *config.Version) bool {
	recorded, err := s.Version(ctx, v.Number)
	return err == nil && recorded != nil && recorded.Nonce == v.Nonce
}

// Version returns a version by its number, or nil.
func (s *Store) Version(ctx context.Context, number uint64) (*config.Version, error) {
	row, err := s.table.Get(ctx, historyKey(number))
	if err != nil || row == nil {
		return nil, err
	}
	version := new(config.Version)
	return version, eris.Wrap(json.Unmarshal(row.Value, version), "decode configuration")
}

// History returns up to limit versions after a number, oldest first.
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

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
