package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/dgryski/go-rendezvous"
	"github.com/rs/zerolog"
	"github.com/zeebo/xxh3"

	"peridotpick.example/common/logs"
	"peridotpick.example/common/table"
	"peridotpick.example/core/dispatch"
	"peridotpick.example/core/rank"
	"peridotpick.example/core/wake"
	"peridotpick.example/wire"
)

// Intervals and limits of power control.
const (
	// powerInterval is the pause between decisions.
	powerInterval = 500 * time.Millisecond
	// minListInterval is the shortest pause between reads of the worker list. A long list is read
	// less often, so that the reads stay within listBudget, in bytes per second, at bytesPerWorker
	// bytes for each worker.
	minListInterval = 2 * time.Second
	listBudget      = 1024
	bytesPerWorker  = 250
	// maxListAge is the age of the worker list up to which workers are put to sleep.
	maxListAge = 6 * time.Second
	// restDuration is the time for which an agent is asked to refuse new work before its worker
	// sleeps. It covers the time to finish its tasks and to put the worker to sleep.
	restDuration = 30 * time.Second
	// defaultIdle is the idle time before sleep if the configuration has none.
	defaultIdle = 30 * time.Second
	// maxRoundRobinHomes is the number of workers up to which homes are assigned round-robin, which
	// spreads few workers more evenly than rendezvous hashing.
	maxRoundRobinHomes = 64
)

// powerControl wakes workers and puts them to sleep. Each worker has one entry, its home, that
// decides on its power state.
type powerControl struct {
	entry           *Entry
	log             zerolog.Logger
	decider         *wake.Decider
	workers         []table.Worker
	listedAt        time.Time
	lastListAttempt time.Time
}

// runPowerControl runs power control until ctx ends; it returns at once if the platform has none.
func (e *Entry) runPowerControl(ctx context.Context) error {
	if e.deps.Workers == nil {
		return nil
	}
	p := &powerControl{entry: e, log: e.deps.Logs.For(logs.Power), decider: wake.New(wake.Params{})}
	for ctx.Err() == nil {
		p.step(ctx)
		sleep(ctx, powerInterval)
	}
	return nil
}

// step reads the worker list if that is due, decides, and executes the decisions.
func (p *powerControl) step(ctx context.Context) {
	conf := p.entry.watcher.Current()
	if conf == nil {
		return
	}
	now := time.Now()
	if now.Sub(p.lastListAttempt) >= p.listInterval() {
		p.lastListAttempt = now
		p.listWorkers(ctx, now)
	}
	if len(p.workers) == 0 {
		return
	}
	policy := conf.Document.Policy
	params := wake.Params{Headroom: policy.Headroom, MinAwake: policy.MinAwake, IdleBeforeSleep: policy.IdleBeforeSleep.Std()}
	if params.IdleBeforeSleep == 0 {
		params.IdleBeforeSleep = defaultIdle
	}
	p.decider.Configure(params)
	demand, agents := p.readDemand()
	plan := p.decider.Decide(now, demand, p.homeWorkers(agents), now.Sub(p.listedAt) <= maxListAge)
	p.execute(ctx, plan)
}

// listInterval returns the pause between reads of the worker list.
func (p *powerControl) listInterval() time.Duration {
	needed := time.Duration(len(p.workers)*bytesPerWorker) * time.Second / listBudget
	return max(minListInterval, needed)
}

// listWorkers reads the worker list and gives the core the backend servers of workers that are not
// awake. After an error the previous list stays.
func (p *powerControl) listWorkers(ctx context.Context, now time.Time) {
	timeoutCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	workers, err := p.entry.deps.Workers.List(timeoutCtx)
	if err != nil {
		p.log.Warn().Err(err).Msg("power: workers not listed, none is put to sleep")
		return
	}
	p.workers, p.listedAt = workers, now
	var sleeping []table.Worker
	var backends []dispatch.SleepingBackend
	for _, w := range workers {
		if w.Power == table.PowerAwake {
			continue
		}
		sleeping = append(sleeping, w)
		for _, service := range w.Services {
			backends = append(backends, dispatch.SleepingBackend{Service: service, Labels: workerLabels(w, p.entry.settings.Region)})
		}
	}
	p.entry.sleepingWorkers.Store(&sleeping)
	p.entry.post(func(core *dispatch.Core, _ time.Time) { core.SetSleepingBackends(backends) })
}

