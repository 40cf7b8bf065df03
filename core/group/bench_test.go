package group

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"peridotpick.example/core/claim"
)

// BenchmarkClaimDelay measures the time from Add of a write to its result, in virtual time, with a
// write latency of 5 ms and a budget of 250 transactions a second shared by the writers. Each job
// costs two writes, its claim and its outcome. Reported are the quantiles of the delay and the
// transactions a second of all writers.
func BenchmarkClaimDelay(b *testing.B) {
	cases := []struct {
		name    string
		writers int
		jobs    float64 // a second, over all writers
	}{
		{"today-3-entries-15-jobs", 3, 15},
		{"peak-65-entries-714-jobs", 65, 714},
		{"peak-16-writers-714-jobs", 16, 714},
		{"peak-5-writers-714-jobs", 5, 714},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			var delays []time.Duration
			var transactions float64
			for b.Loop() {
				delays, transactions = simulateDelays(c.writers, c.jobs/float64(c.writers))
			}
			slices.Sort(delays)
			ms := func(q float64) float64 {
				return float64(delays[int(q*float64(len(delays)-1))]) / float64(time.Millisecond)
			}
			b.ReportMetric(ms(0.5), "p50-ms")
			b.ReportMetric(ms(0.99), "p99-ms")
			b.ReportMetric(transactions*float64(c.writers), "writes/s")
		})
	}
}

const (
	simulatedTime  = 20 * time.Second
	simulationStep = 100 * time.Microsecond
	writeLatency   = 5 * time.Millisecond
	outcomeDelay   = 300 * time.Millisecond
)

// simulateDelays runs one of the writers with Poisson arrivals of jobs at the given rate a second.
// Each job writes its claim and, outcomeDelay later, its outcome. It returns the delays of all
// writes and the writer's transactions a second.
func simulateDelays(writers int, jobs float64) ([]time.Duration, float64) {
	rng := rand.New(rand.NewPCG(1, 1))
	g := New(DefaultParams())
	g.SetLiveEntries(writers)
	arrived := make(map[uint64]time.Time)
	var due []time.Time
	next := time.Duration(rng.ExpFloat64() / jobs * float64(time.Second))
	nonce := uint64(0)
	add := func(now time.Time) {
		nonce++
		arrived[nonce] = now
		g.Add(claim.Write{Row: &claim.Row{Submission: strconv.FormatUint(nonce, 10), Nonce: nonce}})
	}
	type transaction struct {
		id   uint64
		ends time.Time
	}
	var inFlight []transaction
	var delays []time.Duration
	for at := time.Duration(0); at < simulatedTime; at += simulationStep {
		now := start.Add(at)
		for next <= at {
			add(now)
			due = append(due, now.Add(outcomeDelay))
			next += time.Duration(rng.ExpFloat64() / jobs * float64(time.Second))
		}
		for len(due) > 0 && !due[0].After(now) {
			add(now)
			due = due[1:]
		}
		for len(inFlight) > 0 && !inFlight[0].ends.After(now) {
			g.Done(now, inFlight[0].id, Applied, 1, nil)
			inFlight = inFlight[1:]
		}
		for _, r := range g.Results() {
			delays = append(delays, now.Sub(arrived[r.Nonce]))
			delete(arrived, r.Nonce)
		}
		for group, _ := g.Next(now); group != nil; group, _ = g.Next(now) {
			inFlight = append(inFlight, transaction{group.ID, now.Add(writeLatency)})
		}
	}
	return delays, float64(g.Stats().Transactions) / simulatedTime.Seconds()
}
