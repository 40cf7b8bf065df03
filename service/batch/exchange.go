package batch

import (
	"context"
	"time"

	"peridotpick.example/common/boottime"
	"peridotpick.example/wire/runs"
)

// Times of an exchange between entries.
const (
	// gossipEvery is the longest silence between two entries, silentAfter the
	// silence after which a stream is closed and opened anew.
	gossipEvery = 400 * time.Millisecond
	// behindEvery is the pause while the other side has a newer configuration.
	behindEvery = 100 * time.Millisecond
	silentAfter = 1500 * time.Millisecond
	// differAfter is the number of messages in a row with another digest after which
	// all records are told: changes that are on their way have come by then.
	differAfter = 3
)

// exchange is an open stream between two entries. Its fields are guarded by peers.mu.
type exchange struct {
	// address is that of the other entry; empty before its first word.
	address string
	heardAt time.Time
	// dialed is set on the side that opened it.
	dialed bool
	// pending are records to tell, all is set if all are to be told.
	pending []runs.Member
	all     bool
	// suspects are tasks to tell that crash workers.
	suspects []runs.Suspect
	// closing is set once the exchange shall be closed on purpose.
	closing bool
	// differs counts the messages in a row whose digest was another one.
	differs int
	wake    chan struct{}
}

// signal has the exchange speak.
func (x *exchange) signal() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Gossip implements runs.Server.
func (e *Entry) Gossip(stream runs.GossipEnd) error {
	ctx, stop := context.WithCancel(stream.Context())
	defer stop()
	e.peers.exchange(ctx, func() { stop(); _ = stream.Close() }, stream, false)
	return nil
}

// exchange speaks on a stream until it breaks or goes silent. It reports whether
// the other side was heard.
func (p *peers) exchange(ctx context.Context, stop func(), stream runs.GossipEnd, dialed bool) bool {
	x := &exchange{dialed: dialed, wake: make(chan struct{}, 1), all: true}
	p.mu.Lock()
	p.streams[x] = true
	p.mu.Unlock()
	theirs := make(chan heard, 1)
	go func() {
		defer stop()
		p.speak(ctx, stream, x, theirs)
	}()
	reached := p.listen(stop, stream, x, theirs)
	stop()
	p.mu.Lock()
	delete(p.streams, x)
	p.mu.Unlock()
	return reached
}

// heard is what the other side of a stream has said last.
type heard struct {
	version uint64
	// want is set if it asks for the configuration, from a byte on.
	want bool
	from int
}

// speak sends what this entry knows: at once after a change, else now and then.
// The configuration goes along if the other side has asked for it.
func (p *peers) speak(ctx context.Context, stream runs.GossipEnd, x *exchange, theirs <-chan heard) {
	var last heard
	for {
		msg := p.word(x)
		msg.Want, msg.WantFrom = p.asking.ask(time.Now(), msg.ConfigVersion, last.version, p.entry.deps.Store.Arriving())
		if last.want {
			last.want = false
			p.addPart(msg, last)
		}
		if stream.Send(msg) != nil || msg.Closing {
			return
		}
		p.entry.entryTraffic.Sent()
		pause := time.NewTimer(p.pause(last.version))
		for answered := false; !answered; {
			select {
			case last = <-theirs:
				answered = last.want
				if last.version > msg.ConfigVersion {
					pause.Reset(behindEvery)
				}
			case <-x.wake:
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

// word returns the next message of an exchange, without a configuration.
func (p *peers) word(x *exchange) *runs.Gossip {
	p.mu.Lock()
	defer p.mu.Unlock()
	msg := &runs.Gossip{
		Self: p.view.Self(), Members: x.pending, Digest: p.view.Digest(), ConfigVersion: p.entry.configVersion(),
		Closing: x.closing, Drains: p.entry.drains.view(boottime.Now()), Suspects: x.suspects,
	}
	if x.all {
		msg.Members = p.view.Records()
	}
	x.pending, x.all, x.suspects = nil, false, nil
	return msg
}

// addPart adds the part of the configuration that the other side has asked for.
func (p *peers) addPart(msg *runs.Gossip, asked heard) {
	doc := p.entry.config.Load()
	if doc == nil || doc.Catalog.Version <= asked.version || asked.from < 0 || asked.from >= len(doc.Raw) {
		return
	}
	msg.ConfigVersion = doc.Catalog.Version
	msg.Config = doc.Raw[asked.from:min(asked.from+partSize, len(doc.Raw))]
	msg.ConfigFrom, msg.ConfigSize = asked.from, len(doc.Raw)
}

// pause returns the time until something is said without a reason.
func (p *peers) pause(theirs uint64) time.Duration {
	if theirs > p.entry.configVersion() {
		return behindEvery
	}
	return gossipEvery
}

func (p *peers) listen(stop func(), stream runs.GossipEnd, x *exchange, theirs chan heard) (reached bool) {
	silence := time.AfterFunc(silentAfter, stop)
	defer silence.Stop()
	for {
		msg, err := stream.Recv()
		if err != nil {
			return reached
		}
		reached = true
		p.entry.entryTraffic.Received()
		silence.Reset(silentAfter)
		p.hear(x, msg)
		p.entry.learnDrains(msg.Drains, msg.Self.Entry.Address)
		p.hearSuspects(msg.Suspects)
		p.takeConfig(x, msg)
		now := heard{version: msg.ConfigVersion, want: msg.Want, from: msg.WantFrom}
		select {
		case before := <-theirs:
			if before.want && !now.want {
				now.want, now.from = true, before.from
			}
		default:
		}
		theirs <- now
	}
}

// hear takes what another entry says of itself and of others.
func (p *peers) hear(x *exchange, msg *runs.Gossip) {
	now := time.Now()
	p.mu.Lock()
	x.address, x.heardAt = msg.Self.Entry.Address, now
	if !x.closing {
		p.direct[x.address] = now
	}
	ch := p.view.Hear(now, append(msg.Members, msg.Self))
	p.spread(ch, x)
	if p.view.Gone(x.address) {
		x.all = true // it must hear so, to set it right
		x.signal()
	}
	if msg.Closing {
		delete(p.direct, x.address) // it is not lost
		x.address = ""
	}
	if msg.Digest == p.view.Digest() {
		x.differs = 0
	} else if x.differs++; x.differs >= differAfter {
		x.differs, x.all = 0, true
	}
	p.mu.Unlock()
	p.report(ch)
}

// takeConfig takes a part of a configuration that another entry has passed on, and puts
// it in force once it is whole.
func (p *peers) takeConfig(x *exchange, msg *runs.Gossip) {
	if len(msg.Config) == 0 || msg.ConfigVersion <= p.entry.configVersion() {
		return
	}
	from := msg.Self.Entry.Address
	raw := p.asking.took(msg.ConfigVersion, msg.ConfigFrom, msg.ConfigSize, msg.Config)
	if raw == nil {
		x.signal() // to ask for the next part
		return
	}
	doc, err := p.entry.deps.Store.Parse(raw)
	if err != nil {
		p.entry.log.Error().Err(err).Str("from", from).Msg("entry: a passed on configuration is not valid")
		return
	}
	p.entry.adopt(doc, from)
}
