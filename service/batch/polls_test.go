package batch

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPollsOfAnIdleFleetDoNotGrowWithItsSize checks the number of polls of all entries together
// that return per second.
func TestPollsOfAnIdleFleetDoNotGrowWithItsSize(t *testing.T) {
	is := is.New(t)
	rate := func(entries int) float64 { return float64(entries) / pollWait(entries, 8, 0.5).Seconds() }
	is.Equal(pollWait(10, 4, 0.9), minPollWait)
	is.True(rate(50) <= 45 && rate(200) <= 45)
	is.Equal(pollWait(10_000, 8, 1), maxPollWait)
}

// TestSomeEntryConfirmsAtAnyTime guards against polls in step after all entries have started at
// once: agents ask the store themselves if no entry has confirmed its view for a while.
func TestSomeEntryConfirmsAtAnyTime(t *testing.T) {
	is := is.New(t)
	const entries, until = 184, 60 * time.Second
	draw := rand.New(rand.NewPCG(1, 2))
	var confirmed []time.Duration
	for range entries {
		for at := time.Duration(0); at < until; {
			at += pollWait(entries, 8, draw.Float64())
			confirmed = append(confirmed, at)
		}
	}
	slices.Sort(confirmed)
	longest := time.Duration(0)
	for i := 1; i < len(confirmed) && confirmed[i] < until; i++ {
		longest = max(longest, confirmed[i]-confirmed[i-1])
	}
	is.True(longest < time.Second) // the rest of the three seconds that agents allow is left for the exchanges
}

// TestEntryWithoutExchangesPollsMoreOften checks that an entry that no other entry can tell of a
// change uses the shortest wait.
func TestEntryWithoutExchangesPollsMoreOften(t *testing.T) {
	is := is.New(t)
	is.Equal(pollWait(200, 0, 1), minPollWait)
	var s pollSet
	s.setExchangeCount(3)
	call, done := s.begin(context.Background())
	defer done()
	s.setExchangeCount(2)
	is.NoErr(call.Err())
	s.setExchangeCount(0)
	is.True(call.Err() != nil)
	again, ended := s.begin(context.Background())
	defer ended()
	s.setExchangeCount(0) // it already has no exchanges
	is.NoErr(again.Err())
}
