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

// Times of finding other entries.
const (
	// registerRetry is the pause after a failed attempt to register.
	registerRetry = time.Second
	// registryEvery is how often the registry is read for entries that nobody
	// who is known has met.
	registryEvery   = 15 * time.Second
	registryTimeout = time.Second
	// peersTick is how often lost neighbours and needless exchanges are judged.
	peersTick = 250 * time.Millisecond
	// chooseEach is the number of such ticks of which one chooses the neighbours anew
	// though the view has not changed.
	chooseEach = 8
	// goneAfter is how long a neighbour may be without an exchange before it is said to
	// be gone: some attempts to connect.
	goneAfter = 500 * time.Millisecond
	// settleAfter is the age from which an exchange with an entry that is no neighbour
	// any more is closed: in that time a new entry hears of the others through it.
	settleAfter = 3 * time.Second
)

// peers knows the other entries: it exchanges with its neighbours which entries are
// alive, and the newest configuration, so that an entry which the store turns away still
// hears of both.
type peers struct {
	entry *Entry
	mu    sync.Mutex
	view  *membership.View
	// candidates are addresses from the registry that may be out of reach.
	candidates map[string]bool
	// registry follows the rows after this entry's own.
	registry *registry.Watch
	// contacts are the addresses that a goroutine works for.
	contacts map[string]*contact
	// streams are the open exchanges, direct the entries that there was one with, with
	// the time of the last word.
	streams map[*exchange]bool
	direct  map[string]time.Time
	asking  asking
	// registered is set once this entry's row was written.
	registered atomic.Bool
}

// contact is an address that an exchange is kept with.
type contact struct {
	since time.Time
	// leaving is set once the entry is no neighbour any more.
	leaving bool
}

func newPeers(e *Entry) *peers {
	return &peers{
		entry: e, view: membership.New(e.self), candidates: make(map[string]bool), contacts: make(map[string]*contact),
		registry: registry.NewWatch(e.self),
		streams:  make(map[*exchange]bool), direct: make(map[string]time.Time),
	}
}

// run registers the entry, finds the others and judges who is gone.
func (p *peers) run(ctx context.Context) error {
	for _, address := range p.entry.settings.Seeds {
		p.dial(ctx, address)
	}
	go p.register(ctx)
	go p.followRegistry(ctx)
	ticker := time.NewTicker(peersTick)
	defer ticker.Stop()
	var chosenFor uint64
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		p.judgeLost()
		p.entry.waits.judge(p.exchanges())
		if digest := p.digest(); digest != chosenFor || n%chooseEach == 0 {
			chosenFor = digest
			p.choose(ctx)
		}
	}
}

func (p *peers) digest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Digest()
}

func (p *peers) register(ctx context.Context) {
	for ctx.Err() == nil {
		asking, cancel := context.WithTimeout(ctx, registryTimeout)
		err := p.entry.deps.Store.Register(asking, p.entry.self)
		cancel()
		if err == nil {
			p.registered.Store(true)
			return
		}
		p.entry.log.Warn().Err(err).Msg("entry: not registered yet")
		select {
		case <-time.After(registerRetry):
		case <-ctx.Done():
		}
	}
}