// workerLabels returns the labels that the worker's agents will announce.
func workerLabels(w table.Worker, region string) map[string]string {
	labels := map[string]string{"worker": w.ID, "data-centre": w.DataCentre, "rack": w.Rack, "region": region}
	for name, value := range w.Labels {
		labels[name] = value
	}
	return labels
}

// agentPower is what power control has to know about a worker's agent.
type agentPower struct {
	agent rank.ID
	// load is the larger of the reported load and the number of attempts in flight.
	load    int
	resting bool
}

// readDemand returns the demand, in slots, and the agents by worker ID, as the core knows them.
func (p *powerControl) readDemand() (float64, map[string]agentPower) {
	type answer struct {
		demand float64
		agents map[string]agentPower
	}
	answers := make(chan answer, 1)
	p.entry.post(func(core *dispatch.Core, _ time.Time) {
		agents := make(map[string]agentPower)
		for _, a := range core.Pool().Agents() {
			if !a.IsDown {
				agents[a.Worker] = agentPower{agent: a.ID, load: max(a.ReportedTasks, a.TasksInFlight), resting: a.NotAccepting}
			}
		}
		answers <- answer{core.SlotDemand(), agents}
	})
	select {
	case a := <-answers:
		return a.demand, a.agents
	case <-p.entry.work.Done():
		return 0, nil
	}
}

// homeWorkers returns the workers whose home is this entry.
func (p *powerControl) homeWorkers(agents map[string]agentPower) []wake.Worker {
	names := make([]string, 0, len(*p.entry.liveEntries.Load()))
	for _, e := range *p.entry.liveEntries.Load() {
		names = append(names, e.ID)
	}
	slices.Sort(names)
	slices.SortFunc(p.workers, func(a, b table.Worker) int { return strings.Compare(a.ID, b.ID) })
	hashing := rendezvous.New(names, xxh3.HashString)
	var list []wake.Worker
	for i, w := range p.workers {
		home := names[i%len(names)]
		if len(p.workers) > maxRoundRobinHomes {
			home = hashing.Lookup(w.ID)
		}
		if home != p.entry.self.ID {
			continue
		}
		a, linked := agents[w.ID]
		list = append(list, wake.Worker{
			ID: w.ID, Power: effectivePower(w.Power, linked), Slots: w.Slots, IsLinked: linked, IsResting: linked && a.resting, Load: a.load,
		})
	}
	return list
}

// effectivePower returns the power state for decisions: a worker is awake only once its agent is
// linked.
func effectivePower(state table.PowerState, linked bool) wake.Power {
	switch {
	case linked:
		return wake.Awake
	case state == table.PowerAsleep:
		return wake.Asleep
	}
	return wake.Waking
}

// execute carries out a plan.
func (p *powerControl) execute(ctx context.Context, plan wake.Plan) {
	for _, id := range plan.Wake {
		p.log.Info().Str("worker", id).Dur("wakeTime", p.decider.WakeTime()).Msg("power: worker woken")
		p.changePower(ctx, id, p.entry.deps.Workers.Wake)
		p.setPowerState(id, table.PowerWaking)
	}
	for _, id := range plan.Rest {
		p.log.Info().Str("worker", id).Msg("power: worker asked to rest")
		p.requestRest(id)
	}
	for _, id := range plan.Sleep {
		p.log.Info().Str("worker", id).Msg("power: worker put to sleep")
		p.changePower(ctx, id, p.entry.deps.Workers.Sleep)
	}
}

// setPowerState sets the power state of a worker until the next read of the worker list.
func (p *powerControl) setPowerState(id string, state table.PowerState) {
	for i := range p.workers {
		if p.workers[i].ID == id {
			p.workers[i].Power = state
		}
	}
}

// changePower wakes a worker or puts it to sleep by calling change. Errors are only logged, since
// the next decision repeats the change.
func (p *powerControl) changePower(ctx context.Context, id string, change func(context.Context, string) error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if err := change(timeoutCtx, id); err != nil {
		p.log.Warn().Err(err).Str("worker", id).Msg("power: change not confirmed, it is tried again")
	}
}

// requestRest asks the worker's agent to refuse new work for restDuration.
func (p *powerControl) requestRest(worker string) {
	p.entry.post(func(core *dispatch.Core, _ time.Time) {
		for _, a := range core.Pool().Agents() {
			if a.Worker == worker {
				p.entry.links.sendTo(a.ID, &wire.ToAgent{RestFor: restDuration})
			}
		}
	})
}
