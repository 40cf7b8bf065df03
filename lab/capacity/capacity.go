// Package capacity measures how the cost of control grows with the number of
// agents, entries, teams, jobs and configuration changes, over real sockets on
// loopback with the stand-ins, and fits a line to each.
//
// All processes of a deployment are goroutines of one process here, so a slope
// is the cost of one more agent (say) to all parts together, its links and the
// stand-ins included. It is an upper bound for any one role; bench/processes
// measures real processes one by one.
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

// Sample is what one point cost.
type Sample struct {
	// X is the swept number.
	X float64 `json:"x"`
	// CPU is in percent of a core.
	CPU float64 `json:"cpuPercent"`
	// MemoryMB is heap and stacks in use.
	MemoryMB float64 `json:"memoryMB"`
	// BytesPerSecond counts bytes read and written by system calls, halved.
	BytesPerSecond float64 `json:"bytesPerSecond"`
	// WritesPerSecond and ReadsPerSecond are requests to the table service.
	WritesPerSecond float64 `json:"writesPerSecond"`
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	// Extra is the measure of the sweep itself, such as seconds to in force.
	Extra float64 `json:"extra,omitempty"`
}

// Sweep is one series of points.
type Sweep struct {
	Name   string
	Unit   string
	Points []float64
	// ExtraName names Sample.Extra; empty if there is none.
	ExtraName string
	// shape returns the deployment of a point, load the load put on it, which
	// runs until ctx ends and returns Extra.
	shape func(x float64) cluster.Shape
	load  func(ctx context.Context, c *cluster.Cluster, x float64) (float64, error)
}

// Times of one point.
const (
	settleTime = 4 * time.Second
	sampleTime = 6 * time.Second
	readyTime  = 60 * time.Second
	// pollEvery is how often a configuration change is looked for.
	pollEvery = 10 * time.Millisecond
)

// Sweeps returns all sweeps.
func Sweeps() []Sweep {
	return []Sweep{
		{Name: "agents", Unit: "agent at rest, 3 entries", Points: []float64{20, 40, 80, 160}, shape: withAgents, load: rest},
		{Name: "entries", Unit: "entry at rest, 40 agents", Points: []float64{2, 4, 6, 8}, shape: withEntries, load: rest},
		{Name: "teams", Unit: "team at rest, 3 entries, 11 agents", Points: []float64{10, 43, 86, 172}, shape: withTeams, load: rest},
		{Name: "jobs", Unit: "job a second of 140 empty tasks", Points: []float64{10, 20, 40, 80}, shape: today, load: jobs, ExtraName: "p99 ms"},
		{Name: "changes", Unit: "configuration change a second", Points: []float64{0.2, 0.5, 1, 2}, shape: today, load: changes, ExtraName: "slowest s"},
	}
}

func today(float64) cluster.Shape {
	s := cluster.Association()
	s.Document.Policy.MinAwake = s.Agents
	return s
}

func withAgents(x float64) cluster.Shape {
	s := today(x)
	s.Agents = int(x)
	s.Document.Policy.MinAwake = s.Agents
	return s
}

func withEntries(x float64) cluster.Shape {
	s := withAgents(40)
	s.Entries = int(x)
	return s
}

func withTeams(x float64) cluster.Shape {
	s := today(x)
	for i := range int(x) {
		s.Document.Teams = append(s.Document.Teams, config.Team{
			Name: fmt.Sprintf("team-%d", i), Weight: 1, Quota: 1000,
			Tokens: []config.Credential{{SHA256: config.HashToken(fmt.Sprint(i))}},
		})
	}
	return s
}

// rest puts no load on the deployment.
func rest(ctx context.Context, _ *cluster.Cluster, _ float64) (float64, error) {
	<-ctx.Done()
	return 0, nil
}

// tasksPerJob is that of the largest job.
const tasksPerJob = 140

