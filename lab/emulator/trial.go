package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"
	"gonum.org/v1/gonum/stat/distuv"

	"peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/core/policy"
	"peridotpick.example/wire/runs"
)

// Times before and after the load of a trial.
const (
	// warmUp lets all links open before the first job.
	warmUp = 3 * time.Second
	// coolDown lets the last jobs end.
	coolDown = 8 * time.Second
)

// trial is one simulation of a scenario on a deployment with one seed.
type trial struct {
	sim        *simulation
	deployment *Deployment
	scenario   *Scenario
	// rand draws the load. It is separate from the simulation's source, so that policies are
	// compared under the same jobs.
	rand  *rand.Rand
	kinds []*jobKind
	// healthyCores is the CPU of the healthy workers in each slot of time, usedCores what runs used
	// of it, in cores.
	healthyCores, usedCores []float64
	jobCount                int
}

// jobKind is a kind of jobs with values derived from it.
type jobKind struct {
	*Kind
	index int
	queue *catalog.Queue
	// meanWork is the mean work of its jobs, in core-seconds.
	meanWork float64
}

// TrialResult is the result of a trial.
type TrialResult struct {
	Seed uint64
	// Violations are the violations of guarantees.
	Violations []string
	stats      *stats
	// healthyCores is the CPU of the healthy workers in each slot of time, usedCores what runs used
	// of it, in cores.
	healthyCores, usedCores []float64
	deployment              *Deployment
	scenario                *Scenario
	eventLog                []string
}

// Simulate runs one trial. With logEvents the result holds the event log.
func Simulate(d *Deployment, s *Scenario, p policy.Policy, seed uint64, logEvents bool) *TrialResult {
	t := &trial{
		sim: newSimulation(seed, d.config(p)), deployment: d, scenario: s, rand: rand.New(rand.NewPCG(seed, 11)),
	}
	sim := t.sim
	sim.logsEvents = logEvents
	sim.stats = &stats{}
	for i := range d.Kinds {
		t.kinds = append(t.kinds, newJobKind(i, &d.Kinds[i]))
	}
	for i := range d.DataCentres {
		t.generateArrivals(i)
	}
	for i := range s.Faults {
		t.scheduleFault(&s.Faults[i])
	}
	total := warmUp + s.Duration.Std() + coolDown
	sim.repeat(slotLength, simulationStart.Add(total), t.measureUsage)
	sim.run(total)
	for _, r := range sim.stats.records {
		r.end(outcomeUnanswered, sim.elapsed())
	}
	return &TrialResult{
		Seed: seed, Violations: sim.checker.violations, stats: sim.stats, healthyCores: t.healthyCores, usedCores: t.usedCores, deployment: d, scenario: s, eventLog: sim.eventLog,
	}
}

func newJobKind(index int, k *Kind) *jobKind {
	steps := max(k.Steps, 1)
	return &jobKind{
		Kind: k, index: index, queue: k.newQueue(),
		meanWork: float64(steps) * k.Width.Mean * k.CPU.Mean / milliCoresPerCore * k.WorkMillis.Mean / 1000,
	}
}

// measureUsage appends the CPU of the healthy workers, weighted by their speed, and the part of it
// that runs use. A worker is healthy if it is up, neither draining nor failing all runs, its agent is
// alive and so is at least one entry.
func (t *trial) measureUsage() {
	healthy, used := 0.0, 0.0
	for i, w := range t.sim.workers {
		if w.down || w.draining || w.failing || t.sim.agents[i].dead || t.sim.liveEntries() == 0 {
			continue
		}
		healthy += float64(w.capacity.CPU) / milliCoresPerCore * w.speed()
		for r := range w.running.Values() {
			used += float64(r.need.CPU) / milliCoresPerCore * w.speed()
		}
	}
	t.healthyCores = append(t.healthyCores, healthy)
	t.usedCores = append(t.usedCores, used)
}

// generateArrivals draws the jobs of a data centre from a Poisson process, whose rate follows the
// wave and the bursts, by thinning of a process with the peak rate.
func (t *trial) generateArrivals(dataCentre int) {
	peak := t.deployment.DataCentres[dataCentre].JobsPerSecond * t.scenario.LoadFactor * (1 + t.scenario.WaveAmplitude)
	for _, f := range t.scenario.Faults {
		if f.Name == "burst" {
			peak *= max(f.Factor, 1)
		}
	}
	if peak <= 0 {
		return
	}
	gaps := distuv.Exponential{Rate: peak, Src: t.rand}
	for at := 0.0; ; {
		at += gaps.Rand()
		if at >= t.scenario.Duration.Std().Seconds() {
			return
		}
		now := time.Duration(at * float64(time.Second))
		k := t.drawKind(now, dataCentre, peak)
		if k != nil {
			t.scheduleJob(now, k, dataCentre)
		}
	}
}

