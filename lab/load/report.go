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

// Quantiles are quantiles of response ratios.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	// N is the number of requests.
	N int64 `json:"n"`
}

// Ratios are the quantiles over all requests and by class.
type Ratios struct {
	Quantiles
	Class map[string]Quantiles `json:"class"`
}

// Report is the result of a run. Response ratios cover successful requests; counts of outcomes cover
// all requests, those of the flooding team included.
type Report struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// ResponseRatio has the response ratios without those of the flooding team.
	ResponseRatio Ratios `json:"response_ratio"`
	// CentralQueue has the response ratios of the function CentralQueue, a lower bound to
	// compare with.
	CentralQueue Quantiles `json:"central_queue"`
	// FloodRatio has the response ratios of the flooding team, if there is one.
	FloodRatio *Quantiles `json:"flood_ratio,omitempty"`
	// WastedPerTask is the number of messages beyond one start and one answer for each completed task,
	// per completed task.
	WastedPerTask float64 `json:"wasted_messages_per_task"`
	// WastedByCause splits WastedPerTask by cause.
	WastedByCause map[string]float64 `json:"wasted_by_cause"`
	// MessagesPerTask is the number of messages that entries sent, per completed task.
	MessagesPerTask float64 `json:"messages_per_task"`
	// StartsTwice is the number of tasks, without those of the flooding team, that were started more than
	// once although they must not be.
	StartsTwice int `json:"starts_twice"`
	// PartialAnswers is the number of successful answers that lack results or have wrong ones.
	PartialAnswers int `json:"partial_answers"`
	// FalseNotRun is the number of requests answered as not run although a task was started.
	FalseNotRun int `json:"false_not_run"`
	// CutInShutdown is the number of requests without any answer.
	CutInShutdown int `json:"cut_in_shutdown"`
	// Refused is the number of requests answered as not run, Failed that of all other failures.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// FailedRepeatable is the part of Failed whose tasks may be started twice.
	FailedRepeatable int `json:"failed_repeatable"`
	// Completed is the number of successful requests, CompletedTasks that of their tasks.
	Completed      int `json:"completed"`
	CompletedTasks int `json:"completed_tasks"`
	// ByKind counts refused and failed requests by error kind.
	ByKind map[string]int `json:"by_kind"`
	// AwakeSeconds is the time that workers were awake or waking, summed over all workers; IdealAwake is
	// the sum of IdealAwakeByTime.
	AwakeSeconds float64 `json:"awake_worker_seconds"`
	IdealAwake   float64 `json:"ideal_awake_worker_seconds"`
	// TableWrites and TableReads are the requests to the table service.
	TableWrites     uint64  `json:"table_writes"`
	TableReads      uint64  `json:"table_reads"`
	WritesPerSecond float64 `json:"table_writes_per_second"`
	// DurationSeconds is the time from the start of the run to the last answer.
	DurationSeconds float64 `json:"duration_seconds"`
	// PeakByWorker is the largest number of tasks at once, BusyByWorker the run time of all tasks in
	// seconds, of each worker that runs at the end.
	PeakByWorker map[string]int     `json:"peak_by_worker"`
	BusyByWorker map[string]float64 `json:"busy_seconds_by_worker"`
	// RatioByTime has the response ratios of each second of planned arrival.
	RatioByTime []Quantiles `json:"ratio_by_second"`
	// AwakeByTime is the number of running workers at each second.
	AwakeByTime []float64 `json:"awake_by_second"`
	// IdealAwakeByTime is the number of workers that the work arriving in each second keeps busy.
	IdealAwakeByTime []float64 `json:"ideal_awake_by_second"`
}

// ratioScale turns a ratio into the integer that the histogram records.
const ratioScale = 1000

// newHistogram returns a histogram of scaled ratios from 0.001 to 1,000,000, to 3 significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 1_000_000_000, 3) }

// quantiles returns the quantiles of a histogram of scaled ratios.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / ratioScale }
	return Quantiles{P50: at(50), P99: at(99), P999: at(99.9), N: h.TotalCount()}
}

// recordRatio adds one ratio to a histogram of scaled ratios.
func recordRatio(h *hdrhistogram.Histogram, ratio float64) {
	_ = h.RecordValue(max(1, int64(ratio*ratioScale))) // the histogram's range covers all ratios
}

// report evaluates the results of the run.
func (r *run) report() *Report {
	report := &Report{
		Policy: string(r.options.Policy), Seed: r.options.Seed, ByKind: make(map[string]int),
		DurationSeconds: time.Since(r.startedAt).Seconds(), AwakeByTime: r.awakeBySecond,
	}
	if report.Policy == "" {
		report.Policy = "finish"
	}
	r.addRatios(report)
	report.CentralQueue = CentralQueue(r.options.Mix, r.options.Plan, r.options.Spec.Agents*r.options.Spec.Slots)
	r.countOutcomes(report)
	r.countMessages(report)
	r.addWorkerUsage(report)
	return report
}

// addRatios adds the response ratios, overall, by class and by second of planned arrival.
func (r *run) addRatios(report *Report) {
	overall, flood := newHistogram(), newHistogram()
	classes := make(map[string]*hdrhistogram.Histogram)
	var bySecond []*hdrhistogram.Histogram
	for _, res := range r.results {
		if res.errorKind != errkind.OK {
			continue
		}
		if res.fromFlood {
			recordRatio(flood, res.ratio)
			continue
		}
		recordRatio(overall, res.ratio)
		if classes[res.class] == nil {
			classes[res.class] = newHistogram()
		}
		recordRatio(classes[res.class], res.ratio)
		second := int(res.plannedAt / time.Second)
		for len(bySecond) <= second {
			bySecond = append(bySecond, newHistogram())
		}
		recordRatio(bySecond[second], res.ratio)
	}
	report.ResponseRatio = Ratios{Quantiles: quantiles(overall), Class: make(map[string]Quantiles)}
	for class, h := range classes {
		report.ResponseRatio.Class[class] = quantiles(h)
	}
	for _, h := range bySecond {
		report.RatioByTime = append(report.RatioByTime, quantiles(h))
	}
	if flood.TotalCount() > 0 {
		q := quantiles(flood)
		report.FloodRatio = &q
	}
}

