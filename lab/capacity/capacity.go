// Package capacity measures how the cost of control (CPU, memory, bytes, requests to the table service)
// grows with the number of agents, entries, teams, jobs and configuration changes, over loopback
// connections and with the fake platform and backend servers, and fits a line to each measure.
//
// All processes of a deployment are goroutines of one process here, so a slope is the cost of, for
// example, one more agent to all parts together, its links and the fakes included. It is an upper bound
// for any one role; bench/processes measures separate processes.
package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"

	"peridotpick.example/common/config"
	"peridotpick.example/common/errkind"
	"peridotpick.example/lab/caller"
	"peridotpick.example/lab/cluster"
	"peridotpick.example/service/confwatch"
)

// Sample is the cost measured at one point of a sweep.
type Sample struct {
	// X is the number that the sweep varies.
	X float64 `json:"x"`
	// CPU is the CPU time in percent of a core.
	CPU float64 `json:"cpuPercent"`
	// MemoryMB is the memory of heap and stacks in use after a garbage collection, in MiB.
	MemoryMB float64 `json:"memoryMB"`
	// BytesPerSecond counts bytes read and written by system calls, halved because each byte on a
	// connection is written and read by the same process.
	BytesPerSecond float64 `json:"bytesPerSecond"`
	// WritesPerSecond and ReadsPerSecond are requests to the table service.
	WritesPerSecond float64 `json:"writesPerSecond"`
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	// Extra is a measure that only this sweep has; see Sweep.ExtraName.
	Extra float64 `json:"extra,omitempty"`
}

// Sweep is a series of measurements that differ in one number.
type Sweep struct {
	Name string
	// Unit describes one unit of the varied number.
	Unit string
	// Points are the values of the varied number.
	Points []float64
	// ExtraName is the name and unit of Sample.Extra; empty if the sweep has no such measure.
	ExtraName string
	// spec returns the deployment of a point. load puts the load of a point on it until ctx ends, and
	// returns Sample.Extra.
	spec func(x float64) cluster.Spec
	load func(ctx context.Context, c *cluster.Cluster, x float64) (float64, error)
}

// Times of one measurement.
const (
	// settleTime is the time under load before the measurement, sampleTime its length.
	settleTime = 4 * time.Second
	sampleTime = 6 * time.Second
	// readyTimeout bounds the time until the started deployment is ready.
	readyTimeout = 60 * time.Second
	// pollInterval is the period of checks whether a configuration change is in force.
	pollInterval = 10 * time.Millisecond
)

// Sweeps returns all sweeps.
func Sweeps() []Sweep {
	return []Sweep{
		{Name: "agents", Unit: "agent at rest, 3 entries", Points: []float64{20, 40, 80, 160}, spec: withAgents, load: idle},
		{Name: "entries", Unit: "entry at rest, 40 agents", Points: []float64{2, 4, 6, 8}, spec: withEntries, load: idle},
		{Name: "teams", Unit: "team at rest, 3 entries, 11 agents", Points: []float64{10, 43, 86, 172}, spec: withTeams, load: idle},
		{Name: "jobs", Unit: "job a second of 140 empty tasks", Points: []float64{10, 20, 40, 80}, spec: currentSize, load: submitJobs, ExtraName: "p99 ms"},
		{Name: "changes", Unit: "configuration change a second", Points: []float64{0.2, 0.5, 1, 2}, spec: currentSize, load: changeConfig, ExtraName: "slowest s"},
	}
}

// currentSize returns the Association's deployment at its current size with all workers awake.
func currentSize(float64) cluster.Spec {
	s := cluster.Association()
	s.Document.Policy.MinAwake = s.Agents
	return s
}

func withAgents(x float64) cluster.Spec {
	s := currentSize(x)
	s.Agents = int(x)
	s.Document.Policy.MinAwake = s.Agents
	return s
}

func withEntries(x float64) cluster.Spec {
	s := withAgents(40)
	s.Entries = int(x)
	return s
}

func withTeams(x float64) cluster.Spec {
	s := currentSize(x)
	for i := range int(x) {
		s.Document.Teams = append(s.Document.Teams, config.Team{
			Name: fmt.Sprintf("team-%d", i), Weight: 1, Quota: 1000,
			Tokens: []config.Credential{{SHA256: config.HashToken(fmt.Sprint(i))}},
		})
	}
	return s
}

