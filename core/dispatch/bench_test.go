package dispatch

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"peridotpick.example/core/claim"
	"peridotpick.example/wire"
)

// BenchmarkJobMemory measures the heap memory of a claimed submission of 140 tasks that waits or
// runs, without its payloads, and the encoded size of its claim.
func BenchmarkJobMemory(b *testing.B) {
	const jobs = 500
	const tasks = 140
	for b.Loop() {
		settings := DefaultSettings()
		settings.MaxWaiting = 1 << 20
		c := New(settings, wire.EntryInfo{ID: "entry-1", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
		c.SetLease(start.Add(time.Hour))
		for i := range 11 {
			c.LinkUp(start, LinkID(i+1), &wire.AgentInfo{ID: fmt.Sprint("agent-", i), Incarnation: 1, Address: "192.0.2.1:7200", Service: "tally", Slots: 8})
		}
		before := heapBytes()
		for n := range jobs {
			r := &Request{ID: uint64(n + 1), Submission: fmt.Sprintf("c/team/key-%d", n), Claimed: true, Team: "team", Weight: 1, Deadline: time.Hour}
			for range tasks {
				r.Tasks = append(r.Tasks, TaskSpec{Service: "tally", Kind: "scan", Class: 2, MaxRun: time.Second})
			}
			c.Submit(start, r)
			out := c.Flush(start)
			w := out.Writes[0]
			if n == 0 {
				data, err := w.Row.Encode()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "claim-bytes")
			}
			c.ClaimWritten(start, claim.Result{Submission: w.Row.Submission, Nonce: w.Row.Nonce, Status: claim.Applied, Version: 1})
			c.Flush(start)
		}
		b.ReportMetric(float64(heapBytes()-before)/jobs, "B/job")
		runtime.KeepAlive(c)
	}
}

// heapBytes returns the size of the live heap objects after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
