// Package rank chooses the agent that is expected to finish a task first.
//
// A Pool holds what one entry knows of its agents: the load that each reported last, the tasks that
// the entry has sent since, and the run times and failure rates it has measured. A pick first
// selects the agents that can take the task (service, selector, not ejected, not leaving), then the
// one with the lowest expected time to completion. Few agents are all compared; of many, a random
// sample of limited size. This bounds the cost of a pick and keeps entries with equally old reports
// from choosing the same agent.
//
// Each agent has one entry as its home, the entry that mainly uses it. An entry prefers the agents
// whose home it is, since it knows their load best; all others are away agents.
//
// The package has no clock and no random source of its own.
package rank

import (
	"math/rand/v2"
	"slices"
	"time"

	"peridotpick.example/common/label"
)

// Policy names a way to choose among feasible agents.
type Policy string

// Policies. Finish is used in production; the others are baselines for measurements.
const (
	Finish      Policy = "finish"
	Random      Policy = "random"
	RoundRobin  Policy = "round-robin"
	LeastLoaded Policy = "least-loaded"
	TwoChoices  Policy = "two-choices"
)

// Policies returns all policies, Finish first.
func Policies() []Policy { return []Policy{Finish, Random, RoundRobin, LeastLoaded, TwoChoices} }

// Params are the parameters of the ranking.
type Params struct {
	Policy Policy
	// MaxFullScan is the highest number of feasible agents of which all are compared.
	MaxFullScan int
	// SampleSize is the number of agents compared if there are more than MaxFullScan.
	SampleSize int
	// QueueAllowance is the number of tasks beyond its slots that an agent may be given by the
	// Finish policy.
	QueueAllowance int
	// PreferHomes has the agents whose home is this entry tried before all others.
	PreferHomes bool
	// AwayMargin is the number of slots, beyond the one for the task, that must be expected to be
	// free at an away agent. It falls linearly to zero while the task waits for the mean run time.
	AwayMargin float64
	// AwayNoWait asks away agents to refuse a task rather than queue it. This shortens the wait,
	// for two more messages.
	AwayNoWait bool
	// LocalDataCentre is the data centre of the entry.
	LocalDataCentre string
	// DrainedDataCentres are the data centres whose agents get no new tasks. Policies Random and
	// RoundRobin ignore it.
	DrainedDataCentres []string
	// CrossLatency is the round-trip time to another data centre.
	CrossLatency time.Duration
	// DefaultRunTime is assumed for a kind without measured run times.
	DefaultRunTime time.Duration
}

// DefaultParams returns the parameters that apply unless configured otherwise.
func DefaultParams() Params {
	return Params{
		Policy: Finish, MaxFullScan: 16, SampleSize: 6, QueueAllowance: 0, PreferHomes: true, AwayMargin: 2, AwayNoWait: true,
		CrossLatency: 2 * time.Millisecond, DefaultRunTime: 200 * time.Millisecond,
	}
}

// Requirement is what a task requires of an agent.
type Requirement struct {
	Service  string
	Selector label.Selector
}

// Kind identifies an operation of a service.
type Kind struct{ Service, Name string }

// PickRequest describes the task for which an agent is picked.
type PickRequest struct {
	Requirement
	Kind Kind
	// Waited is how long the task has waited so far.
	Waited time.Duration
	// Spare is the number of slots that the task must leave free at each agent, for teams that use
	// less than their share.
	Spare float64
	// AvoidAgents are agents that the task must not be sent to.
	AvoidAgents []ID
}

// requirementKey identifies the set of agents that are feasible for a requirement.
type requirementKey struct{ service, selector string }

func (r Requirement) key() requirementKey { return requirementKey{r.Service, r.Selector.String()} }

