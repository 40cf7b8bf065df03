package ledger

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/wire/runs"
)

var removedQueue = &catalog.Queue{Name: "removed", Service: "s", Priority: 2, MaxAttempts: 3, Stretch: 1.6, Target: time.Second}

// TestJobWhoseQueueIsRemovedBeforeItIsStoredRuns guards against jobs that are accepted and never started: their
// queue was looked up in the configuration in force once they were stored.
func TestJobWhoseQueueIsRemovedBeforeItIsStoredRuns(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	c.Accept(after(10), 1, "j", NewRow(removedQueue, "x", []batch.Step{{Count: 1}}), after(10))
	w := c.Flush().Writes[0]
	c.SetCatalog(after(20), config(2, "q"))
	c.HandleWriteResult(after(30), w, WriteResult{Status: Applied, Version: 7})
	out := c.Flush()
	is.Equal(len(out.Answers), 1)
	is.Equal(len(out.Acquired), 1)
	is.Equal(*out.Acquired[0].Queue, *removedQueue)
}

// TestJobWhoseQueueWasRemovedIsTakenOver guards against jobs that nobody runs on after their owner is gone.
func TestJobWhoseQueueWasRemovedIsTakenOver(t *testing.T) {
	is := is.New(t)
	row := NewRow(removedQueue, "x", []batch.Step{{Count: 1}})
	row.Owner, row.Epoch = other, 1
	raw, err := row.Encode()
	is.NoErr(err)
	stored, err := Decode(raw)
	is.NoErr(err)
	c := newLoadedCore(StoredRow{Job: "j", Version: 3, Row: stored})
	c.ApplyChanges(after(4000), nil, after(3990))
	c.Tick(after(4000)) // the owner was never heard
	w := c.Flush().Writes[0]
	c.HandleWriteResult(after(4010), w, WriteResult{Status: Applied, Version: 4})
	out := c.Flush()
	is.Equal(len(out.Acquired), 1)
	is.Equal(*out.Acquired[0].Queue, *removedQueue)
}

// TestConfiguredQueueComesBeforeTheTermsOfTheRow has a later configuration with other terms.
func TestConfiguredQueueComesBeforeTheTermsOfTheRow(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	c.SetCatalog(after(5), catalog.New(2, catalog.Limits{}, []catalog.Queue{{Name: "removed", Service: "other"}}))
	c.Accept(after(10), 1, "j", NewRow(removedQueue, "x", []batch.Step{{Count: 1}}), after(10))
	c.HandleWriteResult(after(30), c.Flush().Writes[0], WriteResult{Status: Applied, Version: 7})
	is.Equal(c.Flush().Acquired[0].Queue.Service, "other")
}

// TestTermsOfOddQueuesCanBeRead guards against an accepted job whose own row is left out as odd.
func TestTermsOfOddQueuesCanBeRead(t *testing.T) {
	is := is.New(t)
	for _, q := range []catalog.Queue{
		{}, {Service: strings.Repeat("s", 2*runs.MaxNameBytes)}, {Priority: -1, MaxAttempts: -1, Stretch: -1, Target: -1}, {Stretch: math.NaN()}, {Stretch: math.Inf(1)},
		{Priority: math.MaxInt, MaxAttempts: math.MaxInt, Stretch: math.MaxFloat64, Target: math.MaxInt64},
	} {
		raw, err := NewRow(&q, "", []batch.Step{{Count: 1}}).Encode()
		is.NoErr(err)
		_, err = Decode(raw)
		is.NoErr(err)
	}
}

func TestOddTermsAreErrors(t *testing.T) {
	is := is.New(t)
	for _, odd := range []Terms{{}, {MaxAttempts: 1}, {MaxAttempts: 1, Stretch: math.NaN()}, {MaxAttempts: 1, Stretch: 1, Target: -1}, {MaxAttempts: 1, Stretch: 1, Priority: -1}} {
		raw, err := (&Row{Terms: &odd, Steps: []batch.Step{{Count: 1}}}).Encode()
		is.NoErr(err)
		_, err = Decode(raw)
		is.True(err != nil)
	}
}
