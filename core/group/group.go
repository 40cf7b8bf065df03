// Package group gathers claim writes into transactions under a share of the
// platform's write budget.
//
// The share is a token bucket; a transaction costs one token however many
// claims it carries. While tokens last, a write leaves at once; when they run
// out, writes gather until the next token. The delay thus follows from the
// budget and the load, not from a constant.
//
// A transaction whose answer was lost is unknown, not failed: its writes are
// repeated unchanged until a definite answer arrives. Repeating is idempotent,
// since each write is conditional and carries its nonce. Only a write that was
// never sent may expire.
package group

import (
	"time"

	"peridotpick.example/core/claim"
)

// Params are the limits of a Grouper.
type Params struct {
	// Budget is the number of transactions a second of all entries together.
	Budget float64
	// MaxGroup bounds the writes of one transaction.
	MaxGroup int
	// MaxInFlight bounds the transactions under way.
	MaxInFlight int
	// MaxPending bounds the writes that wait.
	MaxPending int
	// BackoffMin and BackoffMax bound the pause after a failure.
	BackoffMin, BackoffMax time.Duration
	// OutageAfter is the number of failures in a row that count as an outage.
	OutageAfter int
}

// DefaultParams returns the limits used unless configured otherwise.
func DefaultParams() Params {
	return Params{
		Budget: 250, MaxGroup: 64, MaxInFlight: 4, MaxPending: 4096,
		BackoffMin: 20 * time.Millisecond, BackoffMax: time.Second, OutageAfter: 2,
	}
}

// Fate is the result of a transaction.
type Fate uint8

// Fates of a transaction.
const (
	// Applied: all writes took effect.
	Applied Fate = iota
	// Conflicted: nothing took effect; some writes met another row.
	Conflicted
	// Refused: it certainly had no effect.
	Refused
	// Lost: it may or may not have taken effect.
	Lost
)

// Conflict is a write of a transaction that met another row.
type Conflict struct {
	// Index is the position of the write in the transaction.
	Index   int
	Current *claim.Row
	Version uint64
}

// pending is a write that has no definite fate.
type pending struct {
	write claim.Write
	// sent is true once the write was part of a transaction of unknown fate.
	sent bool
}

// Group is a transaction to send.
type Group struct {
	ID     uint64
	Writes []claim.Write
	items  []*pending
}

// Grouper is the state. Not safe for concurrent use.
type Grouper struct {
	params   Params
	shares   int
	waiting  []*pending
	inFlight map[uint64]*Group
	nextID   uint64
	tokens   float64
	filled   time.Time
	failures int
	blocked  time.Time
	results  []claim.Result
	stats    Stats
}

// Stats are counters since the start.
type Stats struct {
	Transactions, Writes, Lost, Expired uint64
}

// New returns an empty Grouper.
func New(params Params) *Grouper {
	return &Grouper{params: params, shares: 1, inFlight: make(map[uint64]*Group), tokens: 1}
}

// SetShares states among how many live entries the budget is divided.
func (g *Grouper) SetShares(n int) { g.shares = max(1, n) }

// Rate returns this entry's share in transactions a second.
func (g *Grouper) Rate() float64 { return g.params.Budget / float64(g.shares) }

// Stats returns the counters.
func (g *Grouper) Stats() Stats { return g.stats }

// Waiting returns the number of writes that wait to be sent.
func (g *Grouper) Waiting() int { return len(g.waiting) }

// Away reports whether the service does not answer at present.
func (g *Grouper) Away() bool { return g.failures >= g.params.OutageAfter }

// Reachable tells what another request to the service learned of it: a failure
// counts as an outage at once, a success ends one. The caller must go on asking
// during an outage, since no new claim is sent that could find its end.
func (g *Grouper) Reachable(ok bool) {
	switch {
	case !ok:
		g.failures = max(g.failures, g.params.OutageAfter)
	case g.Away():
		g.failures = 0
		g.blocked = time.Time{}
	}
}

// Add queues a write. One that may expire is refused as not sent if there is no
// room or the service is away: what it would be sent into is an unknown fate.
func (g *Grouper) Add(w claim.Write) {
	if !w.Expires.IsZero() && (g.Away() || len(g.waiting) >= g.params.MaxPending) {
		g.notSent(w)
		return
	}
	g.waiting = append(g.waiting, &pending{write: w})
}

func (g *Grouper) notSent(w claim.Write) {
	g.stats.Expired++
	g.results = append(g.results, claim.Result{
		Submission: w.Row.Submission, Nonce: w.Row.Nonce, Status: claim.NotSent, Outage: g.Away(),
	})
}

// Results returns the fates learned since the last call.
func (g *Grouper) Results() []claim.Result {
	out := g.results
	g.results = nil
	return out
}

