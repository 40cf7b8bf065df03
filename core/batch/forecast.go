package batch

import (
	"time"

	"peridotpick.example/core/admission"
	"peridotpick.example/core/supply"
	"peridotpick.example/wire/runs"
)

// noStart is the expected wait of a job that is not expected to start at all.
const noStart = time.Hour

// forecast returns when a planned job is expected to start.
func (c *Core) forecast(j *job, p *plan) admission.Forecast {
	f := admission.Forecast{Slack: p.slack - c.settings.Overhead}
	if p.delay == 0 {
		return f
	}
	for i := range j.steps {
		s := &j.steps[i]
		if s.openTasks == 0 || !j.isReady(s) {
			continue
		}
		wait, behindAll := c.forecastStep(j, s, runs.SlackBand(p.slack))
		f.Wait, f.WaitBehindAll = max(f.Wait, wait), max(f.WaitBehindAll, behindAll)
	}
	return f
}

// forecastStep returns the expected time until all waiting tasks of a step have started: behind the
// waiting work with no more slack than the given band, and behind all waiting work. Only workers
// count that may run its tasks.
func (c *Core) forecastStep(j *job, s *step, band int) (wait, behindAll time.Duration) {
	f := supply.New(s.Need.CPU)
	unreported := c.unreportedCPU(j.queue.Service)
	ahead, all := unreported, unreported
	nothingPlanned := &plannedLoad{}
	for _, a := range c.planCandidates {
		if !c.isAllowed(s.tasks[0], a, nothingPlanned) {
			continue
		}
		f.Add(a.supply(c.now))
		for i, cpu := range a.load.Waiting {
			all += float64(cpu)
			if i <= band {
				ahead += float64(cpu)
			}
		}
	}
	tasks := s.waitingTasks()
	return waitOrNoStart(f, tasks, ahead), waitOrNoStart(f, tasks, all)
}

func waitOrNoStart(f *supply.Forecast, tasks int, aheadCPU float64) time.Duration {
	if wait, ok := f.Wait(tasks, aheadCPU); ok {
		return wait
	}
	return noStart
}

// supply returns the load of an agent's worker for a forecast.
func (a *agent) supply(now time.Time) supply.Worker {
	w := supply.Worker{FreeCPU: a.load.Free.CPU}
	for _, s := range a.inFlight {
		w.FreeCPU -= s.need.CPU
	}
	age := now.Sub(a.loadAt)
	for _, e := range a.load.ExpectedEnds {
		w.Ends = append(w.Ends, supply.End{After: time.Duration(e.After)*time.Millisecond - age, CPU: e.CPU})
	}
	return w
}

// unreportedCPU returns the CPU of reservations for a service that load reports do not include yet.
// The other entries that share the workers are assumed to have as many.
func (c *Core) unreportedCPU(service string) float64 {
	total := 0.0
	for r := range c.reservations.Values() {
		a := c.agents.Get(r.link)
		if a != nil && a.worker.Service == service && r.sentAt.After(a.loadAt) {
			total += float64(r.step.Need.CPU) / reservationCopies * float64(a.sharingEntries())
		}
	}
	return total
}
