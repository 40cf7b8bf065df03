package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"peridotpick.example/core/dispatch"
	"peridotpick.example/lab/caller"
)

func startBench(b *testing.B, change func(*Shape)) *Cluster {
	b.Helper()
	shape := Association()
	shape.Seed = 1
	shape.Document.Policy.MinAwake = shape.Agents
	change(&shape)
	c, err := Start(shape)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := c.Ready(ctx); err != nil {
		b.Fatal(err)
	}
	return c
}

func report(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50-ms", 0.5}, {"p99-ms", 0.99}} {
		b.ReportMetric(float64(took[int(q.at*float64(len(took)-1))])/float64(time.Millisecond), q.name)
	}
}

// BenchmarkCall is the response time of a call whose backend server answers at
// once, without a claim, at 2,000 calls a second.
func BenchmarkCall(b *testing.B) { benchmarkCall(b, false, 2000) }

// BenchmarkKeyedCall is the same with a claim and a synced write of 5 ms, at 100
// calls a second.
func BenchmarkKeyedCall(b *testing.B) { benchmarkCall(b, true, 100) }

func benchmarkCall(b *testing.B, keyed bool, rate int) {
	c := startBench(b, func(*Shape) {})
	clients := []*caller.Client{c.caller(0), c.caller(1), c.caller(2)}
	took := make([]time.Duration, b.N)
	var all sync.WaitGroup
	begin := time.Now()
	b.ResetTimer()
	for i := range b.N {
		at := begin.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(at))
		all.Add(1)
		go func() {
			defer all.Done()
			key := ""
			if keyed {
				key = fmt.Sprintf("bench-%d-%d", b.N, i)
			}
			began := time.Now()
			if _, err := clients[i%3].Call(AssociationService, "allergen-flag", key, 10*time.Second, []byte(`{}`)); err != nil {
				b.Error(err)
			}
			took[i] = time.Since(began)
		}()
	}
	all.Wait()
	report(b, took)
}

// BenchmarkStarts is the rate of task starts through one entry, with empty
// tasks in jobs of 140; one iteration is one task.
func BenchmarkStarts(b *testing.B) {
	const tasks = 140
	const callers = 24
	c := startBench(b, func(s *Shape) {
		s.Entries, s.Slots, s.Queue, s.Connections = 1, 64, 64, 128
		s.Tune = func(d *dispatch.Settings) { d.MaxWaiting = 100_000 }
	})
	var body caller.Job
	for range tasks {
		body.Tasks = append(body.Tasks, caller.Task{Service: AssociationService, Kind: "tray-scan", Payload: json.RawMessage(`{}`)})
	}
	client := c.caller(0)
	var next atomic.Int64
	var all sync.WaitGroup
	b.ResetTimer()
	for range callers {
		all.Add(1)
		go func() {
			defer all.Done()
			for {
				n := next.Add(tasks)
				if n-tasks >= int64(b.N) {
					return
				}
				if _, err := client.Submit(fmt.Sprintf("starts-%d-%d", b.N, n), body); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	all.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
}

// BenchmarkTakeover is the time from the death of an entry to the answer by
// another one, for a job whose tasks ran on meanwhile.
func BenchmarkTakeover(b *testing.B) {
	var took []time.Duration
	for i := range b.N {
		c := startBench(b, func(*Shape) {})
		key := fmt.Sprintf("takeover-%d", i)
		j := job(key, "shift-close", 20, 100)
		lost := make(chan error, 1)
		go func() { _, err := c.caller(0).Submit(key, j); lost <- err }()
		time.Sleep(50 * time.Millisecond)
		died := time.Now()
		c.Entries()[0].Kill()
		<-lost
		if _, err := c.caller(1).Submit(key, j); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(died))
	}
	report(b, took)
}
