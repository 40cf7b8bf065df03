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

// BenchmarkConfiguration lets 4 operators race under lost answers of the table
// service, with an entry replaced in the middle, and reports the time from the
// acceptance of a change until it is in force on every live entry.
func BenchmarkConfiguration(b *testing.B) {
	c := startBench(b, func(s *Shape) { s.Entries = 4 })
	faults := c.TableFaults()
	faults.LoseAnswers, faults.DropRequests = 0.1, 0.1
	c.Table.SetFaults(faults)
	var mu sync.Mutex
	var took []time.Duration
	var all sync.WaitGroup
	time.AfterFunc(3*time.Second, func() {
		c.Entries()[3].Kill()
		_, _ = c.AddEntry()
	})
	race(c, b.N/4*4, func(version uint64) {
		at := time.Now()
		all.Add(1)
		go func() {
			defer all.Done()
			for !inForce(c, version) {
				time.Sleep(5 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(at))
		}()
	})
	all.Wait()
	if len(took) == 0 {
		return // the first, single iteration of the benchmark
	}
	slices.Sort(took)
	b.ReportMetric(float64(len(took)), "changes")
	b.ReportMetric(took[len(took)-1].Seconds(), "slowest-s")
	b.ReportMetric(took[len(took)/2].Seconds(), "p50-s")
}

// inForce reports whether all running entries have at least the version. One
// that has just started and has none yet serves nothing, and counts as well.
func inForce(c *Cluster, version uint64) bool {
	for _, m := range c.Entries() {
		if v := m.Entry.ConfigVersion(); m.Running() && v != 0 && v < version {
			return false
		}
	}
	return true
}

// BenchmarkMembership measures how long entries take to learn that an agent
// joined, leaves, or died.
func BenchmarkMembership(b *testing.B) {
	c := startBench(b, func(s *Shape) {
		s.Asleep = 1
		s.WakeTime = time.Hour
		s.Document.Policy.MinAwake = 0
		s.Document.Policy.Headroom = 0
	})
	worker := c.machines()[len(c.machines())-1].ID
	n := len(c.Nodes())
	until := func(want int) time.Duration {
		began := time.Now()
		for {
			ok := true
			for _, m := range c.Entries() {
				ok = ok && m.Entry.Usable() == want
			}
			if ok {
				return time.Since(began)
			}
			time.Sleep(time.Millisecond)
		}
	}
	slowest := make(map[string]time.Duration)
	note := func(what string, took time.Duration) { slowest[what] = max(slowest[what], took) }
	for range b.N {
		if err := c.StartNode(worker); err != nil {
			b.Fatal(err)
		}
		note("join-s", until(n+1))
		go c.StopNode(worker)
		note("leave-s", until(n))
		time.Sleep(time.Second)
		if err := c.StartNode(worker); err != nil {
			b.Fatal(err)
		}
		until(n + 1)
		go c.KillNode(worker)
		note("death-s", until(n))
		time.Sleep(time.Second)
	}
	for what, took := range slowest {
		b.ReportMetric(took.Seconds(), what)
	}
}
