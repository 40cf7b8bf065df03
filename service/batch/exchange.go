package batch

import (
	"context"
	"time"

	"peridotpick.example/common/boottime"
	"peridotpick.example/wire/runs"
)

// Intervals and timeouts of a gossip exchange.
const (
	// gossipInterval is the longest time between two messages to another entry, exchangeTimeout the
	// silence after which the stream is closed and opened anew.
	gossipInterval = 400 * time.Millisecond
	// behindInterval is the interval while the other side has a newer configuration.
	behindInterval  = 100 * time.Millisecond
	exchangeTimeout = 1500 * time.Millisecond
	// mismatchesBeforeFullView is the number of consecutive messages with another digest after
	// which all records are sent. Changes that are in transit have arrived by then.
	mismatchesBeforeFullView = 3
)

// exchange is an open gossip stream to another entry. Its fields are guarded by peers.mu.
type exchange struct {
	// address is the address of the other entry; empty before its first message.
	address string
	heardAt time.Time
	// dialed is set on the side that has opened the stream.
	dialed bool
	// pending are the records to send, fullView is set if all records are to be sent.
	pending  []runs.Member
	fullView bool
	// suspects are the tasks suspected of crashing workers that are still to be sent.
	suspects []runs.Suspect
	// cancelled are the cancelled jobs that are still to be sent.
	cancelled []runs.CancelledJob
	// closing is set once this side closes the exchange on purpose.
	closing bool
	// digestMismatches counts the consecutive messages with another digest than this entry's.
	digestMismatches int
	wake             chan struct{}
}

// tellAll adds to the next message of each exchange, which is sent at once.
func (p *peers) tellAll(add func(x *exchange)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.exchanges {
		add(x)
		x.wakeSender()
	}
}

// appendNewest appends to a list of which only the newest elements are kept, limit of them.
func appendNewest[T any](list, more []T, limit int) []T {
	list = append(list, more...)
	return list[max(len(list)-limit, 0):]
}

// wakeSender has the next message sent at once.
func (x *exchange) wakeSender() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Gossip implements runs.Server.
func (e *Entry) Gossip(stream runs.GossipStream) error {
	ctx, stop := context.WithCancel(stream.Context())
	defer stop()
	e.peers.runExchange(ctx, func() { stop(); _ = stream.Close() }, stream, false)
	return nil
}

// runExchange serves a stream until it breaks or times out. It reports whether any message was
// received.
func (p *peers) runExchange(ctx context.Context, stop func(), stream runs.GossipStream, dialed bool) bool {
	x := &exchange{dialed: dialed, wake: make(chan struct{}, 1), fullView: true}
	p.mu.Lock()
	p.exchanges[x] = true
	p.mu.Unlock()
	remote := make(chan remoteState, 1)
	go func() {
		defer stop()
		p.sendLoop(ctx, stream, x, remote)
	}()
	reached := p.receiveLoop(stop, stream, x, remote)
	stop()
	p.mu.Lock()
	delete(p.exchanges, x)
	p.mu.Unlock()
	return reached
}

// remoteState is the state of the other side as of its last messages.
type remoteState struct {
	// version is the version of the configuration in force there.
	version uint64
	// wantsConfig is set if the other side asks for the configuration, from the byte configOffset
	// on.
	wantsConfig  bool
	configOffset int
}

// sendLoop sends messages: at once after a change, otherwise at an interval. A message includes a
// chunk of the configuration if the other side has asked for one.
func (p *peers) sendLoop(ctx context.Context, stream runs.GossipStream, x *exchange, remote <-chan remoteState) {
	var last remoteState
	for {
		msg := p.nextMessage(x)
		msg.WantConfig, msg.WantConfigFrom = p.configFetch.request(time.Now(), msg.ConfigVersion, last.version, p.entry.deps.Store.ConfigArriving())
		if last.wantsConfig {
			last.wantsConfig = false
			p.addConfigChunk(msg, last)
		}
		if stream.Send(msg) != nil || msg.Closing {
			return
		}
		p.entry.entryTraffic.Sent()
		timer := time.NewTimer(p.sendInterval(last.version))
		for sendNow := false; !sendNow; {
			select {
			case last = <-remote:
				sendNow = last.wantsConfig
				if last.version > msg.ConfigVersion {
					timer.Reset(behindInterval)
				}
			case <-x.wake:
				sendNow = true
			case <-timer.C:
				sendNow = true
			case <-ctx.Done():
				timer.Stop()
				return
			}
		}
		timer.Stop()
	}
}

