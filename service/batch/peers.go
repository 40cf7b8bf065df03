package batch

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"peridotpick.example/core/membership"
	"peridotpick.example/core/registry"
	"peridotpick.example/core/subset"
	"peridotpick.example/service/transport"
	"peridotpick.example/wire/runs"
)

// Times and intervals of finding other entries.
const (
	// registerRetryPause is the pause after a failed attempt to register.
	registerRetryPause = time.Second
	// registryInterval is the time between two reads of the registry. They find entries that no
	// known entry is connected to.
	registryInterval = 15 * time.Second
	// registryTimeout bounds one access to the registry.
	registryTimeout = time.Second
	// peerCheckInterval is the time between two checks for lost neighbours and for exchanges that
	// are no longer needed.
	peerCheckInterval = 250 * time.Millisecond
	// neighbourRefreshTicks is the number of such checks after which the exchanges are updated even
	// though the view has not changed.
	neighbourRefreshTicks = 8
	// neighbourTimeout is how long a neighbour may be without an exchange before it is declared
	// gone; it allows for several attempts to connect.
	neighbourTimeout = 500 * time.Millisecond
	// minExchangeAge is the age from which an exchange with an entry that is not a neighbour is
	// closed. In that time a new entry learns of the others through it.
	minExchangeAge = 3 * time.Second
)

// peers finds the other entries and exchanges the membership view and the newest configuration with
// its neighbours, so that an entry without access to the store still gets both.
type peers struct {
	entry *Entry
	// mu guards the fields below, except configFetch and registered.
	mu   sync.Mutex
	view *membership.View
	// levels are the levels of work that messages contain.
	levels []runs.Level
	// lacksSerial is the serial number of the newest lacks that were announced.
	lacksSerial uint64
	// candidates are the addresses found in the registry; they may be unreachable.
	candidates map[string]bool
	// registry tracks the rows that follow this entry's own.
	registry *registry.Watch
	// outgoing has the exchanges that this entry maintains, by address; each has a goroutine.
	outgoing map[string]*outgoingExchange
	// exchanges are the open exchanges, whichever side has opened them. lastHeard has the time of
	// the last message of each neighbour that there is or was an exchange with.
	exchanges   map[*exchange]bool
	lastHeard   map[string]time.Time
	configFetch configFetch
	// registered is set once this entry's row is written.
	registered atomic.Bool
}

// outgoingExchange is an exchange that this entry opens again whenever it is lost.
type outgoingExchange struct {
	startedAt time.Time
	// closing is set once the exchange is no longer needed.
	closing bool
}

func newPeers(e *Entry) *peers {
	return &peers{
		entry: e, view: membership.New(e.self), candidates: make(map[string]bool), outgoing: make(map[string]*outgoingExchange),
		registry:  registry.NewWatch(e.self),
		exchanges: make(map[*exchange]bool), lastHeard: make(map[string]time.Time),
	}
}

// run registers the entry, finds other entries and detects those that are gone, until ctx ends.
func (p *peers) run(ctx context.Context) error {
	for _, address := range p.entry.settings.Seeds {
		p.startExchange(ctx, address)
	}
	go p.register(ctx)
	go p.followRegistry(ctx)
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	var updatedFor uint64
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		p.declareLostNeighbours()
		p.entry.operatorPolls.setExchangeCount(p.exchangeCount())
		if digest := p.viewDigest(); digest != updatedFor || n%neighbourRefreshTicks == 0 {
			updatedFor = digest
			p.updateExchanges(ctx)
		}
	}
}

func (p *peers) viewDigest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Digest()
}

// register writes this entry's row to the registry; it retries until that succeeds.
func (p *peers) register(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, registryTimeout)
		err := p.entry.deps.Store.Register(callCtx, p.entry.self)
		cancel()
		if err == nil {
			p.registered.Store(true)
			return
		}
		p.entry.log.Warn().Err(err).Msg("entry: not registered yet")
		select {
		case <-time.After(registerRetryPause):
		case <-ctx.Done():
		}
	}
}

