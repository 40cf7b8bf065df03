package batch

import (
	"testing"
	"time"

	core "peridotpick.example/core/batch"
)

// TestTicksContinueUnderLoad guards against ticks that starve while events arrive without a pause:
// deadlines, leases and takeovers depend on them.
func TestTicksContinueUnderLoad(t *testing.T) {
	e, _ := startEntry(t)
	stop := make(chan struct{})
	flooded := make(chan struct{})
	go func() {
		defer close(flooded)
		for {
			select {
			case <-stop:
				return
			default:
				e.post(func(*core.Core, time.Time) {})
			}
		}
	}()
	defer func() { close(stop); <-flooded }()
	before := e.ticks.Load()
	waitFor(t, "no ticks during a flood of events", func() bool { return e.ticks.Load() > before+3 })
}
