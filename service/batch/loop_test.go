package batch

import (
	"testing"
	"time"

	core "peridotpick.example/core/batch"
)

// TestTimePassesUnderLoad: deadlines, leases and takeovers are judged also while
// events come without a pause.
func TestTimePassesUnderLoad(t *testing.T) {
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
	waitFor(t, "ticks beside a flood of events", func() bool { return e.ticks.Load() > before+3 })
}