// Pool is the set of agents that one entry may use. It is not safe for concurrent use.
type Pool struct {
	params Params
	agents map[ID]*Agent
	// order has the agents in the order in which they were added.
	order         []*Agent
	feasibleCache map[requirementKey]*feasibleSet
	kinds         map[Kind]*kindStats
	// generation changes with the set of agents.
	generation uint64
	// scratch and homeScratch are reused by each pick, so that it does not allocate.
	scratch     []*Agent
	homeScratch []*Agent
	// roundRobinNext is the place in the list at which the RoundRobin policy starts.
	roundRobinNext int
	rng            *rand.Rand
	// ejected is the number of ejected agents.
	ejected int
	// meanRun is the mean run time over all kinds, in nanoseconds; zero before the first result.
	meanRun float64
	// utilization is the mean load of all agents, as a fraction of their slots.
	utilization float64
}

// feasibleSet caches the feasible agents of one requirement until the set of agents changes.
type feasibleSet struct{ agents []*Agent }

// NewPool returns an empty pool that draws random numbers from rng.
func NewPool(params Params, rng *rand.Rand) *Pool {
	return &Pool{
		params: params, agents: make(map[ID]*Agent),
		feasibleCache: make(map[requirementKey]*feasibleSet), kinds: make(map[Kind]*kindStats), rng: rng,
	}
}

// Configure replaces the parameters.
func (p *Pool) Configure(params Params) { p.params = params }

// Generation returns a number that changes whenever an agent is added or removed.
func (p *Pool) Generation() uint64 { return p.generation }

// Agents returns the agents in the order in which they were added.
func (p *Pool) Agents() []*Agent { return p.order }

// Get returns the agent, or nil if it is not in the pool.
func (p *Pool) Get(id ID) *Agent { return p.agents[id] }

func (p *Pool) Add(a *Agent) {
	p.agents[a.ID] = a
	p.order = append(p.order, a)
	p.generation++
	clear(p.feasibleCache)
}

// Remove removes an agent, if it is in the pool.
func (p *Pool) Remove(id ID) {
	if p.agents[id] == nil {
		return
	}
	if p.agents[id].ejected {
		p.ejected--
	}
	delete(p.agents, id)
	remaining := make([]*Agent, 0, len(p.order))
	for _, a := range p.order {
		if a.ID != id {
			remaining = append(remaining, a)
		}
	}
	p.order = remaining
	p.generation++
	clear(p.feasibleCache)
}

// Feasible returns the agents that match r, whatever their load and state.
func (p *Pool) Feasible(r Requirement) []*Agent {
	k := r.key()
	if c := p.feasibleCache[k]; c != nil {
		return c.agents
	}
	c := new(feasibleSet)
	for _, a := range p.order {
		if a.Service == r.Service && r.Selector.Matches(a.Labels) {
			c.agents = append(c.agents, a)
		}
	}
	if len(p.feasibleCache) >= maxCachedRequirements {
		clear(p.feasibleCache)
	}
	p.feasibleCache[k] = c
	return c.agents
}

// maxCachedRequirements is the number of entries in feasibleCache from which the cache is cleared.
const maxCachedRequirements = 4096

// ClaimCandidates returns the candidates for the claim of a submission of n tasks: linked agents
// that are not leaving. If no more than MaxFullScan agents are feasible, it returns all such agents;
// otherwise as many as n tasks need plus the number of spares, from a random place in the list.
func (p *Pool) ClaimCandidates(r Requirement, n, spares int) []*Agent {
	feasible := p.Feasible(r)
	if len(feasible) <= p.params.MaxFullScan {
		return p.takeAvailable(feasible, 0, len(feasible), len(feasible))
	}
	slots := 0
	for _, a := range feasible {
		slots += a.Slots
	}
	perAgent := max(1, slots/len(feasible))
	want := min(len(feasible), (n+perAgent-1)/perAgent+spares)
	return p.takeAvailable(feasible, p.rng.IntN(len(feasible)), len(feasible), want)
}

