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

// Times around the load of a play.
const (
	// warmUp lets all links open before the first job.
	warmUp = 3 * time.Second
	// coolDown lets the last jobs end.
	coolDown = 8 * time.Second
)

// play is one scenario on one deployment with one seed.
type play struct {
	world      *world
	deployment *Deployment
	scenario   *Scenario
	// rand draws the load. It is apart from the world's, so that policies are
	// compared under the same jobs.
	rand  *rand.Rand
	kinds []*kind
	// sound is the room of sound workers in each slot of time, used what runs took
	// of it, in cores.
	sound, used []float64
	count       int
}

// kind is a kind of jobs with what is derived from it.
type kind struct {
	*Kind
	index int
	queue *catalog.Queue
	// meanWork is that of its jobs, in core-seconds.
	meanWork float64
}

// Result is what a play gave.
type Result struct {
	Seed uint64
	// Broken are promises that did not hold.
	Broken []string
	tally  *tally
	// sound is the room of sound workers by slots of time, used what runs took of
	// it, in cores.
	sound, used []float64
	deployment  *Deployment
	scenario    *Scenario
	story       []string
}

// Play plays a scenario once.
func Play(d *Deployment, s *Scenario, p policy.Policy, seed uint64, story bool) *Result {
	y := &play{
		world: newWorld(seed, d.layout(p)), deployment: d, scenario: s, rand: rand.New(rand.NewPCG(seed, 11)),
	}
	w := y.world
	w.story = story
	w.tally = &tally{}
	for i := range d.Kinds {
		y.kinds = append(y.kinds, newKind(i, &d.Kinds[i]))
	}
	for i := range d.DataCentres {
		y.arrive(i)
	}
	for i := range s.Faults {
		y.begin(&s.Faults[i])
	}
	whole := warmUp + s.Duration.Std() + coolDown
	w.every(slot, worldStart.Add(whole), y.measureSound)
	w.run(whole)
	for _, r := range w.tally.records {
		r.end(fateUnanswered, w.since())
	}
	return &Result{
		Seed: seed, Broken: w.checks.broken, tally: w.tally, sound: y.sound, used: y.used, deployment: d, scenario: s, story: w.lines,
	}
}

func newKind(index int, k *Kind) *kind {
	steps := max(k.Steps, 1)
	return &kind{
		Kind: k, index: index, queue: k.newQueue(),
		meanWork: float64(steps) * k.Width.Mean * k.CPU.Mean / milliCores * k.WorkMillis.Mean / 1000,
	}
}

// measureSound notes the room that is there to be used.
func (p *play) measureSound() {
	sound, used := 0.0, 0.0
	for i, k := range p.world.workers {
		if k.down || k.draining || k.failing || p.world.agents[i].dead || p.world.aliveEntries() == 0 {
			continue
		}
		sound += float64(k.capacity.CPU) / milliCores * k.pace()
		for r := range k.running.Values() {
			used += float64(r.need.CPU) / milliCores * k.pace()
		}
	}
	p.sound = append(p.sound, sound)
	p.used = append(p.used, used)
}

// arrive draws the jobs of a data centre: a Poisson process whose rate follows
// the wave and the bursts, by thinning.
func (p *play) arrive(centre int) {
	peak := p.deployment.DataCentres[centre].Rate * p.scenario.Load * (1 + p.scenario.Swing)
	for _, f := range p.scenario.Faults {
		if f.What == "burst" {
			peak *= max(f.Factor, 1)
		}
	}
	if peak <= 0 {
		return
	}
	gaps := distuv.Exponential{Rate: peak, Src: p.rand}
	for at := 0.0; ; {
		at += gaps.Rand()
		if at >= p.scenario.Duration.Std().Seconds() {
			return
		}
		now := time.Duration(at * float64(time.Second))
		k := p.drawKind(now, centre, peak)
		if k != nil {
			p.schedule(now, k, centre)
		}
	}
}

// drawKind draws the kind of an arrival, or none if it is thinned out.
func (p *play) drawKind(now time.Duration, centre int, peak float64) *kind {
	total := 0.0
	for _, k := range p.kinds {
		total += k.Share
	}
	at := p.rand.Float64() * peak
	base := p.deployment.DataCentres[centre].Rate * p.scenario.Load * p.wave(now, centre)
	for _, k := range p.kinds {
		at -= base * k.Share / total * p.burst(now, k, centre)
		if at < 0 {
			return k
		}
	}
	return nil
}

// wave returns the factor of the wave on a data centre's rate.
func (p *play) wave(now time.Duration, centre int) float64 {
	if p.scenario.Swing == 0 {
		return 1
	}
	phase := float64(centre) / float64(len(p.deployment.DataCentres))
	return 1 + p.scenario.Swing*math.Sin(2*math.Pi*(now.Seconds()/p.scenario.Period.Std().Seconds()+phase))
}

// during calls do for each fault of a name that is under way for a kind of jobs.
func (p *play) during(what string, now time.Duration, k *kind, centre int, do func(f *Fault)) {
	for i := range p.scenario.Faults {
		f := &p.scenario.Faults[i]
		if f.What != what || now < f.At.Std() || now >= f.At.Std()+f.For.Std() {
			continue
		}
		if f.Kind != "" && f.Kind != k.Name {
			continue
		}
		if f.DataCentre != "" && f.DataCentre != p.deployment.DataCentres[centre].Name {
			continue
		}
		do(f)
	}
}

