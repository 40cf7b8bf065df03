package eventloop

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTakeKeepsOrderAndStopsAfterABatch(t *testing.T) {
	is := is.New(t)
	const batch = 3
	r := New[*[]int](2*batch+2, batch, nil)
	for n := range 2*batch + 2 {
		r.Post(func(list *[]int, _ time.Time) { *list = append(*list, n) })
	}
	var got []int
	r.HandleBatch(<-r.Events(), &got, time.Time{})
	is.Equal(len(got), batch+1)
	for i, n := range got {
		is.Equal(i, n)
	}
}

func TestPostReturnsOnceTheLoopHasStopped(t *testing.T) {
	is := is.New(t)
	stopped := make(chan struct{})
	r := New[int](1, DefaultBatch, stopped)
	is.True(r.TryPost(func(int, time.Time) {}))
	is.True(!r.TryPost(func(int, time.Time) {})) // full
	close(stopped)
	r.Post(func(int, time.Time) {}) // returns
}