// takeAvailable returns up to want agents that are linked and not leaving. It examines scan agents
// of the list, from index start on, and wraps around.
func (p *Pool) takeAvailable(list []*Agent, start, scan, want int) []*Agent {
	picked := make([]*Agent, 0, want)
	for i := 0; i < scan && len(picked) < want; i++ {
		a := list[(start+i)%len(list)]
		if !a.IsDown && !a.NotAccepting {
			picked = append(picked, a)
		}
	}
	return picked
}

// Choice is the result of a pick.
type Choice struct {
	Agent *Agent
	// RunnerUp is the second best of the agents compared, or nil.
	RunnerUp *Agent
	// NoWait asks the agent to refuse the task rather than queue it.
	NoWait bool
	// Spare is the number of slots that the agent has to leave free if it accepts the task.
	Spare int
	// ExpectedTime and RunnerUpExpectedTime are the expected times to completion. Policies that
	// compare loads set the estimated load instead, with one second per task.
	ExpectedTime, RunnerUpExpectedTime time.Duration
}

// Pick chooses an agent for a task. Choice.Agent is nil if none of the agents compared can take the
// task: each is full, ejected, leaving, without a link, in a drained data centre or in
// req.AvoidAgents.
func (p *Pool) Pick(now time.Time, req *PickRequest) Choice {
	return p.pickFrom(now, p.Feasible(req.Requirement), req)
}

// PickAmong is Pick restricted to the given agents.
func (p *Pool) PickAmong(now time.Time, among []*Agent, req *PickRequest) Choice {
	p.scratch = p.scratch[:0]
	for _, a := range among {
		if a.Service == req.Service && req.Selector.Matches(a.Labels) {
			p.scratch = append(p.scratch, a)
		}
	}
	return p.pickFrom(now, p.scratch, req)
}

// pickFrom chooses among feasible agents by the policy. The Finish policy tries the agents whose
// home is this entry first.
func (p *Pool) pickFrom(now time.Time, feasible []*Agent, req *PickRequest) Choice {
	switch p.params.Policy {
	case Random:
		return p.pickRandom(feasible, req.AvoidAgents)
	case RoundRobin:
		return p.pickRoundRobin(feasible, req.AvoidAgents)
	case TwoChoices:
		return p.pickSampled(now, feasible, req, 2, byLoad)
	case LeastLoaded:
		return p.pickSampled(now, feasible, req, len(feasible), byLoad)
	}
	if choice := p.pickHome(now, feasible, req); choice.Agent != nil {
		return choice.withSpare(req)
	}
	choice := p.pickSampled(now, feasible, req, p.sampleSize(feasible), byFinish)
	choice.NoWait = p.params.PreferHomes && p.params.AwayNoWait && choice.Agent != nil && !choice.Agent.IsHome && !p.hasWaitedLong(req.Waited)
	return choice.withSpare(req)
}

// withSpare has the agent enforce that req.Spare slots are left free, since the load known here may
// be out of date.
func (c Choice) withSpare(req *PickRequest) Choice {
	if req.Spare > 0 {
		c.NoWait = true
		c.Spare = int(req.Spare)
	}
	return c
}

// sampleSize returns how many agents of a list are compared.
func (p *Pool) sampleSize(list []*Agent) int {
	if len(list) > p.params.MaxFullScan {
		return p.params.SampleSize
	}
	return len(list)
}

// pickHome chooses among the agents whose home is this entry. Their load is known best, since few
// other entries send to them.
func (p *Pool) pickHome(now time.Time, feasible []*Agent, req *PickRequest) Choice {
	if !p.params.PreferHomes {
		return Choice{}
	}
	p.homeScratch = p.homeScratch[:0]
	for _, a := range feasible {
		if a.IsHome {
			p.homeScratch = append(p.homeScratch, a)
		}
	}
	return p.pickSampled(now, p.homeScratch, req, p.sampleSize(p.homeScratch), byFinish)
}

// scoring is what agents are compared by.
type scoring int

const (
	byFinish scoring = iota
	byLoad
)

