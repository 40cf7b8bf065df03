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

// startBenchCluster starts the Association's deployment with all workers awake, which change may
// alter, waits until it is ready, and stops it when the benchmark ends.
func startBenchCluster(b *testing.B, change func(*Spec)) *Cluster {
	b.Helper()
	spec := Association()
	spec.Seed = 1
	spec.Document.Policy.MinAwake = spec.Agents
	change(&spec)
	c, err := Start(spec)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := c.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	return c
}

// reportQuantiles reports the median and the 99th percentile of durations in milliseconds.
func reportQuantiles(b *testing.B, durations []time.Duration) {
	slices.Sort(durations)
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50-ms", 0.5}, {"p99-ms", 0.99}} {
		b.ReportMetric(float64(durations[int(q.at*float64(len(durations)-1))])/float64(time.Millisecond), q.name)
	}
}

// BenchmarkCall measures the response time of calls without a claim whose backend server answers at
// once, at 2,000 calls a second.
func BenchmarkCall(b *testing.B) { benchmarkCall(b, false, 2000) }

// BenchmarkKeyedCall measures the response time of calls with a claim, which takes a synced write of
// 5 ms, at 100 calls a second.
func BenchmarkKeyedCall(b *testing.B) { benchmarkCall(b, true, 100) }

// benchmarkCall sends b.N calls, rate a second at fixed times, to the entries in turn.
func benchmarkCall(b *testing.B, keyed bool, rate int) {
	c := startBenchCluster(b, func(*Spec) {})
	clients := []*caller.Client{c.clientOf(0), c.clientOf(1), c.clientOf(2)}
	responseTimes := make([]time.Duration, b.N)
	var callsDone sync.WaitGroup
	start := time.Now()
	b.ResetTimer()
	for i := range b.N {
		plannedAt := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(plannedAt))
		callsDone.Add(1)
		go func() {
			defer callsDone.Done()
			key := ""
			if keyed {
				key = fmt.Sprintf("bench-%d-%d", b.N, i)
			}
			sentAt := time.Now()
			if _, err := clients[i%3].Call(AssociationService, "allergen-flag", key, 10*time.Second, []byte(`{}`)); err != nil {
				b.Error(err)
			}
			responseTimes[i] = time.Since(sentAt)
		}()
	}
	callsDone.Wait()
	reportQuantiles(b, responseTimes)
}

// BenchmarkStarts measures the rate of task starts through one entry, with empty tasks in jobs of 140
// from 24 callers; one iteration is one task.
func BenchmarkStarts(b *testing.B) {
	const tasks = 140
	const callers = 24
	c := startBenchCluster(b, func(s *Spec) {
		s.Entries, s.Slots, s.Queue, s.Connections = 1, 64, 64, 128
		s.Tune = func(d *dispatch.Settings) { d.MaxWaiting = 100_000 }
	})
	var body caller.Job
	for range tasks {
		body.Tasks = append(body.Tasks, caller.Task{Service: AssociationService, Kind: "tray-scan", Payload: json.RawMessage(`{}`)})
	}
	client := c.clientOf(0)
	var next atomic.Int64
	var callersDone sync.WaitGroup
	b.ResetTimer()
	for range callers {
		callersDone.Add(1)
		go func() {
			defer callersDone.Done()
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
	callersDone.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
}

// BenchmarkTakeover measures the time from the crash of an entry to the answer of another one to the
// same job, whose tasks run on meanwhile.
func BenchmarkTakeover(b *testing.B) {
	var takeoverTimes []time.Duration
	for i := range b.N {
		c := startBenchCluster(b, func(*Spec) {})
		key := fmt.Sprintf("takeover-%d", i)
		j := newJob(key, "shift-close", 20, 100)
		firstAnswer := make(chan error, 1)
		go func() { _, err := c.clientOf(0).Submit(key, j); firstAnswer <- err }()
		time.Sleep(50 * time.Millisecond)
		killedAt := time.Now()
		c.Entries()[0].Kill()
		<-firstAnswer
		if _, err := c.clientOf(1).Submit(key, j); err != nil {
			b.Fatal(err)
		}
		takeoverTimes = append(takeoverTimes, time.Since(killedAt))
	}
	reportQuantiles(b, takeoverTimes)
}

// BenchmarkConfiguration lets 4 operators race while the table service loses requests and answers, and
// replaces an entry meanwhile. It reports the time from the acceptance of a change until it is in
// force on every running entry.
func BenchmarkConfiguration(b *testing.B) {
	c := startBenchCluster(b, func(s *Spec) { s.Entries = 4 })
	faults := c.TableFaults()
	faults.LoseAnswers, faults.DropRequests = 0.1, 0.1
	c.Table.SetFaults(faults)
	var mu sync.Mutex
	var delays []time.Duration
	var watchers sync.WaitGroup
	time.AfterFunc(3*time.Second, func() {
		c.Entries()[3].Kill()
		_, _ = c.AddEntry()
	})
	raceOperators(c, b.N/4*4, func(version uint64) {
		acceptedAt := time.Now()
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			for !inForce(c, version) {
				time.Sleep(5 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			delays = append(delays, time.Since(acceptedAt))
		}()
	})
	watchers.Wait()
	if len(delays) == 0 {
		return // b.N is 1 at first, which is less than one change for each operator
	}
	slices.Sort(delays)
	b.ReportMetric(float64(len(delays)), "changes")
	b.ReportMetric(delays[len(delays)-1].Seconds(), "slowest-s")
	b.ReportMetric(delays[len(delays)/2].Seconds(), "p50-s")
}

// inForce reports whether all running entries have the version or a later one. An entry that has just
// started and has no configuration yet serves no request and does not count.
func inForce(c *Cluster, version uint64) bool {
	for _, e := range c.Entries() {
		if v := e.Entry.ConfigVersion(); e.IsRunning() && v != 0 && v < version {
			return false
		}
	}
	return true
}

// BenchmarkMembership measures how long it takes until all entries know that an agent has joined, is
// leaving or has crashed, and reports the slowest of each.
func BenchmarkMembership(b *testing.B) {
	c := startBenchCluster(b, func(s *Spec) {
		s.SleepingWorkers = 1
		s.WakeTime = time.Hour
		s.Document.Policy.MinAwake = 0
		s.Document.Policy.Headroom = 0
	})
	worker := c.workerList()[len(c.workerList())-1].ID
	n := len(c.RunningWorkers())
	waitForUsable := func(want int) time.Duration {
		began := time.Now()
		for {
			ok := true
			for _, e := range c.Entries() {
				ok = ok && e.Entry.UsableAgents() == want
			}
			if ok {
				return time.Since(began)
			}
			time.Sleep(time.Millisecond)
		}
	}
	slowest := make(map[string]time.Duration)
	recordSlowest := func(what string, took time.Duration) { slowest[what] = max(slowest[what], took) }
	for range b.N {
		if err := c.StartWorker(worker); err != nil {
			b.Fatal(err)
		}
		recordSlowest("join-s", waitForUsable(n+1))
		go c.StopWorker(worker)
		recordSlowest("leave-s", waitForUsable(n))
		time.Sleep(time.Second)
		if err := c.StartWorker(worker); err != nil {
			b.Fatal(err)
		}
		waitForUsable(n + 1)
		go c.KillWorker(worker)
		recordSlowest("death-s", waitForUsable(n))
		time.Sleep(time.Second)
	}
	for what, took := range slowest {
		b.ReportMetric(took.Seconds(), what)
	}
}
