package transport

import (
	"context"
	"time"
)

// Timeouts of connections that are opened again when they break.
const (
	// DialTimeout bounds one attempt to open a connection. It is far above a round-trip time and
	// still short, since a host that is starting does not answer the first attempt.
	DialTimeout = 200 * time.Millisecond
	// retryMin and retryMax bound the pause between attempts, which doubles each time.
	retryMin = 50 * time.Millisecond
	retryMax = 100 * time.Millisecond
	// unreachableTimeout is the time after which an unreachable peer is given up.
	unreachableTimeout = 10 * time.Second
)

// Maintain maintains a connection to a peer. It calls serve repeatedly until ctx ends or the peer has
// been unreachable for unreachableTimeout. Each call of serve opens a connection, serves it until it
// breaks, and reports whether it was open.
func Maintain(ctx context.Context, serve func(context.Context) bool) {
	pause := retryMin
	lastUp := time.Now()
	for ctx.Err() == nil && time.Since(lastUp) < unreachableTimeout {
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
