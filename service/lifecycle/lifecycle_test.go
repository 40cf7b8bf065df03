package lifecycle

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// process returns a process whose drain is counted.
func process(drained *int) Process {
	work, abort := context.WithCancel(context.Background())
	return Process{Work: work, Abort: abort, Drain: func(context.Context) { *drained++ }}
}

// untilEnd is a duty that goes on until it is ended.
func untilEnd(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func TestProcessThatIsAskedToEndDrains(t *testing.T) {
	is := is.New(t)
	drained := 0
	ctx, stop := context.WithCancel(context.Background())
	stop()
	is.NoErr(Run(ctx, process(&drained), untilEnd, untilEnd))
	is.Equal(drained, 1)
}

func TestFailedDutyEndsTheOthersWithoutDraining(t *testing.T) {
	is := is.New(t)
	drained := 0
	failed := errors.New("failed")
	is.Equal(Run(context.Background(), process(&drained), untilEnd, func(context.Context) error { return failed }), failed)
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