// followRegistry reads the registry at once and then at registryInterval.
func (p *peers) followRegistry(ctx context.Context) {
	ticker := time.NewTicker(registryInterval)
	defer ticker.Stop()
	for {
		p.readRegistry(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readRegistry reads the rows that follow this entry's own, removes stale ones, registers this entry
// again if its row is missing, and updates the exchanges.
func (p *peers) readRegistry(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	store := p.entry.deps.Store
	rows, err := store.Entries(callCtx, registry.RingPosition(p.entry.self.Address), registry.EntryReadLimit)
	if err != nil {
		p.entry.log.Warn().Err(err).Msg("entry: the registry of entries does not answer")
		return
	}
	stale, missing := p.addRegistryRows(rows)
	for _, r := range stale {
		err := store.Unregister(callCtx, r)
		p.entry.log.Info().Err(err).Str("peer", r.Entry.Address).Uint64("incarnation", r.Entry.Incarnation).
			Msg("entry: row of an entry that is gone removed")
	}
	if missing && p.registered.Load() {
		p.entry.log.Warn().Msg("entry: its row is missing")
		p.register(ctx)
	}
	p.updateExchanges(ctx)
}

// addRegistryRows adds the rows to the candidates. It returns the stale rows to remove, and whether
// this entry's own row is missing.
func (p *peers) addRegistryRows(rows []registry.Row) (stale []registry.Row, missing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stale, missing = p.registry.Update(rows, p.view.IsAlive)
	for _, r := range rows {
		p.candidates[r.Entry.Address] = true
	}
	for _, r := range stale {
		delete(p.candidates, r.Entry.Address)
	}
	return stale, missing
}

// updateExchanges opens exchanges with the neighbours and closes those with other entries.
func (p *peers) updateExchanges(ctx context.Context) {
	wanted := p.neighbours()
	for _, address := range wanted {
		p.startExchange(ctx, address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := p.view.AliveAddresses()
	for address, o := range p.outgoing {
		if !slices.Contains(wanted, address) && slices.Contains(alive, address) && time.Since(o.startedAt) > minExchangeAge {
			p.closeOutgoingLocked(address, o)
		}
	}
}

// closeOutgoingLocked closes the exchange with a live entry and announces that to the other side.
// Otherwise each side would declare the other one gone.
func (p *peers) closeOutgoingLocked(address string, o *outgoingExchange) {
	o.closing = true
	delete(p.lastHeard, address)
	for x := range p.exchanges {
		if x.address == address && x.dialed {
			x.closing = true
			x.wakeSender()
		}
	}
}

// neighbours returns the addresses to exchange with: the neighbours on the ring of the live
// entries, and those on the ring of all live or registered entries.
func (p *peers) neighbours() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := p.view.AliveAddresses()
	known := slices.Clone(alive)
	for address := range p.candidates {
		known = append(known, address)
	}
	self := p.entry.self.Address
	return append(subset.Neighbours(self, alive), subset.Neighbours(self, known)...)
}

// startExchange maintains an exchange with an address, unless this entry already does.
func (p *peers) startExchange(ctx context.Context, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if address == p.entry.self.Address || p.outgoing[address] != nil || ctx.Err() != nil {
		return
	}
	o := &outgoingExchange{startedAt: time.Now()}
	p.outgoing[address] = o
	go p.maintain(ctx, address, o)
}

// maintain keeps an exchange open until the other entry has been unreachable for long, or is no
// longer a neighbour.
func (p *peers) maintain(ctx context.Context, address string, o *outgoingExchange) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	transport.Maintain(ctx, func(ctx context.Context) bool {
		if p.isClosing(o) {
			stop()
			return false
		}
		return p.dialAndExchange(ctx, address)
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.outgoing, address)
	delete(p.candidates, address)
}

// dialAndExchange opens an exchange with an address and serves it until it ends. If there is one
// already, it only waits. It reports whether the other entry was reached.
func (p *peers) dialAndExchange(ctx context.Context, address string) bool {
	if p.hasExchange(address) {
		select { // the other side has opened an exchange
		case <-time.After(gossipInterval):
		case <-ctx.Done():
		}
		return true
	}
	dialCtx, cancel := context.WithTimeout(ctx, transport.DialTimeout)
	defer cancel()
	conn, err := p.entry.deps.Transport.Dial(dialCtx, address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	streamCtx, stop := context.WithCancel(ctx)
	defer stop()
	stream, err := runs.OpenGossip(streamCtx, conn)
	if err != nil {
		return false
	}
	return p.runExchange(streamCtx, stop, stream, true)
}

func (p *peers) isClosing(o *outgoingExchange) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return o.closing
}

// hasExchange reports whether an exchange with an address is open.
func (p *peers) hasExchange(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasExchangeLocked(address)
}

func (p *peers) hasExchangeLocked(address string) bool {
	for x := range p.exchanges {
		if x.address == address {
			return true
		}
	}
	return false
}

// declareLostNeighbours declares neighbours gone that have been without an exchange for
// neighbourTimeout.
func (p *peers) declareLostNeighbours() {
	now := time.Now()
	p.mu.Lock()
	p.view.ForgetGone(now)
	var changes []membership.Change
	for address, last := range p.lastHeard {
		if p.hasExchangeLocked(address) {
			p.lastHeard[address] = now
			continue
		}
		if now.Sub(last) > neighbourTimeout {
			delete(p.lastHeard, address)
			changes = append(changes, p.view.MarkGone(now, address))
		}
	}
	for _, ch := range changes {
		p.broadcastLocked(ch, nil)
	}
	p.mu.Unlock()
	for _, ch := range changes {
		p.publishChange(ch)
	}
}

// broadcastLocked queues the records of a change on all open exchanges except the one that they
// came from. A newer record of this entry itself is sent there, too.
func (p *peers) broadcastLocked(ch membership.Change, from *exchange) {
	if len(ch.Records) == 0 {
		return
	}
	for x := range p.exchanges {
		if x != from || ch.Records[0].Entry.Address == p.entry.self.Address {
			x.pending = append(x.pending, ch.Records...)
			x.wakeSender()
		}
	}
}

// publishChange logs a change and announces new entries to the agents.
func (p *peers) publishChange(ch membership.Change) {
	for _, e := range ch.Gone {
		p.entry.log.Info().Str("peer", e.Address).Uint64("incarnation", e.Incarnation).Msg("entry: peer is gone")
	}
	for _, e := range ch.Joined {
		p.entry.log.Info().Str("peer", e.Address).Uint64("incarnation", e.Incarnation).Bool("short", e.ShortOfAgents).
			Msg("entry: peer is alive")
	}
	if len(ch.Joined) > 0 {
		p.entry.notifyAgents(ch.Joined)
	}
	p.handleLacks(ch)
}

// aliveEntries returns the live entries, this one first.
func (p *peers) aliveEntries() []runs.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Alive()
}

// selfEntry returns this entry as it describes itself to others.
func (p *peers) selfEntry() *runs.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.view.Self().Entry
	return &self
}

// aliveCount returns the number of live entries, this one included.
func (p *peers) aliveCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.AliveCount()
}

// recentlyHeard returns the other entries that are alive now: neighbours that have sent a message
// within the gossip interval, and entries that are not neighbours and that none of their neighbours
// has declared gone.
func (p *peers) recentlyHeard() []runs.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	heard := make(map[string]bool)
	for x := range p.exchanges {
		heard[x.address] = heard[x.address] || time.Since(x.heardAt) < gossipInterval
	}
	var list []runs.Entry
	for _, e := range p.view.Alive()[1:] {
		if _, neighbour := p.lastHeard[e.Address]; !neighbour || heard[e.Address] {
			list = append(list, e)
		}
	}
	return list
}

// setShort sets whether this entry is short of agents, and announces a change.
func (p *peers) setShort(short bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ch := p.view.SetShort(short)
	if len(ch.Records) == 0 {
		return
	}
	p.entry.log.Info().Bool("short", short).Msg("entry: agents asked for")
	p.broadcastLocked(ch, nil)
	self := ch.Records[0].Entry
	go p.entry.notifyAgents([]runs.Entry{self}) // the caller is the event loop, which notifyAgents posts to
}

// exchangeCount returns the number of open exchanges.
func (p *peers) exchangeCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.exchanges)
}

// handleConfigChange announces a new configuration on all exchanges.
func (p *peers) handleConfigChange() {
	p.configFetch.reset()
	p.wakeExchanges()
}

// wakeExchanges has all exchanges send a message at once.
func (p *peers) wakeExchanges() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.exchanges {
		x.wakeSender()
	}
}
