package runner

import (
	"context"
	"sync"
	"time"

	"peridotpick.example/service/transport"
	"peridotpick.example/wire/runs"
)

// Times of the search for entries.
const (
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
	transport.Keep(ctx, func(ctx context.Context) bool { return d.agent.serve(ctx, address) })
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.known, address)
}