// drawKind draws the kind of an arrival, or returns nil if thinning drops it.
func (t *trial) drawKind(now time.Duration, dataCentre int, peak float64) *jobKind {
	total := 0.0
	for _, k := range t.kinds {
		total += k.Share
	}
	remaining := t.rand.Float64() * peak
	base := t.deployment.DataCentres[dataCentre].JobsPerSecond * t.scenario.LoadFactor * t.waveFactor(now, dataCentre)
	for _, k := range t.kinds {
		remaining -= base * k.Share / total * t.burstFactor(now, k, dataCentre)
		if remaining < 0 {
			return k
		}
	}
	return nil
}

// waveFactor returns the factor of the sine wave on a data centre's rate. The waves of the data
// centres are shifted evenly in phase.
func (t *trial) waveFactor(now time.Duration, dataCentre int) float64 {
	if t.scenario.WaveAmplitude == 0 {
		return 1
	}
	phase := float64(dataCentre) / float64(len(t.deployment.DataCentres))
	return 1 + t.scenario.WaveAmplitude*math.Sin(2*math.Pi*(now.Seconds()/t.scenario.WavePeriod.Std().Seconds()+phase))
}

// eachActiveFault calls visit for each fault of a name that is active for a kind of jobs and a data
// centre.
func (t *trial) eachActiveFault(name string, now time.Duration, k *jobKind, dataCentre int, visit func(f *Fault)) {
	for i := range t.scenario.Faults {
		f := &t.scenario.Faults[i]
		if f.Name != name || now < f.Start.Std() || now >= f.Start.Std()+f.Duration.Std() {
			continue
		}
		if f.Kind != "" && f.Kind != k.Name {
			continue
		}
		if f.DataCentre != "" && f.DataCentre != t.deployment.DataCentres[dataCentre].Name {
			continue
		}
		visit(f)
	}
}

func (t *trial) burstFactor(now time.Duration, k *jobKind, dataCentre int) float64 {
	factor := 1.0
	t.eachActiveFault("burst", now, k, dataCentre, func(f *Fault) { factor *= f.Factor })
	return factor
}

// sample draws a value from a distribution.
func (t *trial) sample(distribution LogNormal) float64 {
	if distribution.Sigma == 0 {
		return distribution.Mean
	}
	v := distuv.LogNormal{Mu: math.Log(distribution.Mean) - distribution.Sigma*distribution.Sigma/2, Sigma: distribution.Sigma, Src: t.rand}.Rand()
	if distribution.Max > 0 {
		return min(v, distribution.Max)
	}
	return v
}

// scheduleJob draws a job and schedules its submission.
func (t *trial) scheduleJob(now time.Duration, k *jobKind, dataCentre int) {
	t.jobCount++
	j := &jobSpec{
		name: fmt.Sprintf("%016x", t.jobCount), queue: k.queue, timeout: k.CallerTimeout.Std(), durable: k.Durable,
		submissionsLeft: maxSubmissions, retriesAfterRefusal: k.RetriesAfterRefusal,
	}
	works := t.drawSteps(j, k)
	failing := false
	t.eachActiveFault("impossible", now, k, dataCentre, func(f *Fault) { failing = failing || t.rand.Float64() < f.Share })
	t.eachActiveFault("cancels", now, k, dataCentre, func(f *Fault) {
		if t.rand.Float64() < f.Share {
			j.cancelAfter = time.Duration(t.rand.Float64() * float64(k.queue.Objective(criticalPath(works))))
		}
	})
	failureRand := rand.New(rand.NewPCG(uint64(t.jobCount), t.rand.Uint64()))
	j.taskWork = func(key runs.Key) (time.Duration, bool) {
		step, index := stepAndIndex(key.Task)
		return works[step][index], failing || failureRand.Float64() < k.FailureShare
	}
	j.record = t.newRecord(now, k, dataCentre, j, works)
	if failing || j.cancelAfter > 0 {
		j.record.worth, j.record.lateWorth = 0, 0 // does not count
	} else {
		t.sim.stats.records = append(t.sim.stats.records, j.record)
	}
	caller := t.drawCaller(dataCentre)
	if t.deployment.DataCentres[dataCentre].Callers > 0 {
		j.caller = fmt.Sprint(dataCentre, "/", caller)
	}
	j.nextEntry = t.entrySelector(dataCentre, caller)
	t.sim.schedule(warmUp+now, func() { t.sim.submit(j) })
}

