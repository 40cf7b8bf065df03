package runner

import (
	"context"
	"sync"
	"time"

	"peridotpick.example/wire/runs"
)

// Times of the connectors and of the search for entries.
const (
	// dialTimeout is far above a round trip; a machine that is just starting leaves
	// the first attempt without an answer.
	dialTimeout = 200 * time.Millisecond
	retryMin    = 50 * time.Millisecond
	retryMax    = 300 * time.Millisecond
	// forgetAfter is how long an entry may be out of reach before its connector ends.
	forgetAfter = 10 * time.Second
	// lonelyCheck is how often an agent without links looks for entries elsewhere.
	lonelyCheck = 2 * time.Second
	// registryTimeout bounds one look into the registry.
	registryTimeout = time.Second
)

// directory keeps one connector for each known entry.
type directory struct {
	agent *Agent
	mu    sync.Mutex
	known map[string]bool
	up    int
}

func newDirectory(a *Agent) *directory { return &directory{agent: a, known: make(map[string]bool)} }

// run connects to the seeds and looks for entries while there is no link.
func (d *directory) run(ctx context.Context) error {
	ticker := time.NewTicker(lonelyCheck)
	defer ticker.Stop()
	for {
		if d.linked() == 0 {
			d.search(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *directory) search(ctx context.Context) {
	for _, address := range d.agent.settings.Seeds {
		d.connect(ctx, address)
	}
	asking, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	entries, err := d.agent.deps.Registry.Entries(asking)
	if err != nil {
		d.agent.log.Warn().Err(err).Msg("agent: the registry of entries does not answer")
		return
	}
	d.learn(ctx, entries)
}

func (d *directory) learn(ctx context.Context, entries []runs.Entry) {
	for _, e := range entries {
		d.connect(ctx, e.Address)
	}
}

// connect starts a connector unless there is one.
func (d *directory) connect(ctx context.Context, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known[address] || ctx.Err() != nil {
		return
	}
	d.known[address] = true
	go d.keep(ctx, address)
}

func (d *directory) linked() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.up
}

func (d *directory) countUp(change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.up += change
}

// keep holds a link to one entry until that is out of reach for long.
func (d *directory) keep(ctx context.Context, address string) {
	pause := retryMin
	lastUp := time.Now()
	for ctx.Err() == nil && time.Since(lastUp) < forgetAfter {
		if d.agent.serve(ctx, address) {
			lastUp = time.Now()
			pause = retryMin
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, retryMax)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.known, address)
}
