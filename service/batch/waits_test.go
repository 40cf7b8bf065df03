package batch

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// TestCallsToTheStoreAtRestDoNotGrowWithTheFleet counts the waiting calls that return a
// second, of all entries together.
func TestCallsToTheStoreAtRestDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	rate := func(entries int) float64 { return float64(entries) / storeWait(entries, 8).Seconds() }
	is.Equal(storeWait(10, 4), waitShort)
	is.True(rate(50) <= 34 && rate(200) <= 34)
	is.Equal(storeWait(10_000, 8), waitLong)
}

// TestEntryThatHearsNobodyAsksTheStoreMoreOften: nobody else would tell it of a change.
func TestEntryThatHearsNobodyAsksTheStoreMoreOften(t *testing.T) {
	is := is.New(t)
	is.Equal(storeWait(200, 0), waitShort)
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
