// Package load drives a deployment with seeded open-loop arrivals and faults,
// and reports response times against the ideal, wasted messages, and whether
// the promises held.
//
// A response time counts from the planned time of arrival, not from when the
// generator got round to sending, so that a stall is not hidden (coordinated
// omission). The ideal of a request is the time of its work on idle hardware.
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

// Options of one run.
type Options struct {
	Mix      Mix
	Shape    cluster.Shape
	Plan     []Arrival
	Faults   []Fault
	Policy   rank.Policy
	Duration time.Duration
	Seed     uint64
	// Flood adds a second team that sends at FloodLoad of capacity; see Flooder.
	Flood []Arrival
	// Deadline of each request.
	Deadline time.Duration
	// Progress is called with the number of requests sent; may be nil.
	Progress func(sent int)
}

// FloodTeam is the team that floods.
const FloodTeam = "flood"

// readyWithin bounds the start of the deployment.
const readyWithin = 30 * time.Second

// Run runs the load and returns its report. A canceled ctx ends the arrivals
// early; the report then covers what was sent.
func Run(ctx context.Context, o Options) (*Report, error) {
	o.Shape.Policy = o.Policy
	o.Shape.Seed = o.Seed
	c, err := cluster.Start(o.Shape)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	ready, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if err := c.Ready(ready); err != nil {
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
	// healthy tells which entries the balancer sends to.
	healthy []atomic.Bool
	began   time.Time

	mu      sync.Mutex
	results []result
	awake   []float64
}

// result is the end of one request.
type result struct {
	class    string
	at       time.Duration
	ratio    float64
	kind     errkind.Kind
	tasks    int
	ran      string
	noAnswer bool
	partial  bool
	falseNot bool
	flood    bool
	// once is set if the tasks may not be repeated.
	once bool
}

func newRun(o Options, c *cluster.Cluster) *run {
	r := &run{options: o, cluster: c}
	for _, m := range c.Entries() {
		r.clients = append(r.clients, caller.New(m.Entry.Address(), o.Mix.Team))
	}
	r.healthy = make([]atomic.Bool, len(r.clients))
	for i := range r.healthy {
		r.healthy[i].Store(true)
	}
	return r
}

// drive sends the plan, applies the faults, and waits for all answers.
func (r *run) drive(ctx context.Context) {
	r.began = time.Now()
	watch, stop := context.WithCancel(ctx)
	defer stop()
	go r.watchAwake(watch)
	for i := range r.clients {
		go r.watchHealth(watch, i)
	}
	for _, f := range r.options.Faults {
		timer := time.AfterFunc(f.At.Std(), func() { f.apply(r.cluster) })
		defer timer.Stop()
	}
	var open sync.WaitGroup
	open.Add(1)
	go func() { defer open.Done(); r.send(ctx, r.options.Flood, true, &open) }()
	r.send(ctx, r.options.Plan, false, &open)
	open.Wait()
}

func (r *run) send(ctx context.Context, plan []Arrival, flood bool, open *sync.WaitGroup) {
	clients := r.clients
	if flood {
		clients = nil
		for _, m := range r.cluster.Entries() {
			clients = append(clients, caller.New(m.Entry.Address(), FloodTeam))
		}
	}
	for i := range plan {
		a := &plan[i]
		select {
		case <-time.After(time.Until(r.began.Add(a.At))):
		case <-ctx.Done():
			return
		}
		open.Add(1)
		go func() {
			defer open.Done()
			r.request(a, clients, i, flood)
		}()
		if r.options.Progress != nil && !flood {
			r.options.Progress(i + 1)
		}
	}
}

// request sends one request through the balancer and records its end.
func (r *run) request(a *Arrival, clients []*caller.Client, index int, flood bool) {
	kind := r.options.Mix.Kinds[a.Kind]
	payloads := make([]json.RawMessage, len(a.RunMs))
	for i, ms := range a.RunMs {
		payloads[i] = json.RawMessage(fmt.Sprintf(`{"runMs":%g,"id":%q}`, ms, fmt.Sprintf("%s/%d", a.Key, i)))
	}
	var raw []json.RawMessage
	var err error
	for try := range len(clients) {
		// The balancer sends a request elsewhere if an instance takes none.
		at := (index + try) % len(clients)
		if !r.healthy[at].Load() && try < len(clients)-1 {
			continue
		}
		raw, err = r.exchange(clients[at], kind, a, payloads)
		if !tryElsewhere(err) {
			break
		}
	}
	r.record(kind, a, raw, err, payloads, flood)
}

// healthEvery is how often the balancer asks an entry for its health.
const healthEvery = 250 * time.Millisecond

// watchHealth is the balancer's health check of one entry.
func (r *run) watchHealth(ctx context.Context, i int) {
	for ctx.Err() == nil {
		r.healthy[i].Store(r.clients[i].Healthy())
		select {
		case <-time.After(healthEvery):
		case <-ctx.Done():
		}
	}
}

func tryElsewhere(err error) bool {
	var failure *caller.Failure
	if errors.As(err, &failure) {
		return failure.Kind() == errkind.Draining
	}
	return err != nil && caller.Refused(err)
}

func (r *run) exchange(client *caller.Client, kind Kind, a *Arrival, payloads []json.RawMessage) ([]json.RawMessage, error) {
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

func (r *run) record(kind Kind, a *Arrival, raw []json.RawMessage, err error, payloads []json.RawMessage, flood bool) {
	took := time.Since(r.began) - a.At
	res := result{class: kind.Class, at: a.At, tasks: len(a.RunMs), flood: flood, once: kind.Once}
	res.ratio = took.Seconds() * 1000 / idealOf(a.RunMs, r.options.Shape.Agents*r.options.Shape.Slots)
	var failure *caller.Failure
	switch {
	case err == nil:
		res.partial = !whole(raw, payloads)
	case errors.As(err, &failure):
		res.kind = failure.Kind()
		res.ran = failure.Ran
		res.falseNot = failure.Ran == errkind.NotRun.String() && r.started(a)
	default:
		res.kind = errkind.Internal
		res.noAnswer = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

func (r *run) started(a *Arrival) bool {
	for i := range a.RunMs {
		if r.cluster.Journal.StartsOf(fmt.Sprintf("%s/%d", a.Key, i)) > 0 {
			return true
		}
	}
	return false
}

// whole reports whether each result belongs to its payload.
func whole(raw, payloads []json.RawMessage) bool {
	if len(raw) != len(payloads) {
		return false
	}
	for i := range raw {
		var got backendserver.Result
		if json.Unmarshal(raw[i], &got) != nil || got.Sum != backendserver.Checksum(payloads[i]) {
			return false
		}
	}
	return true
}

// watchAwake samples the number of awake workers once a second.
func (r *run) watchAwake(ctx context.Context) {
	for {
		r.mu.Lock()
		r.awake = append(r.awake, float64(len(r.cluster.Nodes())))
		r.mu.Unlock()
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return
		}
	}
}