// jobs submits x jobs a second in turn to all entries.
func jobs(ctx context.Context, c *cluster.Cluster, x float64) (float64, error) {
	var body caller.Job
	body.Deadline = "30s"
	for range tasksPerJob {
		body.Tasks = append(body.Tasks, caller.Task{Service: cluster.AssociationService, Kind: "tray-scan", Payload: json.RawMessage(`{}`)})
	}
	var clients []*caller.Client
	for _, m := range c.Entries() {
		clients = append(clients, caller.New(m.Entry.Address(), cluster.AssociationTeam))
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / x))
	defer tick.Stop()
	var open sync.WaitGroup
	var mu sync.Mutex
	var took []float64
	var failed error
	for i := 0; ctx.Err() == nil; i++ {
		open.Add(1)
		go func() {
			defer open.Done()
			began := time.Now()
			_, err := clients[i%len(clients)].Submit(fmt.Sprintf("sweep-%g-%d", x, i), body)
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(began).Seconds()*1000)
			if err != nil {
				failed = err
			}
		}()
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	open.Wait()
	return quantile(took, 0.99), failed
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// changes puts x configurations a second and returns the longest time until
// one was in force on every entry.
func changes(ctx context.Context, c *cluster.Cluster, x float64) (float64, error) {
	store := confwatch.NewStore(c.Table)
	slowest := 0.0
	document, err := json.Marshal(c.Shape.Document)
	if err != nil {
		return 0, eris.Wrap(err, "encode configuration")
	}
	for base := uint64(1); ctx.Err() == nil; base++ {
		put := time.Now()
		_, err := store.Put(ctx, base, "sweep", put, document)
		if err != nil {
			return slowest, ignoreEnd(ctx, err)
		}
		for ctx.Err() == nil && !inForce(c, base+1) {
			time.Sleep(pollEvery)
		}
		slowest = max(slowest, time.Since(put).Seconds())
		time.Sleep(time.Until(put.Add(time.Duration(float64(time.Second) / x))))
	}
	return slowest, nil
}

func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil && errkind.From(err).Kind != errkind.OK {
		return nil
	}
	return err
}

func inForce(c *cluster.Cluster, version uint64) bool {
	for _, m := range c.Entries() {
		if m.Entry.ConfigVersion() < version {
			return false
		}
	}
	return true
}

// Run measures all points of a sweep.
func (s Sweep) Run(ctx context.Context) ([]Sample, error) {
	var samples []Sample
	for _, x := range s.Points {
		sample, err := s.point(ctx, x)
		if err != nil {
			return samples, eris.Wrapf(err, "%s at %g", s.Name, x)
		}
		samples = append(samples, sample)
	}
	return samples, nil
}

func (s Sweep) point(ctx context.Context, x float64) (Sample, error) {
	shape := s.shape(x)
	shape.Seed = 1
	c, err := cluster.Start(shape)
	if err != nil {
		return Sample{}, err
	}
	defer c.Stop()
	ready, cancelReady := context.WithTimeout(ctx, readyTime)
	defer cancelReady()
	if err := c.Ready(ready); err != nil {
		return Sample{}, err
	}
	loading, stop := context.WithTimeout(ctx, settleTime+sampleTime)
	defer stop()
	type end struct {
		extra float64
		err   error
	}
	ended := make(chan end, 1)
	go func() {
		extra, err := s.load(loading, c, x)
		ended <- end{extra, err}
	}()
	time.Sleep(settleTime)
	before := readUsage(c)
	time.Sleep(sampleTime)
	sample := before.until(readUsage(c))
	sample.X = x
	stop()
	e := <-ended
	sample.Extra = e.extra
	return sample, e.err
}

// usage is the consumption of the process so far.
type usage struct {
	at            time.Time
	cpu           time.Duration
	bytes         uint64
	writes, reads uint64
	memory        float64
}

func readUsage(c *cluster.Cluster) usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r) // cannot fail for the own process
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	counts := c.Table.Counts()
	return usage{
		at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), bytes: ioBytes(),
		writes: counts.Writes, reads: counts.Reads, memory: float64(m.HeapInuse+m.StackInuse) / (1 << 20),
	}
}

// ioBytes returns the bytes that the process has read and written.
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

func (u usage) until(v usage) Sample {
	seconds := v.at.Sub(u.at).Seconds()
	return Sample{
		CPU: (v.cpu - u.cpu).Seconds() / seconds * 100, MemoryMB: v.memory,
		BytesPerSecond:  float64(v.bytes-u.bytes) / 2 / seconds,
		WritesPerSecond: float64(v.writes-u.writes) / seconds, ReadsPerSecond: float64(v.reads-u.reads) / seconds,
	}
}

// Fit is a line through the samples of one measure.
type Fit struct {
	Base, Slope float64
	// Error is the largest distance of a sample from the line, as a part of the
	// largest sample.
	Error float64
}

// FitOf fits a line to a measure.
func FitOf(samples []Sample, measure func(Sample) float64) Fit {
	var xs, ys []float64
	largest := 0.0
	for _, s := range samples {
		xs = append(xs, s.X)
		ys = append(ys, measure(s))
		largest = math.Max(largest, math.Abs(measure(s)))
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	worst := 0.0
	for i := range xs {
		worst = math.Max(worst, math.Abs(ys[i]-base-slope*xs[i]))
	}
	if largest > 0 {
		worst /= largest
	}
	return Fit{Base: base, Slope: slope, Error: worst}
}

// measures are what is fitted.
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

// Print writes the samples of a sweep and the fits.
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
		f := FitOf(samples, m.of)
		fmt.Fprintf(w, "  %s: %.4g + %.4g for each %s (largest error %.0f%%)\n", m.name, f.Base, f.Slope, s.Unit, f.Error*100)
	}
	return nil
}
