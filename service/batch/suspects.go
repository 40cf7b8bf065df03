package batch

import (
	"time"

	core "peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// suspectsPending bounds the suspects that wait for the next word of an exchange. Beyond it
// the oldest are left out: they are few, or workers are lost for another cause.
const suspectsPending = 64

// tellSuspects has the other entries told of tasks that crash workers.
func (p *peers) tellSuspects(list []runs.Suspect) {
	if len(list) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.streams {
		x.suspects = append(x.suspects, list...)
		x.suspects = x.suspects[max(len(x.suspects)-suspectsPending, 0):]
		x.signal()
	}
}

// hearSuspects takes what another entry says of tasks that crash workers.
func (p *peers) hearSuspects(list []runs.Suspect) {
	if len(list) == 0 {
		return
	}
	p.entry.post(func(c *core.Core, now time.Time) { c.LearnSuspects(now, list) })
}
