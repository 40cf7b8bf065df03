// Package rank chooses the agent that is expected to finish a task first.
//
// A Pool is what one entry knows of its agents: the load each reported last,
// what the entry itself has sent since, learned run times and success rates.
// Picking is feasibility first (service, selector, not ejected, not leaving),
// then the lowest expected finish time. With few agents all are compared; with
// many, a bounded random sample, so that the cost does not grow and entries
// with equally old reports do not all choose the same agent.
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

// Policies. Finish is the product's; the others are baselines to measure against.
const (
	Finish      Policy = "finish"
	Random      Policy = "random"
	RoundRobin  Policy = "round-robin"
	LeastLoaded Policy = "least-loaded"
	TwoChoices  Policy = "two-choices"
)

// Policies lists all policies, the product's first.
func Policies() []Policy { return []Policy{Finish, Random, RoundRobin, LeastLoaded, TwoChoices} }

// Params tune the ranking.
type Params struct {
	Policy Policy
	// FullScan is the number of feasible agents up to which all are compared.
	FullScan int
	// Sample is the number compared beyond that.
	Sample int
	// Allowance is the number of tasks beyond its slots that an agent may be
	// given by the Finish policy.
	Allowance int
	// Homes prefers the agents that mainly this entry uses.
	Homes bool
	// AwayMargin is how many slots more than one must be expected to be free at
	// an agent whose home is another entry. It shrinks to none while the task
	// waits for the mean run time.
	AwayMargin float64
	// AwayRefuse asks agents away from home to refuse a task rather than queue
	// it: a shorter wait for two more messages.
	AwayRefuse bool
	// LocalDataCentre is that of the entry.
	LocalDataCentre string
	// Drained are data centres whose agents get nothing new.
	Drained []string
	// CrossLatency is the round trip to another data centre.
	CrossLatency time.Duration
	// DefaultRunTime is assumed for kinds never seen.
	DefaultRunTime time.Duration
}

// DefaultParams returns the settings used unless configured otherwise.
func DefaultParams() Params {
	return Params{
		Policy: Finish, FullScan: 16, Sample: 6, Allowance: 0, Homes: true, AwayMargin: 2, AwayRefuse: true,
		CrossLatency: 2 * time.Millisecond, DefaultRunTime: 200 * time.Millisecond,
	}
}

// Requirement is what a task asks of an agent.
type Requirement struct {
	Service  string
	Selector label.Selector
}

// Kind names an operation of a service.
type Kind struct{ Service, Name string }

// Ask is what a task asks of the pool.
type Ask struct {
	Requirement
	Kind Kind
	// Waited is how long the task has waited.
	Waited time.Duration
	// Spare is the number of slots at each agent that the task must leave free,
	// for teams that have less than their share.
	Spare float64
	// Avoid are agents that it must not be sent to.
	Avoid []ID
}

// key identifies the set of agents feasible for a requirement.
type key struct{ service, selector string }

func (r Requirement) key() key { return key{r.Service, r.Selector.String()} }

// Pool is the set of agents that one entry may use. Not safe for concurrent use.
type Pool struct {
	params   Params
	agents   map[ID]*Agent
	order    []*Agent
	feasible map[key]*candidates
	kinds    map[Kind]*kindStats
	// generation changes with the set of agents.
	generation uint64
	scratch    []*Agent
	homes      []*Agent
	next       int
	rng        *rand.Rand
	ejected    int
	// meanRun is the mean run time over all kinds, in nanoseconds.
	meanRun float64
	// utilization is the mean load of agents as a part of their slots.
	utilization float64
}

// candidates caches the feasible agents of one requirement until the set of agents changes.
type candidates struct{ agents []*Agent }

// NewPool returns an empty pool that draws from rng.
func NewPool(params Params, rng *rand.Rand) *Pool {
	return &Pool{
		params: params, agents: make(map[ID]*Agent),
		feasible: make(map[key]*candidates), kinds: make(map[Kind]*kindStats), rng: rng,
	}
}

// Configure replaces the parameters.
func (p *Pool) Configure(params Params) { p.params = params }

// Generation changes whenever an agent is added or removed.
func (p *Pool) Generation() uint64 { return p.generation }

// Agents returns the agents in the order in which they joined.
func (p *Pool) Agents() []*Agent { return p.order }

// Get returns the agent, or nil.
func (p *Pool) Get(id ID) *Agent { return p.agents[id] }

