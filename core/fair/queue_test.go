package fair

import (
	"testing"

	"github.com/matryer/is"
)

// drain takes up to n items and returns how many of each value it took.
func drain(q *Queue[string], n int) map[string]int {
	got := make(map[string]int)
	q.Scan(func(v string) ScanResult {
		if n == 0 {
			return Blocked
		}
		n--
		got[v]++
		return Taken
	})
	return got
}

func TestSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	q := NewQueue[string](1000)
	for range 300 {
		q.Push(Item[string]{Team: "flood", Weight: 1, Value: "flood"})
	}
	for range 100 {
		q.Push(Item[string]{Team: "small", Weight: 3, Value: "small"})
	}
	got := drain(q, 100)
	is.Equal(got["small"], 75)
	is.Equal(got["flood"], 25)
}

func TestClassGoesFirst(t *testing.T) {
	is := is.New(t)
	q := NewQueue[string](10)
	q.Push(Item[string]{Class: 2, Team: "a", Weight: 1, Value: "scan"})
	q.Push(Item[string]{Class: 0, Team: "a", Weight: 1, Value: "flag"})
	is.Equal(drain(q, 1), map[string]int{"flag": 1})
}

func TestBlockedLaneDoesNotHoldUpOthers(t *testing.T) {
	is := is.New(t)
	q := NewQueue[string](10)
	q.Push(Item[string]{Team: "a", Weight: 1, Lane: "gpu", Value: "gpu"})
	q.Push(Item[string]{Team: "a", Weight: 1, Lane: "any", Value: "any"})
	var taken []string
	q.Scan(func(v string) ScanResult {
		if v == "gpu" {
			return Blocked
		}
		taken = append(taken, v)
		return Taken
	})
	is.Equal(taken, []string{"any"})
	is.Equal(q.Len(), 1)
}

func TestBound(t *testing.T) {
	is := is.New(t)
	q := NewQueue[string](1)
	is.True(q.Push(Item[string]{Team: "a", Weight: 1, Value: "1"}))
	is.True(!q.Push(Item[string]{Team: "a", Weight: 1, Value: "2"}))
	is.Equal(q.Free(), 0)
}

func TestUrgentOfAFloodDoesNotTakeAnotherTeamsShare(t *testing.T) {
	is := is.New(t)
	q := NewQueue[string](1000)
	for range 100 {
		q.Push(Item[string]{Class: 0, Team: "flood", Weight: 1, Value: "flood"})
	}
	q.Push(Item[string]{Class: 2, Team: "small", Weight: 1, Value: "small"})
	is.Equal(drain(q, 2)["small"], 1)
}
