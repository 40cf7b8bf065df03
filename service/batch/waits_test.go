package batch

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallsToTheStoreAtRestDoNotGrowWithTheFleet counts the waiting calls that return a
// second, of all entries together.
func TestCallsToTheStoreAtRestDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	rate := func(entries int) float64 { return float64(entries) / storeWait(entries, 8, 0.5).Seconds() }
	is.Equal(storeWait(10, 4, 0.9), waitShort)
	is.True(rate(50) <= 45 && rate(200) <= 45)
	is.Equal(storeWait(10_000, 8, 1), waitLong)
}

// TestSomeEntryConfirmsAtAnyTime: agents ask the store themselves once no entry has
// confirmed its view for a while, so entries that have started at once must not go on in step.
func TestSomeEntryConfirmsAtAnyTime(t *testing.T) {
	is := is.New(t)
	const entries, until = 184, 60 * time.Second
	draw := rand.New(rand.NewPCG(1, 2))
	var confirmed []time.Duration
	for range entries {
		for at := time.Duration(0); at < until; {
			at += storeWait(entries, 8, draw.Float64())
			confirmed = append(confirmed, at)
		}
	}
	slices.Sort(confirmed)
	longest := time.Duration(0)
	for i := 1; i < len(confirmed) && confirmed[i] < until; i++ {
		longest = max(longest, confirmed[i]-confirmed[i-1])
	}
	is.True(longest < time.Second) // what is left to the exchanges of the three that agents allow
}

// TestEntryThatHearsNobodyAsksTheStoreMoreOften: nobody else would tell it of a change.
func TestEntryThatHearsNobodyAsksTheStoreMoreOften(t *testing.T) {
	is := is.New(t)
	is.Equal(storeWait(200, 0, 1), waitShort)
	var w storeWaits
	w.judge(3)
	call, done := w.begin(context.Background())
	defer done()
	w.judge(2)
	is.NoErr(call.Err())
	w.judge(0)
	is.True(call.Err() != nil)
	again, ended := w.begin(context.Background())
	defer ended()
	w.judge(0) // it is alone still
	is.NoErr(again.Err())
}
