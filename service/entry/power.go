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

// Times of power control.
const (
	powerEvery = 500 * time.Millisecond
	// inventoryEvery is the shortest pause between reads of the list of workers;
	// a long list is read less often, so that the reads stay within a budget of
	// inventoryBudget bytes a second at workerBytes for each worker.
	inventoryEvery  = 2 * time.Second
	inventoryBudget = 1024
	workerBytes     = 250
	// inventoryFresh is how old the list may be for a worker to be put to sleep.
	inventoryFresh = 6 * time.Second
	// restFor is how long an agent rests; it covers the time to drain and sleep.
	restFor = 30 * time.Second
	// defaultIdle is used if the configuration names no idle time.
	defaultIdle = 30 * time.Second
	// evenHomesUpTo is the number of workers up to which homes are dealt out in turn.
	evenHomesUpTo = 64
)

// powerControl is the goroutine that wakes workers and puts them to sleep.
type powerControl struct {
	entry   *Entry
	log     zerolog.Logger
	decider *wake.Decider
	workers []table.Worker
	readAt  time.Time
	askedAt time.Time
}

// power runs the power control until ctx ends.
func (e *Entry) power(ctx context.Context) error {
	if e.deps.Workers == nil {
		return nil
	}
	p := &powerControl{entry: e, log: e.deps.Logs.For(logs.Power), decider: wake.New(wake.Params{})}
	for ctx.Err() == nil {
		p.step(ctx)
		wait(ctx, powerEvery)
	}
	return nil
}

func (p *powerControl) step(ctx context.Context) {
	conf := p.entry.watcher.Current()
	if conf == nil {
		return
	}
	now := time.Now()
	if now.Sub(p.askedAt) >= p.inventoryPause() {
		p.askedAt = now
		p.readInventory(ctx, now)
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
	demand, agents := p.look()
	plan := p.decider.Decide(now, demand, p.home(agents), now.Sub(p.readAt) <= inventoryFresh)
	p.perform(ctx, plan)
}

func (p *powerControl) inventoryPause() time.Duration {
	needed := time.Duration(len(p.workers)*workerBytes) * time.Second / inventoryBudget
	return max(inventoryEvery, needed)
}

func (p *powerControl) readInventory(ctx context.Context, now time.Time) {
	limited, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	workers, err := p.entry.deps.Workers.List(limited)
	if err != nil {
		p.log.Warn().Err(err).Msg("power: workers not listed, none is put to sleep")
		return
	}
	p.workers, p.readAt = workers, now
	var sleeping []table.Worker
	var inventory []dispatch.Asleep
	for _, w := range workers {
		if w.Power == table.Awake {
			continue
		}
		sleeping = append(sleeping, w)
		for _, service := range w.Services {
			inventory = append(inventory, dispatch.Asleep{Service: service, Labels: workerLabels(w, p.entry.settings.Region)})
		}
	}
	p.entry.sleeping.Store(&sleeping)
	p.entry.post(func(core *dispatch.Core, _ time.Time) { core.SetInventory(inventory) })
}

// workerLabels returns the labels that the worker's agents will announce.
func workerLabels(w table.Worker, region string) map[string]string {
	labels := map[string]string{"worker": w.ID, "data-centre": w.DataCentre, "rack": w.Rack, "region": region}
	for name, value := range w.Labels {
		labels[name] = value
	}
	return labels
}

// agentPower is what the core knows of a worker's agent.
type agentPower struct {
	agent   rank.ID
	load    int
	resting bool
}

// look asks the loop for the demand and the agents by worker.
func (p *powerControl) look() (float64, map[string]agentPower) {
	type answer struct {
		demand float64
		agents map[string]agentPower
	}
	got := make(chan answer, 1)
	p.entry.post(func(core *dispatch.Core, _ time.Time) {
		agents := make(map[string]agentPower)
		for _, a := range core.Pool().Agents() {
			if !a.Down {
				agents[a.Worker] = agentPower{agent: a.ID, load: max(a.Reported, a.InFlight), resting: a.Leaving}
			}
		}
		got <- answer{core.Demand(), agents}
	})
	select {
	case a := <-got:
		return a.demand, a.agents
	case <-p.entry.work.Done():
		return 0, nil
	}
}

// home lists the workers whose home is this entry.
func (p *powerControl) home(agents map[string]agentPower) []wake.Worker {
	names := make([]string, 0, len(*p.entry.live.Load()))
	for _, e := range *p.entry.live.Load() {
		names = append(names, e.ID)
	}
	slices.Sort(names)
	slices.SortFunc(p.workers, func(a, b table.Worker) int { return strings.Compare(a.ID, b.ID) })
	ring := rendezvous.New(names, xxh3.HashString)
	var list []wake.Worker
	for i, w := range p.workers {
		home := names[i%len(names)]
		if len(p.workers) > evenHomesUpTo {
			home = ring.Lookup(w.ID)
		}
		if home != p.entry.self.ID {
			continue
		}
		a, linked := agents[w.ID]
		list = append(list, wake.Worker{
			ID: w.ID, Power: powerOf(w.Power, linked), Slots: w.Slots, Linked: linked, Resting: linked && a.resting, Load: a.load,
		})
	}
	return list
}

// powerOf counts a worker as awake only once its agent is linked.
func powerOf(state table.PowerState, linked bool) wake.Power {
	switch {
	case linked:
		return wake.Awake
	case state == table.Asleep:
		return wake.Asleep
	}
	return wake.Waking
}

func (p *powerControl) perform(ctx context.Context, plan wake.Plan) {
	for _, id := range plan.Wake {
		p.log.Info().Str("worker", id).Dur("wakeTime", p.decider.WakeTime()).Msg("power: worker woken")
		p.change(ctx, id, p.entry.deps.Workers.Wake)
		p.mark(id, table.Waking)
	}
	for _, id := range plan.Rest {
		p.log.Info().Str("worker", id).Msg("power: worker asked to rest")
		p.rest(id)
	}
	for _, id := range plan.Sleep {
		p.log.Info().Str("worker", id).Msg("power: worker put to sleep")
		p.change(ctx, id, p.entry.deps.Workers.Sleep)
	}
}

// mark notes a state until the next list says otherwise.
func (p *powerControl) mark(id string, state table.PowerState) {
	for i := range p.workers {
		if p.workers[i].ID == id {
			p.workers[i].Power = state
		}
	}
}

func (p *powerControl) change(ctx context.Context, id string, do func(context.Context, string) error) {
	limited, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if err := do(limited, id); err != nil {
		p.log.Warn().Err(err).Str("worker", id).Msg("power: change not confirmed, it is tried again")
	}
}

// rest asks the worker's agent to refuse new work for a while.
func (p *powerControl) rest(worker string) {
	p.entry.post(func(core *dispatch.Core, _ time.Time) {
		for _, a := range core.Pool().Agents() {
			if a.Worker == worker {
				p.entry.links.sendTo(a.ID, &wire.ToAgent{RestFor: restFor})
			}
		}
	})
}
