package runner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"peridotpick.example/common/boottime"
	"peridotpick.example/core/reach"
	core "peridotpick.example/core/runner"
	"peridotpick.example/core/subset"
	"peridotpick.example/service/transport"
	"peridotpick.example/wire/runs"
)

// Timing of the choice of entries.
const (
	// chooseInterval is the interval at which the choice is checked if nothing triggers it.
	chooseInterval = 250 * time.Millisecond
	// substituteDelay is how long a chosen entry may be unreachable before the agent links to a
	// substitute as well. It is longer than a restart of the entry's process takes, so that a
	// rolling restart does not make all agents open links twice.
	substituteDelay = 1500 * time.Millisecond
)

// directory holds the known entries, chooses those that this agent works with (package subset), and
// maintains a link to each of them.
//
// While a chosen entry is unreachable, the agent goes on trying to connect and links to the
// entry with the next rank as a substitute. A link to an entry that is no longer wanted is
// released: the entry sends no new work, and the core closes the link once no run of the entry is
// left.
type directory struct {
	agent *Agent
	mu    sync.Mutex
	// contacts are the known entries by their address.
	contacts map[string]*contact
	// asks are the entries that lack what the worker has; they change with time alone at
	// askExpiresAt.
	asks         *reach.Asks
	askExpiresAt time.Time
	// undeliveredEnds is true while the agent keeps ends of runs that no linked entry has
	// acknowledged. The event loop sets it. It is atomic because the event loop must not wait
	// for mu, which is held while events are posted to the event loop.
	undeliveredEnds atomic.Bool
	// choiceValid is true while the choice need not be repeated: nothing has changed since, and
	// exactly the wanted entries are linked. choiceDrained are the drained data centres at the
	// time of the choice.
	choiceValid   bool
	choiceDrained []string
	// choiceCount is the number of choices made.
	choiceCount int
	wakeUp      chan struct{}
}

// contact is a known entry.
type contact struct {
	// entry has an incarnation of 0 while only its address is known.
	entry runs.Entry
	// maintained is true while a goroutine maintains a link to the entry, wanted while the agent
	// works with the entry, onDemand if it does so only because the entry has asked for it.
	maintained, wanted, onDemand bool
	// link is the open link; nil if there is none.
	link *link
	// lostAt is the time when the last link was closed, or when the first connection attempt
	// began.
	lostAt time.Time
}

func newDirectory(a *Agent) *directory {
	return &directory{agent: a, contacts: make(map[string]*contact), asks: reach.NewAsks(a.settings.Name), wakeUp: make(chan struct{}, 1)}
}

// run chooses entries until ctx ends. While no link is open it also searches for entries.
func (d *directory) run(ctx context.Context) error {
	ticker := time.NewTicker(chooseInterval)
	defer ticker.Stop()
	s := search{directory: d}
	for {
		if d.openLinks() == 0 {
			s.tryNext(ctx)
		} else {
			s.attempt = 0
		}
		d.chooseIfNeeded(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-d.wakeUp:
		case <-ticker.C:
		}
	}
}

// learn adds entries, and updates known ones that have a new incarnation or state.
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
		d.invalidateChoice()
	}
}

// invalidateChoice triggers a new choice. The caller holds mu.
func (d *directory) invalidateChoice() {
	d.choiceValid = false
	d.wakeChooser()
}

// wakeChooser wakes the goroutine that chooses entries.
func (d *directory) wakeChooser() {
	select {
	case d.wakeUp <- struct{}{}:
	default:
	}
}

// setEndsDelivered sets whether the agent keeps no undelivered ends. While there are some, the
// agent links to all entries, since any of them may have taken over the jobs of these ends.
func (d *directory) setEndsDelivered(delivered bool) {
	if d.undeliveredEnds.Swap(!delivered) == delivered {
		d.wakeChooser()
	}
}

