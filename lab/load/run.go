// Package load drives a deployment with seeded open-loop arrivals and faults, and reports response
// times relative to the ideal, wasted messages, and violations of the product's guarantees.
//
// A response time counts from the planned time of arrival, not from the time of sending, so that a
// stall of the generator is not hidden (coordinated omission). The ideal response time of a request is
// the time of its work on idle hardware; a response ratio is the response time divided by it.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/rank"
	"peridotpick.example/lab/backendserver"
	"peridotpick.example/lab/caller"
	"peridotpick.example/lab/cluster"
)

// Options are the options of one run.
type Options struct {
	// Mix has the kinds of requests that Plan and Flood refer to.
	Mix Mix
	// Spec describes the deployment. Run replaces its Policy and Seed with those of the Options.
	Spec cluster.Spec
	// Plan lists the requests to send, in order of time.
	Plan   []Arrival
	Faults []Fault
	// Policy is the policy by which entries choose agents.
	Policy rank.Policy
	// Duration is the time that the plan covers.
	Duration time.Duration
	// Seed seeds the deployment and is written to the report.
	Seed uint64
	// Flood lists the requests of a second team, FloodTeam, which sends more than its share; may be
	// empty.
	Flood []Arrival
	// Deadline is the time that each request has from its sending to its answer.
	Deadline time.Duration
	// Progress is called with the number of requests sent; may be nil.
	Progress func(sent int)
}

// FloodTeam is the name of the team that sends the requests of Options.Flood.
const FloodTeam = "flood"

// readyTimeout bounds the time until the started deployment is ready.
const readyTimeout = 30 * time.Second

// Run starts a deployment, sends the plan to it, and returns the report. If ctx is canceled, no more
// requests are sent, and the report covers those that were.
func Run(ctx context.Context, o Options) (*Report, error) {
	o.Spec.Policy = o.Policy
	o.Spec.Seed = o.Seed
	c, err := cluster.Start(o.Spec)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.WaitReady(readyCtx); err != nil {
		return nil, err
	}
	r := newRun(o, c)
	r.drive(ctx)
	return r.report(), nil
}

// run is the state of one run.
type run struct {
	options Options
	cluster *cluster.Cluster
	clients []*caller.Client
	// takesRequests holds for each entry whether its last health check succeeded, so that the balancer
	// sends requests to it.
	takesRequests []atomic.Bool
	// startedAt is the time that planned times of arrival count from.
	startedAt time.Time

	mu      sync.Mutex
	results []result
	// awakeBySecond are the numbers of running workers, sampled once a second.
	awakeBySecond []float64
}

// result is how one request ended.
type result struct {
	class string
	// plannedAt is the planned time of arrival since the start of the run.
	plannedAt time.Duration
	// ratio is the response ratio.
	ratio     float64
	errorKind errkind.Kind
	// tasks is the number of tasks.
	tasks int
	// ran is what a failure's answer says about the execution, as errkind.Ran is written; empty for a
	// success and without an answer.
	ran string
	// unanswered is true if no answer was received, such as for a closed connection.
	unanswered bool
	// partial is true for a success that lacks results or has those of other payloads.
	partial bool
	// falseNotRun is true for an answer "not-run" although a task of the request was started.
	falseNotRun bool
	// fromFlood is true for a request of FloodTeam.
	fromFlood bool
	// atMostOnce is true if a task of the request must not be started twice.
	atMostOnce bool
}

func newRun(o Options, c *cluster.Cluster) *run {
	r := &run{options: o, cluster: c}
	for _, e := range c.Entries() {
		r.clients = append(r.clients, caller.New(e.Entry.Address(), o.Mix.Team))
	}
	r.takesRequests = make([]atomic.Bool, len(r.clients))
	for i := range r.takesRequests {
		r.takesRequests[i].Store(true)
	}
	return r
}

// drive sends the plan, applies the faults at their times, and waits for all answers.
func (r *run) drive(ctx context.Context) {
	r.startedAt = time.Now()
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go r.sampleAwake(watchCtx)
	for i := range r.clients {
		go r.pollHealth(watchCtx, i)
	}
	for _, f := range r.options.Faults {
		timer := time.AfterFunc(f.At.Std(), func() { f.apply(r.cluster) })
		defer timer.Stop()
	}
	var openRequests sync.WaitGroup
	openRequests.Add(1)
	go func() { defer openRequests.Done(); r.send(ctx, r.options.Flood, true, &openRequests) }()
	r.send(ctx, r.options.Plan, false, &openRequests)
	openRequests.Wait()
}

// send sends the requests of a plan at their times, each in a goroutine that is counted in
// openRequests. It returns after the last one is sent or when ctx ends.
func (r *run) send(ctx context.Context, arrivals []Arrival, flood bool, openRequests *sync.WaitGroup) {
	clients := r.clients
	if flood {
		clients = nil
		for _, e := range r.cluster.Entries() {
			clients = append(clients, caller.New(e.Entry.Address(), FloodTeam))
		}
	}
	for i := range arrivals {
		a := &arrivals[i]
		select {
		case <-time.After(time.Until(r.startedAt.Add(a.At))):
		case <-ctx.Done():
			return
		}
		openRequests.Add(1)
		go func() {
			defer openRequests.Done()
			r.sendRequest(a, clients, i, flood)
		}()
		if r.options.Progress != nil && !flood {
			r.options.Progress(i + 1)
		}
	}
}