// Add adds an agent.
func (p *Pool) Add(a *Agent) {
	p.agents[a.ID] = a
	p.order = append(p.order, a)
	p.generation++
	clear(p.feasible)
}

// Remove removes an agent.
func (p *Pool) Remove(id ID) {
	if p.agents[id] == nil {
		return
	}
	if p.agents[id].ejected {
		p.ejected--
	}
	delete(p.agents, id)
	kept := make([]*Agent, 0, len(p.order))
	for _, a := range p.order {
		if a.ID != id {
			kept = append(kept, a)
		}
	}
	p.order = kept
	p.generation++
	clear(p.feasible)
}

// Feasible returns the agents that match r, busy or not.
func (p *Pool) Feasible(r Requirement) []*Agent {
	k := r.key()
	if c := p.feasible[k]; c != nil {
		return c.agents
	}
	c := new(candidates)
	for _, a := range p.order {
		if a.Service == r.Service && r.Selector.Matches(a.Labels) {
			c.agents = append(c.agents, a)
		}
	}
	if len(p.feasible) >= maxCachedRequirements {
		clear(p.feasible)
	}
	p.feasible[k] = c
	return c.agents
}

const maxCachedRequirements = 4096

// Best returns the agents that a submission of n tasks may be claimed for: all
// feasible ones that are up if they are few, else enough for n tasks, with
// spares, from a random place in the list.
func (p *Pool) Best(r Requirement, n, spares int) []*Agent {
	feasible := p.Feasible(r)
	if len(feasible) <= p.params.FullScan {
		return p.standing(feasible, 0, len(feasible), len(feasible))
	}
	slots := 0
	for _, a := range feasible {
		slots += a.Slots
	}
	perAgent := max(1, slots/len(feasible))
	want := min(len(feasible), (n+perAgent-1)/perAgent+spares)
	return p.standing(feasible, p.rng.IntN(len(feasible)), len(feasible), want)
}

// standing returns up to want agents that are up, from a start in the list.
func (p *Pool) standing(list []*Agent, start, scan, want int) []*Agent {
	picked := make([]*Agent, 0, want)
	for i := 0; i < scan && len(picked) < want; i++ {
		a := list[(start+i)%len(list)]
		if !a.Down && !a.Leaving {
			picked = append(picked, a)
		}
	}
	return picked
}

// Choice is the result of a pick.
type Choice struct {
	Agent *Agent
	// RunnerUp is the second best that was compared, or nil.
	RunnerUp *Agent
	// NoWait is set if the agent should refuse rather than queue the task.
	NoWait bool
	// Spare is the number of slots that the agent should keep free of it.
	Spare int
	// Finish and RunnerUpFinish are the expected times to completion.
	Finish, RunnerUpFinish time.Duration
}

// Pick chooses an agent for a task of the given kind that has waited for some
// time, or none if every
// feasible agent is full, ejected, leaving or in avoid.
func (p *Pool) Pick(now time.Time, ask *Ask) Choice {
	return p.pickFrom(now, p.Feasible(ask.Requirement), ask)
}

// PickAmong is Pick restricted to the given agents.
func (p *Pool) PickAmong(now time.Time, among []*Agent, ask *Ask) Choice {
	p.scratch = p.scratch[:0]
	for _, a := range among {
		if a.Service == ask.Service && ask.Selector.Matches(a.Labels) {
			p.scratch = append(p.scratch, a)
		}
	}
	return p.pickFrom(now, p.scratch, ask)
}

func (p *Pool) pickFrom(now time.Time, feasible []*Agent, ask *Ask) Choice {
	switch p.params.Policy {
	case Random:
		return p.pickRandom(feasible, ask.Avoid)
	case RoundRobin:
		return p.pickRoundRobin(feasible, ask.Avoid)
	case TwoChoices:
		return p.pickSampled(now, feasible, ask, 2, byLoad)
	case LeastLoaded:
		return p.pickSampled(now, feasible, ask, len(feasible), byLoad)
	}
	if choice := p.pickHome(now, feasible, ask); choice.Agent != nil {
		return choice.sparing(ask)
	}
	choice := p.pickSampled(now, feasible, ask, p.sample(feasible), byFinish)
	choice.NoWait = p.params.Homes && p.params.AwayRefuse && choice.Agent != nil && !choice.Agent.Home && !p.overdue(ask.Waited)
	return choice.sparing(ask)
}

