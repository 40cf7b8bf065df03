package platformstandin

import (
	"context"
	"sort"
	"sync"
	"time"

	"peridotpick.example/common/table"
)

// Workers is the fake power control of the platform. A worker is asleep, waking or awake. Workers is
// safe for concurrent use.
type Workers struct {
	mu      sync.Mutex
	workers map[string]*workerPower
	// WakeTime is the time that a worker takes to wake.
	WakeTime time.Duration
	// OnAwake and OnAsleep are called, without the lock held, after a worker has woken or fallen asleep.
	OnAwake, OnAsleep func(id string)
	endedAwakeSeconds float64
}

// workerPower is a worker and the time of its last change of power state.
type workerPower struct {
	worker table.Worker
	since  time.Time
}

// NewWorkers returns a power control of workers, in the power states that they have in the list.
func NewWorkers(wakeTime time.Duration, workers []table.Worker) *Workers {
	w := &Workers{workers: make(map[string]*workerPower), WakeTime: wakeTime}
	for _, worker := range workers {
		w.workers[worker.ID] = &workerPower{worker: worker, since: time.Now()}
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
		worker.SincePowerChange = time.Since(p.since)
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
	if p.worker.Power == table.PowerAsleep {
		w.setPower(p, table.PowerWaking)
		time.AfterFunc(w.WakeTime, func() { w.finishWaking(id) })
	}
	return nil
}

// finishWaking makes a worker awake whose wake time is over.
func (w *Workers) finishWaking(id string) {
	w.mu.Lock()
	w.setPower(w.workers[id], table.PowerAwake)
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
	changed := p.worker.Power == table.PowerAwake
	if changed {
		w.setPower(p, table.PowerAsleep)
	}
	w.mu.Unlock()
	if changed && w.OnAsleep != nil {
		w.OnAsleep(id)
	}
	return nil
}

// setPower changes the power state of p, and adds the time in its previous state to the awake time
// unless it was asleep. w.mu must be held.
func (w *Workers) setPower(p *workerPower, state table.PowerState) {
	if p.worker.Power != table.PowerAsleep {
		w.endedAwakeSeconds += time.Since(p.since).Seconds()
	}
	p.worker.Power = state
	p.since = time.Now()
}

// AwakeSeconds returns the time that workers have been awake or waking, summed over all workers.
func (w *Workers) AwakeSeconds() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := w.endedAwakeSeconds
	for _, p := range w.workers {
		if p.worker.Power != table.PowerAsleep {
			total += time.Since(p.since).Seconds()
		}
	}
	return total
}
