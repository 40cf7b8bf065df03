package batch

import (
	"fmt"
	"testing"
	"time"

	"peridotpick.example/common/room"
	"peridotpick.example/wire/runs"
)

// BenchmarkPlan plans a job of one task for numbers of agents that an entry may have. 26 is the
// size of an entry's subset in a deployment of 55 entries and 240 agents.
func BenchmarkPlan(b *testing.B) {
	for _, agents := range []int{26, 240, 2700} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			c := New(Settings{DataCentre: "d", SilenceTimeout: time.Hour, SuspensionThreshold: time.Hour, CrossDataCentreCost: 4 * time.Millisecond})
			for i := range agents {
				c.LinkUp(begin, LinkID(i))
				c.Receive(begin, LinkID(i), &runs.ToEntry{
					Clock: 1,
					Worker: &runs.Worker{
						ID: workerID(i), Agent: fmt.Sprint("a", i), Service: "s", DataCentre: "d",
						Capacity: room.Resources{CPU: 4000, Memory: 1000},
					},
					Load: &runs.Load{Free: room.Resources{CPU: 4000, Memory: 1000}, Slowness: 100},
				})
			}
			j := c.newJob(&Request{Job: "j", Queue: queue, Steps: []Step{{Count: 1, Need: need, Estimate: 100 * time.Millisecond}}})
			b.ReportAllocs()
			for b.Loop() {
				c.planJob(j)
			}
		})
	}
}