// idle puts no load on the deployment.
func idle(ctx context.Context, _ *cluster.Cluster, _ float64) (float64, error) {
	<-ctx.Done()
	return 0, nil
}

// tasksPerJob is the number of tasks of the largest job.
const tasksPerJob = 140

// submitJobs submits jobs of empty tasks, to the entries in turn, and returns the 99th percentile of the
// response times in milliseconds. The error is that of the last failed job.
func submitJobs(ctx context.Context, c *cluster.Cluster, jobsPerSecond float64) (float64, error) {
	var body caller.Job
	body.Deadline = "30s"
	for range tasksPerJob {
		body.Tasks = append(body.Tasks, caller.Task{Service: cluster.AssociationService, Kind: "tray-scan", Payload: json.RawMessage(`{}`)})
	}
	var clients []*caller.Client
	for _, e := range c.Entries() {
		clients = append(clients, caller.New(e.Entry.Address(), cluster.AssociationTeam))
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / jobsPerSecond))
	defer ticker.Stop()
	var openJobs sync.WaitGroup
	var mu sync.Mutex
	var responseTimesMs []float64
	var lastErr error
	for i := 0; ctx.Err() == nil; i++ {
		openJobs.Add(1)
		go func() {
			defer openJobs.Done()
			sentAt := time.Now()
			_, err := clients[i%len(clients)].Submit(fmt.Sprintf("sweep-%g-%d", jobsPerSecond, i), body)
			mu.Lock()
			defer mu.Unlock()
			responseTimesMs = append(responseTimesMs, time.Since(sentAt).Seconds()*1000)
			if err != nil {
				lastErr = err
			}
		}()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	openJobs.Wait()
	return quantile(responseTimesMs, 0.99), lastErr
}

// quantile returns the q-quantile of values, 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// changeConfig stores new configuration versions at a rate, each not before the previous one is in
// force, and returns the longest time from a change until it was in force on every entry, in seconds.
func changeConfig(ctx context.Context, c *cluster.Cluster, changesPerSecond float64) (float64, error) {
	store := confwatch.NewStore(c.Table)
	slowest := 0.0
	document, err := json.Marshal(c.Spec.Document)
	if err != nil {
		return 0, eris.Wrap(err, "encode configuration")
	}
	for base := uint64(1); ctx.Err() == nil; base++ {
		putAt := time.Now()
		_, err := store.Put(ctx, base, "sweep", putAt, document)
		if err != nil {
			return slowest, ignoreErrorAfterEnd(ctx, err)
		}
		for ctx.Err() == nil && !inForce(c, base+1) {
			time.Sleep(pollInterval)
		}
		slowest = max(slowest, time.Since(putAt).Seconds())
		time.Sleep(time.Until(putAt.Add(time.Duration(float64(time.Second) / changesPerSecond))))
	}
	return slowest, nil
}

// ignoreErrorAfterEnd returns nil if ctx has ended and err has an error kind, else err.
func ignoreErrorAfterEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil && errkind.From(err).Kind != errkind.OK {
		return nil
	}
	return err
}

// inForce reports whether every entry has a configuration version or a later one.
func inForce(c *cluster.Cluster, version uint64) bool {
	for _, e := range c.Entries() {
		if e.Entry.ConfigVersion() < version {
			return false
		}
	}
	return true
}

// Run measures all points of a sweep, one after the other. On an error it returns the samples so far.
func (s Sweep) Run(ctx context.Context) ([]Sample, error) {
	var samples []Sample
	for _, x := range s.Points {
		sample, err := s.measure(ctx, x)
		if err != nil {
			return samples, eris.Wrapf(err, "%s at %g", s.Name, x)
		}
		samples = append(samples, sample)
	}
	return samples, nil
}

// measure starts the deployment of a point, puts the load on it, and measures its cost.
func (s Sweep) measure(ctx context.Context, x float64) (Sample, error) {
	spec := s.spec(x)
	spec.Seed = 1
	c, err := cluster.Start(spec)
	if err != nil {
		return Sample{}, err
	}
	defer c.Stop()
	readyCtx, cancelReady := context.WithTimeout(ctx, readyTimeout)
	defer cancelReady()
	if err := c.WaitReady(readyCtx); err != nil {
		return Sample{}, err
	}
	loadCtx, stopLoad := context.WithTimeout(ctx, settleTime+sampleTime)
	defer stopLoad()
	type end struct {
		extra float64
		err   error
	}
	ended := make(chan end, 1)
	go func() {
		extra, err := s.load(loadCtx, c, x)
		ended <- end{extra, err}
	}()
	time.Sleep(settleTime)
	before := readUsage(c)
	time.Sleep(sampleTime)
	sample := before.ratesUntil(readUsage(c))
	sample.X = x
	stopLoad()
	outcome := <-ended
	sample.Extra = outcome.extra
	return sample, outcome.err
}