func (p *peers) followRegistry(ctx context.Context) {
	ticker := time.NewTicker(registryEvery)
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

func (p *peers) readRegistry(ctx context.Context) {
	asking, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	store := p.entry.deps.Store
	rows, err := store.Entries(asking, registry.Place(p.entry.self.Address), registry.Followers)
	if err != nil {
		p.entry.log.Warn().Err(err).Msg("entry: the registry of entries does not answer")
		return
	}
	gone, missing := p.takeRows(rows)
	for _, r := range gone {
		err := store.Unregister(asking, r)
		p.entry.log.Info().Err(err).Str("peer", r.Entry.Address).Uint64("incarnation", r.Entry.Incarnation).
			Msg("entry: row of an entry that is gone removed")
	}
	if missing && p.registered.Load() {
		p.entry.log.Warn().Msg("entry: its row is missing")
		p.register(ctx)
	}
	p.choose(ctx)
}

// takeRows adds what the registry lists to the candidates. It returns the rows to remove,
// and whether this entry's own is missing.
func (p *peers) takeRows(rows []registry.Row) (gone []registry.Row, missing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	gone, missing = p.registry.Read(rows, p.view.Lives)
	for _, r := range rows {
		p.candidates[r.Entry.Address] = true
	}
	for _, r := range gone {
		delete(p.candidates, r.Entry.Address)
	}
	return gone, missing
}

// choose opens exchanges with the neighbours, and closes those with others.
func (p *peers) choose(ctx context.Context) {
	wanted := p.neighbours()
	for _, address := range wanted {
		p.dial(ctx, address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := p.view.Addresses()
	for address, c := range p.contacts {
		if !slices.Contains(wanted, address) && slices.Contains(alive, address) && time.Since(c.since) > settleAfter {
			p.leave(address, c)
		}
	}
}

// leave closes the exchange with an entry that is alive, and tells it so: else each
// would say of the other that it is gone.
func (p *peers) leave(address string, c *contact) {
	c.leaving = true
	delete(p.direct, address)
	for x := range p.streams {
		if x.address == address && x.dialed {
			x.closing = true
			x.signal()
		}
	}
}

// neighbours returns the addresses to exchange with: those that are next among the
// entries which are alive, and those that would be if all that are registered were.
func (p *peers) neighbours() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := p.view.Addresses()
	known := slices.Clone(alive)
	for address := range p.candidates {
		known = append(known, address)
	}
	self := p.entry.self.Address
	return append(subset.Neighbours(self, alive), subset.Neighbours(self, known)...)
}

// dial starts to keep an exchange with an address unless there is one.
func (p *peers) dial(ctx context.Context, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if address == p.entry.self.Address || p.contacts[address] != nil || ctx.Err() != nil {
		return
	}
	c := &contact{since: time.Now()}
	p.contacts[address] = c
	go p.keep(ctx, address, c)
}

// keep exchanges with one entry until that is out of reach for long, or is no
// neighbour any more.
func (p *peers) keep(ctx context.Context, address string, c *contact) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	transport.Keep(ctx, func(ctx context.Context) bool {
		if p.left(c) {
			stop()
			return false
		}
		return p.exchangeWith(ctx, address)
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.contacts, address)
	delete(p.candidates, address)
}

func (p *peers) exchangeWith(ctx context.Context, address string) bool {
	if p.exchanging(address) {
		select { // the other side has opened one
		case <-time.After(gossipEvery):
		case <-ctx.Done():
		}
		return true
	}
	dialing, cancel := context.WithTimeout(ctx, transport.DialTimeout)
	defer cancel()
	conn, err := p.entry.deps.Transport.Dial(dialing, address)
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
	return p.exchange(streamCtx, stop, stream, true)
}

func (p *peers) left(c *contact) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.leaving
}

// exchanging reports whether an exchange with an entry is open.
func (p *peers) exchanging(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open(address)
}

func (p *peers) open(address string) bool {
	for x := range p.streams {
		if x.address == address {
			return true
		}
	}
	return false
}

// judgeLost says of neighbours that were lost that they are gone.
func (p *peers) judgeLost() {
	now := time.Now()
	p.mu.Lock()
	p.view.Forget(now)
	var changes []membership.Change
	for address, last := range p.direct {
		if p.open(address) {
			p.direct[address] = now
			continue
		}
		if now.Sub(last) > goneAfter {
			delete(p.direct, address)
			changes = append(changes, p.view.Lost(now, address))
		}
	}
	for _, ch := range changes {
		p.spread(ch, nil)
	}
	p.mu.Unlock()
	for _, ch := range changes {
		p.report(ch)
	}
}

// spread has a change told on all open exchanges but the one that it came from.
func (p *peers) spread(ch membership.Change, from *exchange) {
	if len(ch.Records) == 0 {
		return
	}
	for x := range p.streams {
		if x != from || ch.Records[0].Entry.Address == p.entry.self.Address {
			x.pending = append(x.pending, ch.Records...)
			x.signal()
		}
	}
}

// report logs a change, and tells agents of new entries.
func (p *peers) report(ch membership.Change) {
	for _, e := range ch.Gone {
		p.entry.log.Info().Str("peer", e.Address).Uint64("incarnation", e.Incarnation).Msg("entry: peer is gone")
	}
	for _, e := range ch.Joined {
		p.entry.log.Info().Str("peer", e.Address).Uint64("incarnation", e.Incarnation).Bool("short", e.Short).
			Msg("entry: peer is alive")
	}
	if len(ch.Joined) > 0 {
		p.entry.tellAgents(ch.Joined)
	}
}

// alive returns this entry and those that are taken to be alive.
func (p *peers) alive() []runs.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Alive()
}

// self returns what this entry says of itself.
func (p *peers) self() *runs.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.view.Self().Entry
	return &self
}

// count returns the number of entries that are alive, this one included.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Len()
}

// heardLately returns the other entries that are alive now: neighbours that have spoken
// a moment ago, and those that no neighbour of theirs has lost.
func (p *peers) heardLately() []runs.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	heard := make(map[string]bool)
	for x := range p.streams {
		heard[x.address] = heard[x.address] || time.Since(x.heardAt) < gossipEvery
	}
	var list []runs.Entry
	for _, e := range p.view.Alive()[1:] {
		if _, neighbour := p.direct[e.Address]; !neighbour || heard[e.Address] {
			list = append(list, e)
		}
	}
	return list
}

// setShort tells whether this entry has too few agents.
func (p *peers) setShort(short bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ch := p.view.SetShort(short)
	if len(ch.Records) == 0 {
		return
	}
	p.entry.log.Info().Bool("short", short).Msg("entry: agents asked for")
	p.spread(ch, nil)
	self := ch.Records[0].Entry
	go p.entry.tellAgents([]runs.Entry{self}) // the caller is the loop itself
}

// exchanges returns the number of open exchanges.
func (p *peers) exchanges() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.streams)
}

// configChanged has all exchanges tell of a new configuration.
func (p *peers) configChanged() {
	p.asking.adopted()
	p.signalAll()
}

// signalAll has all exchanges speak.
func (p *peers) signalAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.streams {
		x.signal()
	}
}