// chooseIfNeeded chooses entries unless the last choice is still valid. With hundreds of entries, a
// choice on every tick would be most of the CPU use of an idle agent.
func (d *directory) chooseIfNeeded(ctx context.Context) {
	drained, undelivered := d.agent.sharedDrains.dataCentres(), d.undeliveredEnds.Load()
	d.mu.Lock()
	expired := !d.askExpiresAt.IsZero() && !boottime.Now().Before(d.askExpiresAt)
	valid := d.choiceValid && !undelivered && !expired && slices.Equal(drained, d.choiceDrained)
	d.choiceValid = true // a change during the choice resets it
	d.mu.Unlock()
	if valid {
		return
	}
	d.choose(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.choiceCount++
	d.choiceDrained = drained
	d.choiceValid = d.choiceValid && !undelivered && d.linksMatchChoice()
}

// linksMatchChoice reports whether exactly the wanted entries are linked. It is false if no entry
// is known. The caller holds mu.
func (d *directory) linksMatchChoice() bool {
	for _, c := range d.contacts {
		if c.wanted != (c.link != nil) {
			return false
		}
	}
	return len(d.contacts) > 0
}

// choose opens or retains links to the entries that this agent should work with, and releases all
// other links.
func (d *directory) choose(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	asking := d.addAskingEntries()
	wanted := d.wantedAddresses()
	onDemand := d.onDemandAddresses(wanted, asking)
	for address, c := range d.contacts {
		d.setWanted(c, wanted[address] || onDemand[address], onDemand[address])
		if c.wanted && !c.maintained && ctx.Err() == nil {
			c.maintained = true
			c.lostAt = time.Now()
			go d.maintainLink(ctx, address, c)
		}
	}
}

// wantedAddresses returns the addresses of the chosen entries: the choice among all known entries,
// the choice among the reachable ones, which adds substitutes, and all entries of which only the
// address is known. The caller holds mu.
func (d *directory) wantedAddresses() map[string]bool {
	wanted := make(map[string]bool)
	var known, reachable []runs.Entry
	for address, c := range d.contacts {
		if c.entry.Incarnation == 0 {
			wanted[address] = true
			continue
		}
		known = append(known, c.entry)
		if c.link != nil || !c.maintained || time.Since(c.lostAt) < substituteDelay {
			reachable = append(reachable, c.entry)
		}
	}
	chosen := slices.Concat(d.chooseFrom(known), d.chooseFrom(reachable))
	for _, e := range chosen {
		wanted[e.Address] = true
	}
	return wanted
}

// onDemandAddresses returns the addresses of entries to link to in addition to the wanted ones: those
// that are short of agents, and the given ones that ask for this one. The caller holds mu.
func (d *directory) onDemandAddresses(wanted map[string]bool, asking []runs.Entry) map[string]bool {
	var short []runs.Entry
	for address, c := range d.contacts {
		if c.entry.ShortOfAgents && !wanted[address] {
			short = append(short, c.entry)
		}
	}
	chosen := make(map[string]bool)
	for _, e := range subset.ChooseOnDemand(d.agent.settings.Name, short) {
		chosen[e.Address] = true
	}
	for _, e := range asking {
		if !wanted[e.Address] {
			chosen[e.Address] = true
		}
	}
	return chosen
}

// chooseFrom returns this agent's subset of the given entries, or all of them while there are
// undelivered ends.
func (d *directory) chooseFrom(entries []runs.Entry) []runs.Entry {
	if d.undeliveredEnds.Load() {
		return entries
	}
	return subset.Choose(d.agent.settings.Name, d.agent.settings.DataCentre, entries, d.agent.sharedDrains.dataCentres())
}

// setWanted sets whether the agent works with an entry, and whether only on demand. It retains or
// releases an open link accordingly.
func (d *directory) setWanted(c *contact, wanted, onDemand bool) {
	if c.wanted == wanted && c.onDemand == onDemand {
		return
	}
	c.wanted, c.onDemand = wanted, onDemand
	d.reportLinkUse(c)
}

// reportLinkUse tells the core whether an open link is in use, and whether only on demand.
func (d *directory) reportLinkUse(c *contact) {
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
		core.SetOnDemand(now, l.id, onDemand)
	})
}

// openLinks counts the open links.
func (d *directory) openLinks() int {
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

// linkOpened records the open link to an entry.
func (d *directory) linkOpened(address string, l *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.contacts[address]; c != nil {
		c.link = l
		d.asks.SetLinked(boottime.Now(), address, true)
		d.reportLinkUse(c)
		d.invalidateChoice()
	}
}

// linkClosed records that the link to an entry has been closed.
func (d *directory) linkClosed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.contacts[address]; c != nil {
		c.link = nil
		d.asks.SetLinked(boottime.Now(), address, false)
		c.lostAt = time.Now()
		d.choiceValid = false
	}
}

// maintainLink keeps a link to one entry open and reconnects it. It returns when the entry is no
// longer wanted. It also returns when the entry has been unreachable for transport.UnreachableTimeout, and
// then removes the entry from the directory.
func (d *directory) maintainLink(ctx context.Context, address string, c *contact) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	unwanted := false
	transport.Maintain(ctx, func(ctx context.Context) bool {
		if unwanted = !d.isWanted(c); unwanted {
			stop()
			return false
		}
		return d.agent.serveLink(ctx, address)
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	c.maintained = false
	d.choiceValid = false
	if !unwanted {
		delete(d.contacts, address)
	}
}

func (d *directory) isWanted(c *contact) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.wanted
}