// sendRequest sends one request as a load balancer does and records how it ended: to the entries in
// turn, without those that fail their health check, and to the next one if an entry refuses connections
// or is draining. index is the number of the request in its plan.
func (r *run) sendRequest(a *Arrival, clients []*caller.Client, index int, flood bool) {
	kind := r.options.Mix.Kinds[a.Kind]
	payloads := make([]json.RawMessage, len(a.RunMs))
	for i, ms := range a.RunMs {
		payloads[i] = json.RawMessage(fmt.Sprintf(`{"runMs":%g,"id":%q}`, ms, fmt.Sprintf("%s/%d", a.Key, i)))
	}
	var results []json.RawMessage
	var err error
	for attempt := range len(clients) {
		// The last entry in turn is tried even if its health check fails.
		at := (index + attempt) % len(clients)
		if !r.takesRequests[at].Load() && attempt < len(clients)-1 {
			continue
		}
		results, err = r.sendTo(clients[at], kind, a, payloads)
		if !shouldTryNextEntry(err) {
			break
		}
	}
	r.recordResult(kind, a, results, err, payloads, flood)
}

// healthInterval is the period of the balancer's health checks of an entry.
const healthInterval = 250 * time.Millisecond

// pollHealth checks the health of one entry periodically until ctx ends, as a load balancer does.
func (r *run) pollHealth(ctx context.Context, index int) {
	for ctx.Err() == nil {
		r.takesRequests[index].Store(r.clients[index].Healthy())
		select {
		case <-time.After(healthInterval):
		case <-ctx.Done():
		}
	}
}

// shouldTryNextEntry reports whether a request that failed with err may be sent to another entry
// because the first one certainly did not take it.
func shouldTryNextEntry(err error) bool {
	var failure *caller.Failure
	if errors.As(err, &failure) {
		return failure.Kind() == errkind.Draining
	}
	return err != nil && caller.IsConnectionRefused(err)
}

// sendTo sends a request to one entry, as a call if its kind has single tasks and as a job otherwise,
// and returns the results of its tasks.
func (r *run) sendTo(client *caller.Client, kind Kind, a *Arrival, payloads []json.RawMessage) ([]json.RawMessage, error) {
	key := ""
	if kind.Keyed {
		key = a.Key
	}
	if kind.MaxTasks == 1 {
		body, err := client.Call(r.options.Mix.Service, kind.Name, key, r.options.Deadline, payloads[0])
		return []json.RawMessage{body}, err
	}
	job := caller.Job{Deadline: r.options.Deadline.String()}
	for _, p := range payloads {
		job.Tasks = append(job.Tasks, caller.Task{Service: r.options.Mix.Service, Kind: kind.Name, Payload: p})
	}
	return client.Submit(key, job)
}

// recordResult records how a request ended; err is nil if it was answered with results.
func (r *run) recordResult(kind Kind, a *Arrival, results []json.RawMessage, err error, payloads []json.RawMessage, flood bool) {
	responseTime := time.Since(r.startedAt) - a.At
	res := result{class: kind.Class, plannedAt: a.At, tasks: len(a.RunMs), fromFlood: flood, atMostOnce: kind.AtMostOnce}
	res.ratio = responseTime.Seconds() * 1000 / idealResponseMs(a.RunMs, r.options.Spec.Agents*r.options.Spec.Slots)
	var failure *caller.Failure
	switch {
	case err == nil:
		res.partial = !resultsMatch(results, payloads)
	case errors.As(err, &failure):
		res.errorKind = failure.Kind()
		res.ran = failure.Ran
		res.falseNotRun = failure.Ran == errkind.NotRun.String() && r.hasStarted(a)
	default:
		res.errorKind = errkind.Internal
		res.unanswered = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

// hasStarted reports whether a backend server has started any task of a request.
func (r *run) hasStarted(a *Arrival) bool {
	for i := range a.RunMs {
		if r.cluster.Journal.StartsOf(fmt.Sprintf("%s/%d", a.Key, i)) > 0 {
			return true
		}
	}
	return false
}

// resultsMatch reports whether there is one result for each payload, and it belongs to that payload.
func resultsMatch(results, payloads []json.RawMessage) bool {
	if len(results) != len(payloads) {
		return false
	}
	for i := range results {
		var decoded backendserver.Result
		if json.Unmarshal(results[i], &decoded) != nil || decoded.Checksum != backendserver.Checksum(payloads[i]) {
			return false
		}
	}
	return true
}

// sampleAwake records the number of running workers once a second until ctx ends.
func (r *run) sampleAwake(ctx context.Context) {
	for {
		r.mu.Lock()
		r.awakeBySecond = append(r.awakeBySecond, float64(len(r.cluster.RunningWorkers())))
		r.mu.Unlock()
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return
		}
	}
}
