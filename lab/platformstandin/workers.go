package platformstandin

import (
	"context"
	"sort"
	"sync"
	"time"

	"peridotpick.example/common/table"
)

// Workers is the stand-in for the platform's power control.
type Workers struct {
	mu      sync.Mutex
	workers map[string]*powered
	// WakeTime is how long a worker takes to wake.
	WakeTime time.Duration
	// OnAwake and OnAsleep are called without lock when a worker has changed state.
	OnAwake, OnAsleep func(id string)
	awakeSeconds      float64
}

type powered struct {
	worker table.Worker
	since  time.Time
}

// NewWorkers returns a power control over the given workers.
func NewWorkers(wakeTime time.Duration, workers []table.Worker) *Workers {
	w := &Workers{workers: make(map[string]*powered), WakeTime: wakeTime}
	for _, worker := range workers {
		w.workers[worker.ID] = &powered{worker: worker, since: time.Now()}
	}
	return w
}

// List implements table.Workers.
func (w *Workers) List(context.Context) ([]table.Worker, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]table.Worker, 0, len(w.workers))
	for _, p := range w.workers {
		worker := p.worker
		worker.Since = time.Since(p.since)
		list = append(list, worker)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list, nil
}

// Wake implements table.Workers.
func (w *Workers) Wake(_ context.Context, id string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.workers[id]
	if p == nil {
		return table.ErrNotFound
	}
	if p.worker.Power == table.Asleep {
		w.set(p, table.Waking)
		time.AfterFunc(w.WakeTime, func() { w.awake(id) })
	}
	return nil
}

func (w *Workers) awake(id string) {
	w.mu.Lock()
	w.set(w.workers[id], table.Awake)
	w.mu.Unlock()
	if w.OnAwake != nil {
		w.OnAwake(id)
	}
}

// Sleep implements table.Workers.
func (w *Workers) Sleep(_ context.Context, id string) error {
	w.mu.Lock()
	p := w.workers[id]
	if p == nil {
		w.mu.Unlock()
		return table.ErrNotFound
	}
	changed := p.worker.Power == table.Awake
	if changed {
		w.set(p, table.Asleep)
	}
	w.mu.Unlock()
	if changed && w.OnAsleep != nil {
		w.OnAsleep(id)
	}
	return nil
}

// set changes the state of p and books the time awake.
func (w *Workers) set(p *powered, state table.PowerState) {
	if p.worker.Power != table.Asleep {
		w.awakeSeconds += time.Since(p.since).Seconds()
	}
	p.worker.Power = state
	p.since = time.Now()
}

// AwakeSeconds returns the sum of the time that workers were awake or waking.
func (w *Workers) AwakeSeconds() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := w.awakeSeconds
	for _, p := range w.workers {
		if p.worker.Power != table.Asleep {
			total += time.Since(p.since).Seconds()
		}
	}
	return total
}