// maxSubmissions is how often a caller submits a job that gets no answer.
const maxSubmissions = 3

// drawSteps draws the steps of a job and returns the real work of the tasks of each step.
func (t *trial) drawSteps(j *jobSpec, k *jobKind) [][]time.Duration {
	var works [][]time.Duration
	base := t.sample(k.WorkMillis)
	declared := base * t.sample(LogNormal{Mean: 1, Sigma: k.EstimateSigma}) * orOne(k.EstimateBias)
	for s := range max(k.Steps, 1) {
		width := max(int(math.Round(t.sample(k.Width))), 1)
		step := batch.Step{Count: width, Estimate: millis(declared)}
		step.Need.CPU = max(int(t.sample(k.CPU))/cpuGranularity*cpuGranularity, cpuGranularity)
		step.Need.Memory = 64
		if s > 0 {
			step.After = []int{s - 1}
		}
		var list []time.Duration
		for range width {
			list = append(list, millis(base*t.sample(LogNormal{Mean: 1, Sigma: k.WorkSigma})))
		}
		works = append(works, list)
		j.steps = append(j.steps, step)
	}
	return works
}

// cpuGranularity is the granularity of the CPU that tasks request, in thousandths of a core.
const cpuGranularity = 50

// orOne returns 1 for a factor that is not given.
func orOne(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}

// millis converts milliseconds to a duration.
func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// criticalPath returns the sum of the longest work in each step.
func criticalPath(works [][]time.Duration) time.Duration {
	var total time.Duration
	for _, step := range works {
		longest := time.Duration(0)
		for _, work := range step {
			longest = max(longest, work)
		}
		total += longest
	}
	return total
}

// Factors on the worth of a job by its work relative to the mean of its kind: a fixed part, the
// rest in proportion to the work, limited to four times the worth of a mean job.
const (
	fixedWorthFactor = 0.3
	maxWorthFactor   = 4.0
)

// newRecord returns the record of a job, whose worth depends on its work.
func (t *trial) newRecord(now time.Duration, k *jobKind, dataCentre int, j *jobSpec, works [][]time.Duration) *jobRecord {
	total := 0.0
	for s, step := range works {
		for _, work := range step {
			total += work.Seconds() * float64(j.steps[s].Need.CPU) / milliCoresPerCore
		}
	}
	size := min(fixedWorthFactor+(1-fixedWorthFactor)*total/k.meanWork, maxWorthFactor)
	return &jobRecord{
		kind: k.index, dataCentre: dataCentre, sent: warmUp + now, objective: j.queue.Objective(criticalPath(works)),
		worth: k.Worth * size, lateWorth: k.LateWorth * size, work: total,
	}
}

// drawCaller draws the caller that submits a job, as a number that selects its entry. With few
// callers the load of entries is uneven, since each caller submits all its jobs to the same entry
// first.
func (t *trial) drawCaller(dataCentre int) int {
	drawn := t.rand.IntN(1 << 16)
	if n := t.deployment.DataCentres[dataCentre].Callers; n > 0 {
		return int(xxh3.HashString(fmt.Sprint(dataCentre, drawn%n)) >> 48)
	}
	return drawn
}

// entrySelector returns a function that selects the entry for each submission: live entries of the
// caller's data centre in rotation, starting at one that depends on the caller, or all live
// ones if it has none.
func (t *trial) entrySelector(dataCentre, caller int) func() *entryProcess {
	submissions := 0
	return func() *entryProcess {
		var own, other []*entryProcess
		for _, e := range t.sim.entries {
			switch {
			case e.dead:
			case e.dataCentre == t.deployment.DataCentres[dataCentre].Name:
				own = append(own, e)
			default:
				other = append(other, e)
			}
		}
		if len(own) == 0 {
			own = other
		}
		if len(own) == 0 {
			return nil
		}
		submissions++
		return own[(caller+submissions)%len(own)]
	}
}

// EventLog returns the lines of the event log; it is empty unless Simulate was called with
// logEvents.
func (r *TrialResult) EventLog() []string { return r.eventLog }
