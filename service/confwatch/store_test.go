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

// flaky loses the answers of the first commits though they take effect.
type flaky struct {
	table.Table
	lose int
}

func (f *flaky) Commit(ctx context.Context, ops []table.Op) (table.Commit, error) {
	result, err := f.Table.Commit(ctx, ops)
	if f.lose > 0 {
		f.lose--
		return table.Commit{}, errors.New("answer lost")
	}
	return result, err
}

func TestLostAnswerIsNoConflictWithItself(t *testing.T) {
	is := is.New(t)
	s := NewStore(&flaky{Table: platformstandin.NewTable(1, 0, 0), lose: 1})
	v, err := s.Put(context.Background(), 0, "op", time.Now(), []byte(document))
	is.NoErr(err)
	is.Equal(v.Number, uint64(1))
}

func TestLoserSeesTheWinner(t *testing.T) {
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

func TestNeverBack(t *testing.T) {
	is := is.New(t)
	t1 := platformstandin.NewTable(1, 0, 0)
	s := NewStore(t1)
	ctx := context.Background()
	w := NewWatcher(s, zerolog.Nop(), func(*config.Compiled) {}, func(bool) {})
	is.True(!w.Fresh(time.Now()))
	for base := range uint64(3) {
		_, err := s.Put(ctx, base, "op", time.Now(), []byte(document))
		is.NoErr(err)
	}
	w.Poll(ctx)
	is.Equal(w.Current().Version, uint64(3))
	is.True(w.Fresh(time.Now()))
	is.True(!w.Fresh(time.Now().Add(InForceWithin + time.Second)))
	old, err := s.Version(ctx, 1)
	is.NoErr(err)
	w.offer(old, time.Now()) // a late answer with an old version
	is.Equal(w.Current().Version, uint64(3))
}
