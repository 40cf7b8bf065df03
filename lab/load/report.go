package load

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/dispatch"
)

// Quantiles of response ratios.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	N    int64   `json:"n"`
}

// Ratios are the quantiles overall and by class.
type Ratios struct {
	Quantiles
	Class map[string]Quantiles `json:"class"`
}

// Report is the result of a run.
type Report struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// ResponseRatio is response time over ideal.
	ResponseRatio Ratios `json:"response_ratio"`
	// CentralQueue is the bound: see CentralQueue.
	CentralQueue Quantiles `json:"central_queue"`
	// FloodRatio is that of the flooding team, if there was one.
	FloodRatio *Quantiles `json:"flood_ratio,omitempty"`
	// WastedPerTask counts messages beyond one send and one answer of each task that ran.
	WastedPerTask   float64            `json:"wasted_messages_per_task"`
	WastedByCause   map[string]float64 `json:"wasted_by_cause"`
	MessagesPerTask float64            `json:"messages_per_task"`
	StartsTwice     int                `json:"starts_twice"`
	PartialAnswers  int                `json:"partial_answers"`
	FalseNotRun     int                `json:"false_not_run"`
	CutInShutdown   int                `json:"cut_in_shutdown"`
	Refused         int                `json:"refused"`
	Failed          int                `json:"failed"`
	// FailedRepeatable are failures, not refusals, of work that may be repeated.
	FailedRepeatable int                `json:"failed_repeatable"`
	Completed        int                `json:"completed"`
	CompletedTasks   int                `json:"completed_tasks"`
	ByKind           map[string]int     `json:"by_kind"`
	AwakeSeconds     float64            `json:"awake_worker_seconds"`
	IdealAwake       float64            `json:"ideal_awake_worker_seconds"`
	TableWrites      uint64             `json:"table_writes"`
	TableReads       uint64             `json:"table_reads"`
	WritesPerSecond  float64            `json:"table_writes_per_second"`
	DurationSeconds  float64            `json:"duration_seconds"`
	PeakByWorker     map[string]int     `json:"peak_by_worker"`
	BusyByWorker     map[string]float64 `json:"busy_seconds_by_worker"`
	RatioByTime      []Quantiles        `json:"ratio_by_second"`
	AwakeByTime      []float64          `json:"awake_by_second"`
	IdealAwakeByTime []float64          `json:"ideal_awake_by_second"`
}

// scale turns a ratio into the integer that the histogram counts.
const scale = 1000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 1_000_000_000, 3) }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / scale }
	return Quantiles{P50: at(50), P99: at(99), P999: at(99.9), N: h.TotalCount()}
}

func record(h *hdrhistogram.Histogram, ratio float64) {
	_ = h.RecordValue(max(1, int64(ratio*scale))) // the range covers all ratios
}

func (r *run) report() *Report {
	rep := &Report{
		Policy: string(r.options.Policy), Seed: r.options.Seed, ByKind: make(map[string]int),
		DurationSeconds: time.Since(r.began).Seconds(), AwakeByTime: r.awake,
	}
	if rep.Policy == "" {
		rep.Policy = "finish"
	}
	r.ratios(rep)
	rep.CentralQueue = CentralQueue(r.options.Mix, r.options.Plan, r.options.Shape.Agents*r.options.Shape.Slots)
	r.promises(rep)
	r.messages(rep)
	r.workers(rep)
	return rep
}

func (r *run) ratios(rep *Report) {
	overall, flood := newHistogram(), newHistogram()
	classes := make(map[string]*hdrhistogram.Histogram)
	var bySecond []*hdrhistogram.Histogram
	for _, res := range r.results {
		if res.kind != errkind.OK {
			continue
		}
		if res.flood {
			record(flood, res.ratio)
			continue
		}
		record(overall, res.ratio)
		if classes[res.class] == nil {
			classes[res.class] = newHistogram()
		}
		record(classes[res.class], res.ratio)
		second := int(res.at / time.Second)
		for len(bySecond) <= second {
			bySecond = append(bySecond, newHistogram())
		}
		record(bySecond[second], res.ratio)
	}
	rep.ResponseRatio = Ratios{Quantiles: quantiles(overall), Class: make(map[string]Quantiles)}
	for class, h := range classes {
		rep.ResponseRatio.Class[class] = quantiles(h)
	}
	for _, h := range bySecond {
		rep.RatioByTime = append(rep.RatioByTime, quantiles(h))
	}
	if flood.TotalCount() > 0 {
		q := quantiles(flood)
		rep.FloodRatio = &q
	}
}