// usage is what the process has used since its start, and the memory that it has in use.
type usage struct {
	at            time.Time
	cpu           time.Duration
	ioBytes       uint64
	writes, reads uint64
	memoryMB      float64
}

// readUsage reads the usage of the process and of the table service, after a garbage collection.
func readUsage(c *cluster.Cluster) usage {
	var rusage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &rusage) // cannot fail for the own process
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	counts := c.Table.Counts()
	return usage{
		at: time.Now(), cpu: time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano()), ioBytes: ioBytes(),
		writes: counts.Writes, reads: counts.Reads, memoryMB: float64(memory.HeapInuse+memory.StackInuse) / (1 << 20),
	}
}

// ioBytes returns the bytes that the process has read and written by system calls; 0 if /proc has no
// such counters.
func ioBytes() uint64 {
	data, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0
	}
	var total uint64
	for _, line := range strings.Split(string(data), "\n") {
		var name string
		var n uint64
		if _, err := fmt.Sscanf(line, "%s %d", &name, &n); err == nil && (name == "rchar:" || name == "wchar:") {
			total += n
		}
	}
	return total
}

// ratesUntil returns the rates between two usages.
func (before usage) ratesUntil(after usage) Sample {
	seconds := after.at.Sub(before.at).Seconds()
	return Sample{
		CPU: (after.cpu - before.cpu).Seconds() / seconds * 100, MemoryMB: after.memoryMB,
		BytesPerSecond:  float64(after.ioBytes-before.ioBytes) / 2 / seconds,
		WritesPerSecond: float64(after.writes-before.writes) / seconds, ReadsPerSecond: float64(after.reads-before.reads) / seconds,
	}
}

// Fit is a line fitted to the samples of one measure: Intercept + Slope * X.
type Fit struct {
	Intercept, Slope float64
	// MaxError is the largest deviation of a sample from the line, as a part of the largest sample.
	MaxError float64
}

// FitLine fits a line to a measure by least squares.
func FitLine(samples []Sample, measure func(Sample) float64) Fit {
	var xs, ys []float64
	largest := 0.0
	for _, s := range samples {
		xs = append(xs, s.X)
		ys = append(ys, measure(s))
		largest = math.Max(largest, math.Abs(measure(s)))
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	maxError := 0.0
	for i := range xs {
		maxError = math.Max(maxError, math.Abs(ys[i]-intercept-slope*xs[i]))
	}
	if largest > 0 {
		maxError /= largest
	}
	return Fit{Intercept: intercept, Slope: slope, MaxError: maxError}
}

// measures are the measures that a line is fitted to.
var measures = []struct {
	name string
	of   func(Sample) float64
}{
	{"CPU, % of a core", func(s Sample) float64 { return s.CPU }},
	{"memory, MB", func(s Sample) float64 { return s.MemoryMB }},
	{"bytes a second", func(s Sample) float64 { return s.BytesPerSecond }},
	{"table writes a second", func(s Sample) float64 { return s.WritesPerSecond }},
	{"table reads a second", func(s Sample) float64 { return s.ReadsPerSecond }},
}

// Print writes a table of the samples of a sweep and the fitted lines.
func (s Sweep) Print(w io.Writer, samples []Sample) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s\tCPU %%\tmemory MB\tbytes/s\twrites/s\treads/s\t%s\t\n", s.Name, s.ExtraName)
	for _, p := range samples {
		fmt.Fprintf(t, "%g\t%.2f\t%.2f\t%.0f\t%.2f\t%.2f\t%.3f\t\n", p.X, p.CPU, p.MemoryMB, p.BytesPerSecond, p.WritesPerSecond, p.ReadsPerSecond, p.Extra)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, m := range measures {
		f := FitLine(samples, m.of)
		fmt.Fprintf(w, "  %s: %.4g + %.4g for each %s (largest error %.0f%%)\n", m.name, f.Intercept, f.Slope, s.Unit, f.MaxError*100)
	}
	return nil
}