// Next returns the next transaction to send, or nil and when to ask again;
// a zero time means when something changes.
func (g *Grouper) Next(now time.Time) (*Group, time.Time) {
	g.fill(now)
	g.expire(now)
	if len(g.waiting) == 0 || len(g.inFlight) >= g.allowedInFlight() {
		return nil, g.nextExpiry()
	}
	if now.Before(g.blocked) {
		return nil, earliest(g.blocked, g.nextExpiry())
	}
	if g.tokens < 1 {
		missing := time.Duration((1 - g.tokens) / g.Rate() * float64(time.Second))
		return nil, earliest(now.Add(missing+time.Microsecond), g.nextExpiry())
	}
	g.tokens--
	return g.take(), time.Time{}
}

// allowedInFlight is one while the service is away: a single probe.
func (g *Grouper) allowedInFlight() int {
	if g.failures > 0 {
		return 1
	}
	return g.params.MaxInFlight
}

// burst is how many unused tokens are kept, as a time of the share.
const burst = 250 * time.Millisecond

func (g *Grouper) fill(now time.Time) {
	if !g.filled.IsZero() {
		g.tokens += now.Sub(g.filled).Seconds() * g.Rate()
	}
	g.filled = now
	g.tokens = min(g.tokens, max(1, g.Rate()*burst.Seconds()))
}

// expire refuses unsent writes that nobody wants any more, and, while the
// service is away, all that may expire.
func (g *Grouper) expire(now time.Time) {
	kept := g.waiting[:0]
	for _, p := range g.waiting {
		mayExpire := !p.sent && !p.write.Expires.IsZero()
		if mayExpire && (g.Away() || !now.Before(p.write.Expires)) {
			g.notSent(p.write)
			continue
		}
		kept = append(kept, p)
	}
	clear(g.waiting[len(kept):])
	g.waiting = kept
}

func (g *Grouper) nextExpiry() time.Time {
	var next time.Time
	for _, p := range g.waiting {
		if !p.sent && !p.write.Expires.IsZero() {
			next = earliest(next, p.write.Expires)
		}
	}
	return next
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// take forms a transaction of the oldest writes, one for each submission.
func (g *Grouper) take() *Group {
	g.nextID++
	group := &Group{ID: g.nextID}
	seen := make(map[string]bool)
	var rest []*pending
	for _, p := range g.waiting {
		if len(group.items) == g.params.MaxGroup || seen[p.write.Row.Submission] {
			rest = append(rest, p)
			continue
		}
		seen[p.write.Row.Submission] = true
		group.items = append(group.items, p)
		group.Writes = append(group.Writes, p.write)
	}
	g.waiting = rest
	g.inFlight[group.ID] = group
	g.stats.Transactions++
	return group
}

// Done handles the fate of a transaction.
func (g *Grouper) Done(now time.Time, id uint64, fate Fate, version uint64, conflicts []Conflict) {
	group := g.inFlight[id]
	if group == nil {
		return
	}
	delete(g.inFlight, id)
	switch fate {
	case Applied:
		g.failures = 0
		g.applied(group, version)
	case Conflicted:
		g.failures = 0
		g.conflicted(group, conflicts)
	case Refused:
		g.failed(now, group)
	case Lost:
		g.stats.Lost++
		for _, p := range group.items {
			if !p.sent {
				p.sent = true
				g.result(p, claim.Result{Status: claim.Unknown})
			}
		}
		g.failed(now, group)
	}
}

func (g *Grouper) applied(group *Group, version uint64) {
	for _, p := range group.items {
		g.stats.Writes++
		g.result(p, claim.Result{Status: claim.Applied, Version: version})
	}
}

// conflicted reports the writes that met another row and queues the others again.
func (g *Grouper) conflicted(group *Group, conflicts []Conflict) {
	met := make(map[int]Conflict, len(conflicts))
	for _, c := range conflicts {
		met[c.Index] = c
	}
	var again []*pending
	for i, p := range group.items {
		c, conflict := met[i]
		if !conflict {
			again = append(again, p)
			continue
		}
		g.result(p, claim.Result{Status: claim.Mismatch, Current: c.Current, Version: c.Version})
	}
	g.waiting = append(again, g.waiting...)
}

func (g *Grouper) result(p *pending, r claim.Result) {
	r.Submission = p.write.Row.Submission
	r.Nonce = p.write.Row.Nonce
	g.results = append(g.results, r)
}

// failed queues the writes of a failed transaction again, after a pause.
func (g *Grouper) failed(now time.Time, group *Group) {
	g.failures++
	pause := g.params.BackoffMin << min(g.failures-1, maxShift)
	g.blocked = now.Add(min(pause, g.params.BackoffMax))
	g.waiting = append(group.items, g.waiting...)
}

const maxShift = 10
