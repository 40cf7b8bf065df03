package runner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	core "peridotpick.example/core/runner"
	"peridotpick.example/core/subset"
	"peridotpick.example/service/transport"
	"peridotpick.example/wire/runs"
)

// Times of finding entries.
const (
	// chooseEvery is how often the choice of entries is looked at anew without a reason.
	chooseEvery = 250 * time.Millisecond
	// substituteAfter is how long a chosen entry may be out of reach before another one
	// is worked with too: longer than a process takes to start again, so that a rolling
	// restart does not have all agents open links twice.
	substituteAfter = 1500 * time.Millisecond
)

// directory knows the entries, and keeps links to those that this agent works with.
//
// A chosen entry that is out of reach is tried further, and the next one by rank takes
// its place meanwhile. A link that is not wanted any more is released, and closed once
// nothing of its entry runs here.
type directory struct {
	agent *Agent
	mu    sync.Mutex
	// contacts are the known entries by their address.
	contacts map[string]*contact
	// unsettled is true while ends are kept whose entry is not linked. The loop sets it; it
	// must not wait for mu, which is held while events are handed to the loop.
	unsettled atomic.Bool
	// chosen is set while the choice holds: nothing has changed since, and all that are
	// worked with are linked. chosenFor are the drained data centres for which it was made.
	chosen    bool
	chosenFor []string
	// choices counts the times that entries were chosen.
	choices int
	wake    chan struct{}
}

// contact is a known entry.
type contact struct {
	// entry has no incarnation while only its address is known.
	entry runs.Entry
	// kept is true while a goroutine keeps a link to it, wanted while it shall do so,
	// onDemand if only since the entry is short of agents.
	kept, wanted, onDemand bool
	// link is the open link; nil if there is none.
	link *link
	// lostAt is when the last link was lost, or when the first one was attempted.
	lostAt time.Time
}

func newDirectory(a *Agent) *directory {
	return &directory{agent: a, contacts: make(map[string]*contact), wake: make(chan struct{}, 1)}
}

func (d *directory) run(ctx context.Context) error {
	ticker := time.NewTicker(chooseEvery)
	defer ticker.Stop()
	s := search{directory: d}
	for {
		if d.linked() == 0 {
			s.next(ctx)
		} else {
			s.attempt = 0
		}
		d.chooseAnew(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
		case <-ticker.C:
		}
	}
}

// learn adds entries.
func (d *directory) learn(entries []runs.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		c := d.contacts[e.Address]
		switch {
		case c == nil:
			d.contacts[e.Address] = &contact{entry: e}
		case c.entry != e && e.Incarnation != 0:
			c.entry = e
		default:
			continue
		}
		d.signal()
	}
}

// signal has the entries chosen anew. Its caller holds mu.
func (d *directory) signal() {
	d.chosen = false
	d.notify()
}

// notify wakes the goroutine that chooses.
func (d *directory) notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// settle tells whether all ends that are kept have found their entry. While they have
// not, the agent works with all entries.
func (d *directory) settle(settled bool) {
	if d.unsettled.Swap(!settled) == settled {
		d.notify()
	}
}

// chooseAnew chooses entries unless the present choice holds. With hundreds of entries a
// choice at each tick, in which nothing has changed, is most of what an agent without work
// does.
func (d *directory) chooseAnew(ctx context.Context) {
	drained, unsettled := d.agent.drains.dataCentres(), d.unsettled.Load()
	d.mu.Lock()
	holds := d.chosen && !unsettled && slices.Equal(drained, d.chosenFor)
	d.chosen = true // until something changes meanwhile
	d.mu.Unlock()
	if holds {
		return
	}
	d.choose(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.choices++
	d.chosenFor = drained
	d.chosen = d.chosen && !unsettled && d.allLinked()
}

// allLinked reports whether all entries that are worked with are linked, and no others.
func (d *directory) allLinked() bool {
	for _, c := range d.contacts {
		if c.wanted != (c.link != nil) {
			return false
		}
	}
	return len(d.contacts) > 0
}

// choose opens links to the entries that this agent should work with, and releases others.
func (d *directory) choose(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := d.wanted()
	onDemand := d.onDemand(wanted)
	for address, c := range d.contacts {
		d.want(c, wanted[address] || onDemand[address], onDemand[address])
		if c.wanted && !c.kept && ctx.Err() == nil {
			c.kept = true
			c.lostAt = time.Now()
			go d.keep(ctx, address, c)
		}
	}
}

// wanted returns the addresses to work with: the choice among all that are known, that
// among those in reach, and those of which only the address is known.
func (d *directory) wanted() map[string]bool {
	wanted := make(map[string]bool)
	var known, inReach []runs.Entry
	for address, c := range d.contacts {
		if c.entry.Incarnation == 0 {
			wanted[address] = true
			continue
		}
		known = append(known, c.entry)
		if c.link != nil || !c.kept || time.Since(c.lostAt) < substituteAfter {
			inReach = append(inReach, c.entry)
		}
	}
	chosen := slices.Concat(d.choice(known), d.choice(inReach))
	for _, e := range chosen {
		wanted[e.Address] = true
	}
	return wanted
}

// onDemand returns the addresses of entries that are worked with besides the wanted ones,
// since they are short of agents.
func (d *directory) onDemand(wanted map[string]bool) map[string]bool {
	var short []runs.Entry
	for address, c := range d.contacts {
		if c.entry.Short && !wanted[address] {
			short = append(short, c.entry)
		}
	}
	chosen := make(map[string]bool)
	for _, e := range subset.OnDemand(d.agent.settings.Name, short) {
		chosen[e.Address] = true
	}
	return chosen
}

func (d *directory) choice(entries []runs.Entry) []runs.Entry {
	if d.unsettled.Load() {
		return entries
	}
	return subset.Choose(d.agent.settings.Name, d.agent.settings.DataCentre, entries, d.agent.drains.dataCentres())
}

// want notes whether an entry is worked with, and why, and has an open link released or
// retained.
func (d *directory) want(c *contact, wanted, onDemand bool) {
	if c.wanted == wanted && c.onDemand == onDemand {
		return
	}
	c.wanted, c.onDemand = wanted, onDemand
	d.tell(c)
}

// tell has the core know how an open link is used.
func (d *directory) tell(c *contact) {
	l, wanted, onDemand := c.link, c.wanted, c.onDemand
	if l == nil {
		return
	}
	d.agent.post(func(core *core.Core, now time.Time) {
		if wanted {
			core.Retain(now, l.id)
		} else {
			core.Release(now, l.id)
		}
		core.OnDemand(now, l.id, onDemand)
	})
}

// linked returns the number of open links.
func (d *directory) linked() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, c := range d.contacts {
		if c.link != nil {
			n++
		}
	}
	return n
}

// opened notes an open link.
func (d *directory) opened(address string, l *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.contacts[address]; c != nil {
		c.link = l
		d.tell(c)
		d.signal()
	}
}

// closed notes that a link is no more.
func (d *directory) closed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.contacts[address]; c != nil {
		c.link = nil
		c.lostAt = time.Now()
		d.chosen = false
	}
}

// keep links the agent to one entry until that is out of reach for long, when it is
// forgotten, or not worked with any more.
func (d *directory) keep(ctx context.Context, address string, c *contact) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	left := false
	transport.Keep(ctx, func(ctx context.Context) bool {
		if left = !d.isWanted(c); left {
			stop()
			return false
		}
		return d.agent.serve(ctx, address)
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	c.kept = false
	d.chosen = false
	if !left {
		delete(d.contacts, address)
	}
}

func (d *directory) isWanted(c *contact) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.wanted
}
