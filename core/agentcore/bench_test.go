package agentcore

import (
	"fmt"
	"runtime"
	"testing"

	"peridotpick.example/wire"
)

// BenchmarkTombstoneMemory measures the memory of a submission with a retained result of 200 bytes,
// and of a tombstone.
func BenchmarkTombstoneMemory(b *testing.B) {
	const submissions = 20000
	for b.Loop() {
		c := newCore(submissions, submissions)
		c.settings.MaxResultBytes = 1 << 30
		c.LinkUp(start, 1, entryA)
		before := heapBytes()
		for i := range submissions {
			id := fmt.Sprintf("c/team/key-%d", i)
			c.Receive(start, 1, startBatch(id, 1, 0, 0))
			c.ExecutionFinished(start, ExecID{id, 0, 1}, Completion{Payload: make([]byte, 200)})
		}
		b.ReportMetric(float64(heapBytes()-before)/submissions, "B/kept-result")
		for i := range submissions {
			c.Receive(start, 1, &wire.ToAgent{Acks: []wire.Ack{{Submission: fmt.Sprintf("c/team/key-%d", i), Epoch: 1}}})
		}
		b.ReportMetric(float64(heapBytes()-before)/submissions, "B/tombstone")
		runtime.KeepAlive(c)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
