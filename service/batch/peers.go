package batch

import (
	"context"
	"sync"
	"time"

	core "peridotpick.example/core/batch"
	"peridotpick.example/service/transport"
	"peridotpick.example/wire/runs"
)

// Times of the exchange between entries.
const (
	// gossipEvery is the longest silence between two entries, silentAfter the
	// silence after which a stream is closed and opened anew.
	gossipEvery = 400 * time.Millisecond
	// behindEvery is the pause while the other side has a newer configuration.
	behindEvery = 100 * time.Millisecond
	silentAfter = 1500 * time.Millisecond
	// registerRetry is the pause after a failed attempt to register.
	registerRetry = time.Second
	// registryEvery is how often the registry is read for entries that nobody
	// who is known has met.
	registryEvery   = 15 * time.Second
	registryTimeout = time.Second
)

// peers knows the other entries. Each pair exchanges what entries they know, and
// the newest configuration, so that an entry which the store turns away still
// hears of both.
type peers struct {
	entry *Entry
	mu    sync.Mutex
	// dialed are the addresses that a goroutine works for.
	dialed map[string]bool
	// met are the entries that were heard of, with the time they last spoke.
	met map[string]met
	// wake holds a signal for each open stream.
	wake   map[chan struct{}]bool
	asking asking
}

type met struct {
	entry runs.Entry
	at    time.Time
}

func newPeers(e *Entry) *peers {
	return &peers{entry: e, dialed: make(map[string]bool), met: make(map[string]met), wake: make(map[chan struct{}]bool)}
}

