package logs

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBudgetBoundsEachEventAndTellsWhatItLeftOut(t *testing.T) {
	is := is.New(t)
	b := NewBudget(2)
	now := time.Unix(10, 0)
	for range 5 {
		b.Allow("start", now)
	}
	ok, _ := b.Allow("end", now)
	is.True(ok) // events do not crowd each other out
	ok, leftOut := b.Allow("start", now.Add(time.Second))
	is.True(ok)
	is.Equal(leftOut, 3)
}
