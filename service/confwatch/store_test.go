package confwatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpick.example/common/config"
	"peridotpick.example/common/table"
	"peridotpick.example/lab/platformstandin"
)

const document = `{"teams":[],"services":[],"policy":{}}`

// lossyTable loses the answers to the first commits, which take effect.
type lossyTable struct {
	table.Table
	answersToLose int
}

func (t *lossyTable) Commit(ctx context.Context, ops []table.Op) (table.CommitResult, error) {
	result, err := t.Table.Commit(ctx, ops)
	if t.answersToLose > 0 {
		t.answersToLose--
		return table.CommitResult{}, errors.New("answer lost")
	}
	return result, err
}

func TestRepeatedPutAfterALostAnswerIsNoConflict(t *testing.T) {
	is := is.New(t)
	s := NewStore(&lossyTable{Table: platformstandin.NewTable(1, 0, 0), answersToLose: 1})
	v, err := s.Put(context.Background(), 0, "op", time.Now(), []byte(document))
	is.NoErr(err)
	is.Equal(v.Number, uint64(1))
}

func TestConflictReportsTheWinningVersion(t *testing.T) {
	is := is.New(t)
	s := NewStore(platformstandin.NewTable(1, 0, 0))
	ctx := context.Background()
	_, err := s.Put(ctx, 0, "first", time.Now(), []byte(document))
	is.NoErr(err)
	_, err = s.Put(ctx, 0, "second", time.Now(), []byte(document))
	var conflict *Conflict
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Winner.Author, "first")
	history, err := s.History(ctx, 0, 10)
	is.NoErr(err)
	is.Equal(len(history), 1)
}

func TestWatcherNeverStepsBackToALowerVersion(t *testing.T) {
	is := is.New(t)
	t1 := platformstandin.NewTable(1, 0, 0)
	s := NewStore(t1)
	ctx := context.Background()
	w := NewWatcher(s, zerolog.Nop(), func(*config.CompiledDocument) {}, func(bool) {})
	is.True(!w.IsConfirmed(time.Now()))
	for base := range uint64(3) {
		_, err := s.Put(ctx, base, "op", time.Now(), []byte(document))
		is.NoErr(err)
	}
	w.poll(ctx)
	is.Equal(w.Current().Version, uint64(3))
	is.True(w.IsConfirmed(time.Now()))
	is.True(!w.IsConfirmed(time.Now().Add(maxPropagationTime + time.Second)))
	old, err := s.Version(ctx, 1)
	is.NoErr(err)
	w.update(old, time.Now()) // a delayed answer with an older version
	is.Equal(w.Current().Version, uint64(3))
}
