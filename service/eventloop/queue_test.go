package eventloop

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestHandleBatchKeepsOrderAndStopsAfterABatch(t *testing.T) {
	is := is.New(t)
	const batch = 3
	q := New[*[]int](2*batch+2, batch, nil)
	for n := range 2*batch + 2 {
		q.Post(func(list *[]int, _ time.Time) { *list = append(*list, n) })
	}
	var got []int
	q.HandleBatch(<-q.Events(), &got, time.Time{})
	is.Equal(len(got), batch+1)
	for i, n := range got {
		is.Equal(i, n)
	}
}

func TestPostReturnsOnceTheLoopHasStopped(t *testing.T) {
	is := is.New(t)
	stopped := make(chan struct{})
	q := New[int](1, DefaultBatch, stopped)
	is.True(q.TryPost(func(int, time.Time) {}))
	is.True(!q.TryPost(func(int, time.Time) {})) // full
	close(stopped)
	q.Post(func(int, time.Time) {}) // returns
}