// run registers the entry and finds the others.
func (p *peers) run(ctx context.Context) error {
	for _, address := range p.entry.settings.Seeds {
		p.dial(ctx, address)
	}
	go p.register(ctx)
	ticker := time.NewTicker(registryEvery)
	defer ticker.Stop()
	for {
		p.readRegistry(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *peers) register(ctx context.Context) {
	for ctx.Err() == nil {
		asking, cancel := context.WithTimeout(ctx, registryTimeout)
		err := p.entry.deps.Store.Register(asking, p.entry.self)
		cancel()
		if err == nil {
			return
		}
		p.entry.log.Warn().Err(err).Msg("entry: not registered yet")
		select {
		case <-time.After(registerRetry):
		case <-ctx.Done():
		}
	}
}

func (p *peers) readRegistry(ctx context.Context) {
	asking, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	entries, err := p.entry.deps.Store.Entries(asking)
	if err != nil {
		p.entry.log.Warn().Err(err).Msg("entry: the registry of entries does not answer")
		return
	}
	for _, e := range entries {
		p.dial(ctx, e.Address)
	}
}

// dial starts an exchange with an entry unless there is one.
func (p *peers) dial(ctx context.Context, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if address == p.entry.self.Address || p.dialed[address] || ctx.Err() != nil {
		return
	}
	p.dialed[address] = true
	go p.keep(ctx, address)
}

// keep exchanges with one entry until that is out of reach for long.
func (p *peers) keep(ctx context.Context, address string) {
	transport.Keep(ctx, func(ctx context.Context) bool { return p.exchangeWith(ctx, address) })
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dialed, address)
	delete(p.met, address)
}

func (p *peers) exchangeWith(ctx context.Context, address string) bool {
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
	return p.exchange(streamCtx, stop, stream)
}

// Gossip implements runs.Server.
func (e *Entry) Gossip(stream runs.GossipEnd) error {
	ctx, stop := context.WithCancel(stream.Context())
	defer stop()
	e.peers.exchange(ctx, func() { stop(); _ = stream.Close() }, stream)
	return nil
}

// exchange speaks on a stream until it breaks or goes silent. It reports whether
// the other side was heard.
func (p *peers) exchange(ctx context.Context, stop func(), stream runs.GossipEnd) bool {
	wake := make(chan struct{}, 1)
	p.mu.Lock()
	p.wake[wake] = true
	p.mu.Unlock()
	theirs := make(chan heard, 1)
	go func() {
		defer stop()
		p.speak(ctx, stream, wake, theirs)
	}()
	reached := p.listen(stop, stream, theirs)
	stop()
	p.mu.Lock()
	delete(p.wake, wake)
	p.mu.Unlock()
	return reached
}

// heard is what the other side of a stream has said last.
type heard struct {
	version uint64
	want    bool
}

// speak sends what this entry knows: at once after a change, else now and then.
// The configuration goes along if the other side has asked for it.
func (p *peers) speak(ctx context.Context, stream runs.GossipEnd, wake <-chan struct{}, theirs <-chan heard) {
	var last heard
	for {
		msg := &runs.Gossip{From: p.entry.self, Entries: p.alive(), ConfigVersion: p.entry.configVersion()}
		msg.Want = p.asking.ask(time.Now(), msg.ConfigVersion, last.version)
		if doc := p.entry.config.Load(); last.want && doc != nil && last.version < doc.Catalog.Version {
			msg.Config = doc.Raw
			last.want = false
		}
		if stream.Send(msg) != nil {
			return
		}
		pause := time.NewTimer(p.pause(last.version))
		for answered := false; !answered; {
			select {
			case last = <-theirs:
				answered = last.want
				if last.version > msg.ConfigVersion {
					pause.Reset(behindEvery)
				}
			case <-wake:
				answered = true
			case <-pause.C:
				answered = true
			case <-ctx.Done():
				pause.Stop()
				return
			}
		}
		pause.Stop()
	}
}

// pause returns the time until something is said without a reason.
func (p *peers) pause(theirs uint64) time.Duration {
	if theirs > p.entry.configVersion() {
		return behindEvery
	}
	return gossipEvery
}

func (p *peers) listen(stop func(), stream runs.GossipEnd, theirs chan heard) (reached bool) {
	silence := time.AfterFunc(silentAfter, stop)
	defer silence.Stop()
	for {
		msg, err := stream.Recv()
		if err != nil {
			return reached
		}
		reached = true
		silence.Reset(silentAfter)
		p.take(msg)
		now := heard{version: msg.ConfigVersion, want: msg.Want}
		select {
		case before := <-theirs:
			now.want = now.want || before.want
		default:
		}
		theirs <- now
	}
}

func (p *peers) take(msg *runs.Gossip) {
	p.hear(msg.From)
	for _, e := range msg.Entries {
		p.dial(p.entry.work, e.Address)
	}
	if len(msg.Config) == 0 || msg.ConfigVersion <= p.entry.configVersion() {
		return
	}
	doc, err := p.entry.deps.Store.Parse(msg.Config)
	if err != nil {
		p.entry.log.Error().Err(err).Str("from", msg.From.Address).Msg("entry: a passed on configuration is not valid")
		return
	}
	p.entry.adopt(doc, msg.From.Address)
}

// hear notes that an entry is alive. Agents are told of new ones.
func (p *peers) hear(from runs.Entry) {
	p.mu.Lock()
	old, known := p.met[from.Address]
	p.met[from.Address] = met{entry: from, at: time.Now()}
	p.mu.Unlock()
	p.dial(p.entry.work, from.Address)
	if known && old.entry.Incarnation == from.Incarnation {
		return
	}
	p.entry.post(func(c *core.Core, _ time.Time) { c.Peers(len(p.alive())) })
	p.entry.log.Info().Str("peer", from.Address).Uint64("incarnation", from.Incarnation).Msg("entry: peer is alive")
	p.entry.tellAgents(p.alive())
}

// alive returns this entry and those that were heard lately.
func (p *peers) alive() []runs.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []runs.Entry{p.entry.self}
	for _, m := range p.met {
		if time.Since(m.at) < transport.ForgetAfter {
			list = append(list, m.entry)
		}
	}
	return list
}

// heardLately returns the other entries that were heard a moment ago.
func (p *peers) heardLately() []runs.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []runs.Entry
	for _, m := range p.met {
		if time.Since(m.at) < gossipEvery {
			list = append(list, m.entry)
		}
	}
	return list
}

// configChanged has all streams speak.
func (p *peers) configChanged() {
	p.asking.adopted()
	p.mu.Lock()
	defer p.mu.Unlock()
	for wake := range p.wake {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}
