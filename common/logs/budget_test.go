package logs

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBudgetLimitsEachEventAndCountsSuppressedLines(t *testing.T) {
	is := is.New(t)
	b := NewBudget(2)
	now := time.Unix(10, 0)
	for range 5 {
		b.Allow("start", now)
	}
	ok, _ := b.Allow("end", now)
	is.True(ok) // each event has a limit of its own
	ok, suppressed := b.Allow("start", now.Add(time.Second))
	is.True(ok)
	is.Equal(suppressed, 3)
}