func (p *play) burst(now time.Duration, k *kind, centre int) float64 {
	factor := 1.0
	p.during("burst", now, k, centre, func(f *Fault) { factor *= f.Factor })
	return factor
}

// draw returns a value of a spread.
func (p *play) draw(s Spread) float64 {
	if s.Sigma == 0 {
		return s.Mean
	}
	v := distuv.LogNormal{Mu: math.Log(s.Mean) - s.Sigma*s.Sigma/2, Sigma: s.Sigma, Src: p.rand}.Rand()
	if s.Max > 0 {
		return min(v, s.Max)
	}
	return v
}

// schedule draws a job and has its caller hand it in at its time.
func (p *play) schedule(now time.Duration, k *kind, centre int) {
	p.count++
	j := &jobSpec{
		name: fmt.Sprintf("%016x", p.count), queue: k.queue, patience: k.Patience.Std(), durable: k.Durable,
		attempts: maxAttempts, returns: k.Returns,
	}
	works := p.drawSteps(j, k)
	failing := false
	p.during("impossible", now, k, centre, func(f *Fault) { failing = failing || p.rand.Float64() < f.Share })
	p.during("cancels", now, k, centre, func(f *Fault) {
		if p.rand.Float64() < f.Share {
			j.leavesAfter = time.Duration(p.rand.Float64() * float64(k.queue.Objective(chainOf(works))))
		}
	})
	errors := rand.New(rand.NewPCG(uint64(p.count), p.rand.Uint64()))
	j.run = func(key runs.Key) (time.Duration, bool) {
		step, index := position(key.Task)
		return works[step][index], failing || errors.Float64() < k.ErrorShare
	}
	j.record = p.newRecord(now, k, centre, j, works)
	if failing || j.leavesAfter > 0 {
		j.record.worth, j.record.late = 0, 0 // not owed
	} else {
		p.world.tally.records = append(p.world.tally.records, j.record)
	}
	j.choose = p.chooser(centre, p.caller(centre))
	p.world.after(warmUp+now, func() { p.world.submit(j) })
}

// maxAttempts is how often a caller without an answer sends a job.
const maxAttempts = 3

// drawSteps draws the steps of a job and returns the real work of its tasks.
func (p *play) drawSteps(j *jobSpec, k *kind) [][]time.Duration {
	var works [][]time.Duration
	base := p.draw(k.WorkMillis)
	declared := base * p.draw(Spread{Mean: 1, Sigma: k.EstimateOff}) * orOne(k.EstimateBias)
	for s := range max(k.Steps, 1) {
		width := max(int(math.Round(p.draw(k.Width))), 1)
		step := batch.Step{Count: width, Estimate: millis(declared)}
		step.Need.CPU = max(int(p.draw(k.CPU))/cpuGrain*cpuGrain, cpuGrain)
		step.Need.Memory = 64
		if s > 0 {
			step.After = []int{s - 1}
		}
		var list []time.Duration
		for range width {
			list = append(list, millis(base*p.draw(Spread{Mean: 1, Sigma: k.Uneven})))
		}
		works = append(works, list)
		j.steps = append(j.steps, step)
	}
	return works
}

// cpuGrain is the grain of processor room that callers ask for.
const cpuGrain = 50

// orOne stands in for a factor that is not given.
func orOne(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}

func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// chainOf returns the work of the longest chain.
func chainOf(works [][]time.Duration) time.Duration {
	var chain time.Duration
	for _, step := range works {
		longest := time.Duration(0)
		for _, work := range step {
			longest = max(longest, work)
		}
		chain += longest
	}
	return chain
}

// Worth of a job by its work against the mean: a fixed part, the rest in
// proportion, and at most four times that of a mean job.
const (
	fixedWorth = 0.3
	mostWorth  = 4.0
)

func (p *play) newRecord(now time.Duration, k *kind, centre int, j *jobSpec, works [][]time.Duration) *record {
	total := 0.0
	for s, step := range works {
		for _, work := range step {
			total += work.Seconds() * float64(j.steps[s].Need.CPU) / milliCores
		}
	}
	size := min(fixedWorth+(1-fixedWorth)*total/k.meanWork, mostWorth)
	return &record{
		kind: k.index, centre: centre, sent: warmUp + now, objective: j.queue.Objective(chainOf(works)),
		worth: k.Worth * size, late: k.LateWorth * size, work: total,
	}
}

// caller draws who hands a job in. With few callers entries have unequal loads: each
// keeps to one of them.
func (p *play) caller(centre int) int {
	drawn := p.rand.IntN(1 << 16)
	if n := p.deployment.DataCentres[centre].Callers; n > 0 {
		return int(xxh3.HashString(fmt.Sprint(centre, drawn%n)) >> 48)
	}
	return drawn
}

// chooser returns how a caller finds an entry: its own one in its data centre, or
// any that lives.
func (p *play) chooser(centre, caller int) func() *entryProcess {
	attempt := 0
	return func() *entryProcess {
		var own, other []*entryProcess
		for _, e := range p.world.entries {
			switch {
			case e.dead:
			case e.centre == p.deployment.DataCentres[centre].Name:
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
		attempt++
		return own[(caller+attempt)%len(own)]
	}
}

// Story returns the decisions of a play that was told.
func (r *Result) Story() []string { return r.story }
