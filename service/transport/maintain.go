package transport

import (
	"context"
	"time"
)

// Times of keeping a connection.
const (
	// DialTimeout is far above a round trip; a machine that is just starting leaves
	// the first attempt without an answer.
	DialTimeout = 200 * time.Millisecond
	// retryMin and retryMax bound the pause before a connection is opened again.
	retryMin = 50 * time.Millisecond
	retryMax = 100 * time.Millisecond
	// ForgetAfter is how long a peer may be out of reach before it is forgotten.
	ForgetAfter = 10 * time.Second
)

// Keep calls serve, which opens a connection, serves it until it breaks and
// reports whether it was open, again and again until the peer is out of reach for
// long or ctx ends.
func Keep(ctx context.Context, serve func(context.Context) bool) {
	pause := retryMin
	lastUp := time.Now()
	for ctx.Err() == nil && time.Since(lastUp) < ForgetAfter {
		if serve(ctx) {
			lastUp = time.Now()
			pause = retryMin
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, retryMax)
	}
}
