package lifecycle

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newProcess returns a Process that counts the calls of Drain.
func newProcess(drained *int) Process {
	work, abort := context.WithCancel(context.Background())
	return Process{Work: work, Abort: abort, Drain: func(context.Context) { *drained++ }}
}

// waitForCancel is a routine that waits for the end of its context.
func waitForCancel(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func TestRunDrainsWhenCancelled(t *testing.T) {
	is := is.New(t)
	drained := 0
	ctx, stop := context.WithCancel(context.Background())
	stop()
	is.NoErr(Run(ctx, newProcess(&drained), waitForCancel, waitForCancel))
	is.Equal(drained, 1)
}

func TestFailedRoutineStopsOthersWithoutDraining(t *testing.T) {
	is := is.New(t)
	drained := 0
	failed := errors.New("failed")
	is.Equal(Run(context.Background(), newProcess(&drained), waitForCancel, func(context.Context) error { return failed }), failed)
	is.Equal(drained, 0)
}

func TestAwaitIdle(t *testing.T) {
	is := is.New(t)
	asked := 0
	is.True(AwaitIdle(context.Background(), time.Minute, func() bool { asked++; return asked == 3 }))
	is.Equal(AwaitIdle(context.Background(), 30*time.Millisecond, func() bool { return false }), false)
	ended, end := context.WithCancel(context.Background())
	end()
	is.Equal(AwaitIdle(ended, time.Minute, func() bool { return true }), false)
}