// sparing lets the agent enforce that slots are left free.
func (c Choice) sparing(ask *Ask) Choice {
	if ask.Spare > 0 {
		c.NoWait = true
		c.Spare = int(ask.Spare)
	}
	return c
}

// sample returns how many of a list are compared.
func (p *Pool) sample(list []*Agent) int {
	if len(list) > p.params.FullScan {
		return p.params.Sample
	}
	return len(list)
}

// pickHome chooses among the agents that mainly this entry uses: of these it
// knows the load best, since few others send to them.
func (p *Pool) pickHome(now time.Time, feasible []*Agent, ask *Ask) Choice {
	if !p.params.Homes {
		return Choice{}
	}
	p.homes = p.homes[:0]
	for _, a := range feasible {
		if a.Home {
			p.homes = append(p.homes, a)
		}
	}
	return p.pickSampled(now, p.homes, ask, p.sample(p.homes), byFinish)
}

type scoring int

const (
	byFinish scoring = iota
	byLoad
)

func (p *Pool) pickSampled(now time.Time, feasible []*Agent, ask *Ask, sample int, how scoring) Choice {
	var choice Choice
	if len(feasible) == 0 {
		return choice
	}
	run := p.RunTime(ask.Kind)
	all := sample >= len(feasible)
	start := p.rng.IntN(len(feasible))
	if all {
		sample = len(feasible)
	}
	for i := range sample {
		at := (start + i) % len(feasible)
		if !all && i > 0 {
			at = p.rng.IntN(len(feasible))
		}
		a := feasible[at]
		if !p.usable(now, a, ask, how) || contains(ask.Avoid, a.ID) {
			continue
		}
		choice.offer(a, p.score(now, a, run, how))
	}
	return choice
}

// usable reports whether a may be given a task now.
func (p *Pool) usable(now time.Time, a *Agent, ask *Ask, how scoring) bool {
	if a.Leaving || a.Down || slices.Contains(p.params.Drained, a.DataCentre) {
		return false
	}
	if how == byLoad {
		return true
	}
	if (a.ejected && !a.probeDue(now)) || (!a.ejected && a.suspect()) {
		return false
	}
	room := float64(a.Slots+p.params.Allowance) - ask.Spare
	if p.params.Homes && !a.Home {
		room -= p.params.AwayMargin * max(0, 1-float64(ask.Waited)/float64(p.MeanRunTime()))
	}
	return p.Load(now, a)+1 <= room
}

// overdue reports whether a task has waited for so long that its home must be
// overloaded: it then rather queues away from home than be refused.
func (p *Pool) overdue(waited time.Duration) bool { return waited >= p.MeanRunTime() }

func (p *Pool) score(now time.Time, a *Agent, run time.Duration, how scoring) time.Duration {
	if how == byLoad {
		return time.Duration(p.Load(now, a) * float64(time.Second))
	}
	finish := a.expectedFinish(p.Load(now, a), run)
	if a.DataCentre != p.params.LocalDataCentre {
		finish += p.params.CrossLatency
	}
	return finish
}

// offer keeps the best two.
func (c *Choice) offer(a *Agent, finish time.Duration) {
	switch {
	case c.Agent == nil || finish < c.Finish:
		c.RunnerUp, c.RunnerUpFinish = c.Agent, c.Finish
		c.Agent, c.Finish = a, finish
	case a != c.Agent && (c.RunnerUp == nil || finish < c.RunnerUpFinish):
		c.RunnerUp, c.RunnerUpFinish = a, finish
	}
}

func (p *Pool) pickRandom(feasible []*Agent, avoid []ID) Choice {
	if len(feasible) == 0 {
		return Choice{}
	}
	return p.firstFrom(feasible, avoid, p.rng.IntN(len(feasible)))
}

func (p *Pool) pickRoundRobin(feasible []*Agent, avoid []ID) Choice {
	p.next++
	return p.firstFrom(feasible, avoid, p.next)
}

func (p *Pool) firstFrom(feasible []*Agent, avoid []ID, start int) Choice {
	for i := range feasible {
		a := feasible[(start+i)%len(feasible)]
		if !a.Leaving && !a.Down && !contains(avoid, a.ID) {
			return Choice{Agent: a}
		}
	}
	return Choice{}
}

func contains(ids []ID, id ID) bool {
	for _, have := range ids {
		if have == id {
			return true
		}
	}
	return false
}
