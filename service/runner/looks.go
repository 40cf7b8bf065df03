package runner

import (
	"context"
	"time"

	"peridotpick.example/common/boottime"
	core "peridotpick.example/core/runner"
)

const (
	// lookPause is the pause after a look that got no answer.
	lookPause = 5 * time.Millisecond
	// lookPatience is what an answer may take beyond the wait before the next look
	// is made beside it.
	lookPatience = 40 * time.Millisecond
	// lookSlots bounds the looks that are under way at a time.
	lookSlots = 4
)

// wakeLooker has the worker looked at if the core asks for it.
func (a *Agent) wakeLooker() {
	if !a.core.LookDue(boottime.Now()) {
		return
	}
	select {
	case a.lookNow <- struct{}{}:
	default:
	}
}

// look asks the worker what runs, as long as there is a need.
func (a *Agent) look(ctx context.Context) error {
	slots := make(chan struct{}, lookSlots)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.lookNow:
		}
		look, ok := a.nextLook(ctx)
		if !ok {
			continue
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		done := make(chan struct{})
		go func() {
			a.lookOnce(look)
			<-slots
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(look.Wait + lookPatience):
			// Its answer may be lost. Ends that happen meanwhile must not wait for it.
		}
	}
}

func (a *Agent) lookOnce(look core.Look) {
	answer, listing := a.deps.Worker.Look(look)
	a.post(func(c *core.Core, now time.Time) { c.Looked(now, look, answer, listing) })
	if answer.Verdict == core.NoAnswer {
		a.log.Warn().Str("worker", look.Worker).Dur("wait", look.Wait).Msg("agent: the worker does not answer")
		time.Sleep(lookPause)
	}
}

func (a *Agent) nextLook(ctx context.Context) (core.Look, bool) {
	type next struct {
		look core.Look
		ok   bool
	}
	answer := make(chan next, 1)
	a.post(func(c *core.Core, now time.Time) {
		look, ok := c.NextLook(now)
		answer <- next{look, ok}
	})
	select {
	case n := <-answer:
		return n.look, n.ok
	case <-ctx.Done():
		return core.Look{}, false
	}
}