func (r *run) promises(rep *Report) {
	for _, res := range r.results {
		switch {
		case res.kind == errkind.OK:
			rep.Completed++
			rep.CompletedTasks += res.tasks
		case res.ran == errkind.NotRun.String():
			rep.Refused++
		default:
			rep.Failed++
			rep.FailedRepeatable += count(!res.once)
		}
		if res.kind != errkind.OK {
			rep.ByKind[res.kind.String()]++
		}
		rep.PartialAnswers += count(res.partial)
		rep.FalseNotRun += count(res.falseNot)
		rep.CutInShutdown += count(res.noAnswer)
	}
	rep.StartsTwice = len(r.cluster.Journal.Twice(r.mayNotRepeat()))
}

// mayNotRepeat returns which tasks of the journal may be started only once.
func (r *run) mayNotRepeat() func(string) bool {
	once := make(map[string]bool)
	for _, a := range r.options.Plan {
		once[a.Key] = r.options.Mix.Kinds[a.Kind].Once
	}
	return func(task string) bool {
		key, _, _ := strings.Cut(task, "/")
		return once[key]
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (r *run) messages(rep *Report) {
	time.Sleep(time.Second) // counters are published once a second
	var sum dispatch.Stats
	for _, m := range r.cluster.Entries() {
		s := m.Entry.Stats()
		sum.Ran += s.Ran
		sum.MessagesSent += s.MessagesSent
		sum.WastedRefused += s.WastedRefused
		sum.WastedRetry += s.WastedRetry
		sum.WastedHedge += s.WastedHedge
		sum.WastedCancel += s.WastedCancel
		sum.WastedFence += s.WastedFence
		sum.WastedUnmatched += s.WastedUnmatched
		sum.WastedAck += s.WastedAck
	}
	ran := math.Max(1, float64(rep.CompletedTasks))
	rep.WastedPerTask = float64(sum.Wasted()) / ran
	rep.MessagesPerTask = float64(sum.MessagesSent) / ran
	rep.WastedByCause = map[string]float64{
		"refused": float64(sum.WastedRefused) / ran, "retry": float64(sum.WastedRetry) / ran,
		"hedge": float64(sum.WastedHedge) / ran, "cancel": float64(sum.WastedCancel) / ran,
		"fence": float64(sum.WastedFence) / ran, "unmatched": float64(sum.WastedUnmatched) / ran,
		"ack": float64(sum.WastedAck) / ran,
	}
	counts := r.cluster.Table.Counts()
	rep.TableWrites, rep.TableReads = counts.Writes, counts.Reads
	rep.WritesPerSecond = float64(counts.Writes) / rep.DurationSeconds
}

func (r *run) workers(rep *Report) {
	rep.PeakByWorker = make(map[string]int)
	rep.BusyByWorker = make(map[string]float64)
	for _, n := range r.cluster.Nodes() {
		peak, busy := n.Server.Usage()
		rep.PeakByWorker[n.Worker] = peak
		rep.BusyByWorker[n.Worker] = busy.Seconds()
	}
	rep.AwakeSeconds = r.cluster.Workers.AwakeSeconds()
	rep.IdealAwakeByTime = r.idealAwake()
	for _, n := range rep.IdealAwakeByTime {
		rep.IdealAwake += n
	}
}

// idealAwake returns for each second the workers that the work which arrived
// in it fills.
func (r *run) idealAwake() []float64 {
	var work []float64
	for _, a := range r.options.Plan {
		second := int(a.At / time.Second)
		for len(work) <= second {
			work = append(work, 0)
		}
		for _, ms := range a.RunMs {
			work[second] += ms / 1000
		}
	}
	for i := range work {
		work[i] = math.Ceil(work[i] / float64(r.options.Shape.Slots))
	}
	return work
}

// Print writes the summary of reports side by side.
func Print(w io.Writer, reports []*Report) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tseed\tp50\tp99\tp99.9\tbound p99\twasted/task\tcompleted\trefused\tfailed\ttwice\tpartial\tfalse not run\tcut\twrites/s\tawake s\t")
	for _, r := range reports {
		q := r.ResponseRatio
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.0f\t\n",
			r.Policy, r.Seed, q.P50, q.P99, q.P999, r.CentralQueue.P99, r.WastedPerTask, r.Completed, r.Refused, r.Failed,
			r.StartsTwice, r.PartialAnswers, r.FalseNotRun, r.CutInShutdown, r.WritesPerSecond, r.AwakeSeconds)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range reports {
		fmt.Fprintf(w, "%s seed %d p99 by class:", r.Policy, r.Seed)
		for _, class := range sortedClasses(r) {
			fmt.Fprintf(w, " %s %.3f", class, r.ResponseRatio.Class[class].P99)
		}
		fmt.Fprintf(w, "; wasted: %s; kinds: %v; of repeatable work: %d\n", causes(r), r.ByKind, r.FailedRepeatable)
	}
	return nil
}

func sortedClasses(r *Report) []string {
	names := make([]string, 0, len(r.ResponseRatio.Class))
	for name := range r.ResponseRatio.Class {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func causes(r *Report) string {
	var parts []string
	for cause, n := range r.WastedByCause {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s %.4f", cause, n))
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