// nextMessage returns the next message of an exchange, without a configuration.
func (p *peers) nextMessage(x *exchange) *runs.Gossip {
	p.mu.Lock()
	defer p.mu.Unlock()
	msg := &runs.Gossip{
		Self: p.view.Self(), Members: x.pending, AliveDigest: p.view.Digest(), ConfigVersion: p.entry.configVersion(),
		Closing: x.closing, Drains: p.entry.drains.view(boottime.Now()), Suspects: x.suspects, Levels: p.levels, Cancelled: x.cancelled,
	}
	if x.fullView {
		msg.Members = p.view.Records()
	}
	x.pending, x.fullView, x.suspects, x.cancelled = nil, false, nil, nil
	return msg
}

// addConfigChunk adds the chunk of the configuration that the other side has asked for.
func (p *peers) addConfigChunk(msg *runs.Gossip, remote remoteState) {
	doc := p.entry.config.Load()
	if doc == nil || doc.Catalog.Version <= remote.version || remote.configOffset < 0 || remote.configOffset >= len(doc.Raw) {
		return
	}
	msg.ConfigVersion = doc.Catalog.Version
	msg.Config = doc.Raw[remote.configOffset:min(remote.configOffset+chunkSize, len(doc.Raw))]
	msg.ConfigFrom, msg.ConfigSize = remote.configOffset, len(doc.Raw)
}

// sendInterval returns the time until the next message if nothing changes.
func (p *peers) sendInterval(remoteVersion uint64) time.Duration {
	if remoteVersion > p.entry.configVersion() {
		return behindInterval
	}
	return gossipInterval
}

// receiveLoop handles messages until the stream breaks, and calls stop if none arrives for
// exchangeTimeout. It reports whether any message was received. remote holds the newest state only.
func (p *peers) receiveLoop(stop func(), stream runs.GossipStream, x *exchange, remote chan remoteState) (reached bool) {
	silence := time.AfterFunc(exchangeTimeout, stop)
	defer silence.Stop()
	for {
		msg, err := stream.Recv()
		if err != nil {
			return reached
		}
		reached = true
		p.entry.entryTraffic.Received()
		silence.Reset(exchangeTimeout)
		p.handleMessage(x, msg)
		p.entry.updateDrains(msg.Drains, msg.Self.Entry.Address)
		p.receiveSuspects(msg.Suspects)
		p.receiveCancelled(msg.Cancelled)
		p.receiveLevels(msg.Self.Entry.Address, msg.Levels)
		p.receiveConfigChunk(x, msg)
		latest := remoteState{version: msg.ConfigVersion, wantsConfig: msg.WantConfig, configOffset: msg.WantConfigFrom}
		select {
		case unread := <-remote:
			if unread.wantsConfig && !latest.wantsConfig {
				latest.wantsConfig, latest.configOffset = true, unread.configOffset
			}
		default:
		}
		remote <- latest
	}
}

// handleMessage merges the membership records of a message and compares the digests.
func (p *peers) handleMessage(x *exchange, msg *runs.Gossip) {
	now := time.Now()
	p.mu.Lock()
	x.address, x.heardAt = msg.Self.Entry.Address, now
	if !x.closing {
		p.lastHeard[x.address] = now
	}
	ch := p.view.Merge(now, append(msg.Members, msg.Self))
	p.broadcastLocked(ch, x)
	if p.view.IsGone(x.address) {
		x.fullView = true // the other entry needs this record to publish a newer one of itself
		x.wakeSender()
	}
	if msg.Closing {
		delete(p.lastHeard, x.address) // the entry is not gone
		x.address = ""
	}
	if msg.AliveDigest == p.view.Digest() {
		x.digestMismatches = 0
	} else if x.digestMismatches++; x.digestMismatches >= mismatchesBeforeFullView {
		x.digestMismatches, x.fullView = 0, true
	}
	p.mu.Unlock()
	p.publishChange(ch)
}

// receiveConfigChunk takes a chunk of a configuration and puts the configuration in force once it
// is complete.
func (p *peers) receiveConfigChunk(x *exchange, msg *runs.Gossip) {
	if len(msg.Config) == 0 || msg.ConfigVersion <= p.entry.configVersion() {
		return
	}
	from := msg.Self.Entry.Address
	raw := p.configFetch.addChunk(msg.ConfigVersion, msg.ConfigFrom, msg.ConfigSize, msg.Config)
	if raw == nil {
		x.wakeSender() // asks for the next chunk
		return
	}
	doc, err := p.entry.deps.Store.ParseConfig(raw)
	if err != nil {
		p.entry.log.Error().Err(err).Str("from", from).Msg("entry: a passed on configuration is not valid")
		return
	}
	p.entry.adopt(doc, from)
}