// countOutcomes counts completed, refused and failed requests and the violations of guarantees.
func (r *run) countOutcomes(report *Report) {
	for _, res := range r.results {
		switch {
		case res.errorKind == errkind.OK:
			report.Completed++
			report.CompletedTasks += res.tasks
		case res.ran == errkind.NotRun.String():
			report.Refused++
		default:
			report.Failed++
			report.FailedRepeatable += boolToInt(!res.atMostOnce)
		}
		if res.errorKind != errkind.OK {
			report.ByKind[res.errorKind.String()]++
		}
		report.PartialAnswers += boolToInt(res.partial)
		report.FalseNotRun += boolToInt(res.falseNotRun)
		report.CutInShutdown += boolToInt(res.unanswered)
	}
	report.StartsTwice = len(r.cluster.Journal.StartedTwice(r.atMostOnceTasks()))
}

// atMostOnceTasks returns a function that reports whether a task of the journal must not be started
// twice.
func (r *run) atMostOnceTasks() func(string) bool {
	atMostOnce := make(map[string]bool)
	for _, a := range r.options.Plan {
		atMostOnce[a.Key] = r.options.Mix.Kinds[a.Kind].AtMostOnce
	}
	return func(task string) bool {
		key, _, _ := strings.Cut(task, "/")
		return atMostOnce[key]
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// countMessages adds the messages between entries and agents and the requests to the table service.
func (r *run) countMessages(report *Report) {
	time.Sleep(time.Second) // entries publish their counters once a second
	var sum dispatch.Stats
	for _, e := range r.cluster.Entries() {
		stats := e.Entry.Stats()
		sum.Ran += stats.Ran
		sum.MessagesSent += stats.MessagesSent
		sum.WastedRefused += stats.WastedRefused
		sum.WastedRetry += stats.WastedRetry
		sum.WastedHedge += stats.WastedHedge
		sum.WastedCancel += stats.WastedCancel
		sum.WastedFence += stats.WastedFence
		sum.WastedUnmatched += stats.WastedUnmatched
		sum.WastedAck += stats.WastedAck
	}
	tasksRun := math.Max(1, float64(report.CompletedTasks))
	report.WastedPerTask = float64(sum.Wasted()) / tasksRun
	report.MessagesPerTask = float64(sum.MessagesSent) / tasksRun
	report.WastedByCause = map[string]float64{
		"refused": float64(sum.WastedRefused) / tasksRun, "retry": float64(sum.WastedRetry) / tasksRun,
		"hedge": float64(sum.WastedHedge) / tasksRun, "cancel": float64(sum.WastedCancel) / tasksRun,
		"fence": float64(sum.WastedFence) / tasksRun, "unmatched": float64(sum.WastedUnmatched) / tasksRun,
		"ack": float64(sum.WastedAck) / tasksRun,
	}
	counts := r.cluster.Table.Counts()
	report.TableWrites, report.TableReads = counts.Writes, counts.Reads
	report.WritesPerSecond = float64(counts.Writes) / report.DurationSeconds
}

// addWorkerUsage adds the use of the workers that run at the end, and the awake times.
func (r *run) addWorkerUsage(report *Report) {
	report.PeakByWorker = make(map[string]int)
	report.BusyByWorker = make(map[string]float64)
	for _, worker := range r.cluster.RunningWorkers() {
		peak, busy := worker.Server.Usage()
		report.PeakByWorker[worker.Worker] = peak
		report.BusyByWorker[worker.Worker] = busy.Seconds()
	}
	report.AwakeSeconds = r.cluster.Workers.AwakeSeconds()
	report.IdealAwakeByTime = r.idealAwake()
	for _, n := range report.IdealAwakeByTime {
		report.IdealAwake += n
	}
}

// idealAwake returns for each second how many workers the work that arrives in it keeps busy for one
// second.
func (r *run) idealAwake() []float64 {
	var workSeconds []float64
	for _, a := range r.options.Plan {
		second := int(a.At / time.Second)
		for len(workSeconds) <= second {
			workSeconds = append(workSeconds, 0)
		}
		for _, ms := range a.RunMs {
			workSeconds[second] += ms / 1000
		}
	}
	for i := range workSeconds {
		workSeconds[i] = math.Ceil(workSeconds[i] / float64(r.options.Spec.Slots))
	}
	return workSeconds
}

// Print writes a table with one line for each report, and then the classes and causes of each.
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
		fmt.Fprintf(w, "; wasted: %s; kinds: %v; of repeatable work: %d\n", wastedCauses(r), r.ByKind, r.FailedRepeatable)
	}
	return nil
}

// sortedClasses returns the names of a report's classes in alphabetical order.
func sortedClasses(r *Report) []string {
	names := make([]string, 0, len(r.ResponseRatio.Class))
	for name := range r.ResponseRatio.Class {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// wastedCauses lists the causes of wasted messages with their messages per task, without those of 0.
func wastedCauses(r *Report) string {
	var parts []string
	for cause, n := range r.WastedByCause {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s %.4f", cause, n))
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
