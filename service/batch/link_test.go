package batch

import (
	"testing"
	"time"

	"storj.io/drpc"

	"peridotpick.example/wire/runs"
)

// blockedStream is a stream to an agent that reads nothing: closing it blocks.
type blockedStream struct {
	drpc.Stream
	release chan struct{}
}

func (s blockedStream) Close() error {
	<-s.release
	return nil
}

// TestStopOfBlockedLinkDoesNotBlock guards against an event loop that stands still because it closes the
// link of a silent agent while a message is being sent to it.
func TestStopOfBlockedLinkDoesNotBlock(t *testing.T) {
	stream := blockedStream{release: make(chan struct{})}
	defer close(stream.release)
	stopped := make(chan struct{})
	cancelled := make(chan struct{})
	l := newLink(runs.EntryStream{Stream: stream}, func() { close(cancelled) })
	go func() {
		l.stop()
		close(stopped)
	}()
	for _, done := range []chan struct{}{cancelled, stopped} {
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("stop blocks")
		}
	}
}