// pickSampled chooses the best of sample agents: from a random start if all are compared, otherwise
// drawn at random with replacement.
func (p *Pool) pickSampled(now time.Time, feasible []*Agent, req *PickRequest, sample int, by scoring) Choice {
	var choice Choice
	if len(feasible) == 0 {
		return choice
	}
	run := p.RunTime(req.Kind)
	all := sample >= len(feasible)
	start := p.rng.IntN(len(feasible))
	if all {
		sample = len(feasible)
	}
	for i := range sample {
		index := (start + i) % len(feasible)
		if !all && i > 0 {
			index = p.rng.IntN(len(feasible))
		}
		a := feasible[index]
		if !p.isUsable(now, a, req, by) || containsID(req.AvoidAgents, a.ID) {
			continue
		}
		choice.consider(a, p.score(now, a, run, by))
	}
	return choice
}

// isUsable reports whether a may be given the task now. Policies that compare loads only check that
// a is linked, not leaving and not in a drained data centre.
func (p *Pool) isUsable(now time.Time, a *Agent, req *PickRequest, by scoring) bool {
	if a.NotAccepting || a.IsDown || slices.Contains(p.params.DrainedDataCentres, a.DataCentre) {
		return false
	}
	if by == byLoad {
		return true
	}
	if (a.ejected && !a.isProbeDue(now)) || (!a.ejected && a.hasTooManyOverdue()) {
		return false
	}
	limit := float64(a.Slots+p.params.QueueAllowance) - req.Spare
	if p.params.PreferHomes && !a.IsHome {
		limit -= p.params.AwayMargin * max(0, 1-float64(req.Waited)/float64(p.MeanRunTime()))
	}
	return p.Load(now, a)+1 <= limit
}

// hasWaitedLong reports whether a task has waited for the mean run time or longer. The agents of
// its home must then be overloaded, so it is better to queue at an away agent than to be refused.
func (p *Pool) hasWaitedLong(waited time.Duration) bool { return waited >= p.MeanRunTime() }

// score returns what agents are compared by, the lower the better: the expected time to completion,
// or the estimated load with one second per task.
func (p *Pool) score(now time.Time, a *Agent, run time.Duration, by scoring) time.Duration {
	if by == byLoad {
		return time.Duration(p.Load(now, a) * float64(time.Second))
	}
	finish := a.expectedFinish(p.Load(now, a), run)
	if a.DataCentre != p.params.LocalDataCentre {
		finish += p.params.CrossLatency
	}
	return finish
}

// consider updates the best and the second best agent by a.
func (c *Choice) consider(a *Agent, finish time.Duration) {
	switch {
	case c.Agent == nil || finish < c.ExpectedTime:
		c.RunnerUp, c.RunnerUpExpectedTime = c.Agent, c.ExpectedTime
		c.Agent, c.ExpectedTime = a, finish
	case a != c.Agent && (c.RunnerUp == nil || finish < c.RunnerUpExpectedTime):
		c.RunnerUp, c.RunnerUpExpectedTime = a, finish
	}
}

func (p *Pool) pickRandom(feasible []*Agent, avoid []ID) Choice {
	if len(feasible) == 0 {
		return Choice{}
	}
	return p.firstAvailableFrom(feasible, avoid, p.rng.IntN(len(feasible)))
}

func (p *Pool) pickRoundRobin(feasible []*Agent, avoid []ID) Choice {
	p.roundRobinNext++
	return p.firstAvailableFrom(feasible, avoid, p.roundRobinNext)
}

// firstAvailableFrom returns the first agent from index start on that is linked, not leaving and not
// in avoid; it wraps around.
func (p *Pool) firstAvailableFrom(feasible []*Agent, avoid []ID, start int) Choice {
	for i := range feasible {
		a := feasible[(start+i)%len(feasible)]
		if !a.NotAccepting && !a.IsDown && !containsID(avoid, a.ID) {
			return Choice{Agent: a}
		}
	}
	return Choice{}
}

func containsID(ids []ID, id ID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
