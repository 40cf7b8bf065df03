// Package group implements group commit of claim writes: it combines them into transactions and
// sends these within one entry's share of the table service's write budget.
//
// The share is a token bucket; a transaction costs one token however many claims it writes. While
// tokens are left, a write is sent at once. When they run out, writes wait for the next token and
// are sent together. The delay follows from the budget and the load, not from a fixed interval.
//
// A transaction whose answer was lost may have taken effect. Its writes are repeated unchanged
// until a definite answer arrives. Repeating is idempotent, since each write is conditional and
// carries its nonce. Only a write that was never sent may expire.
//
// The package has no clock and does no I/O: the caller passes the time, sends the transactions that
// Next returns, and reports their results to Done.
package group

import (
	"time"

	"peridotpick.example/core/claim"
)

// Params are the limits of a Grouper.
type Params struct {
	// Budget is the number of transactions a second of all live entries together.
	Budget float64
	// MaxGroup is the maximum number of writes in one transaction.
	MaxGroup int
	// MaxInFlight is the maximum number of transactions sent and not answered.
	MaxInFlight int
	// MaxPending is the number of waiting writes from which new writes that may expire are rejected.
	MaxPending int
	// BackoffMin is the pause after a first failure. It doubles with each further failure in a row,
	// up to BackoffMax.
	BackoffMin, BackoffMax time.Duration
	// OutageAfter is the number of failures in a row that count as an outage.
	OutageAfter int
}

// DefaultParams returns the default limits.
func DefaultParams() Params {
	return Params{
		Budget: 250, MaxGroup: 64, MaxInFlight: 4, MaxPending: 4096,
		BackoffMin: 20 * time.Millisecond, BackoffMax: time.Second, OutageAfter: 2,
	}
}

// TxnStatus is the result of a transaction.
type TxnStatus uint8

// Results of a transaction.
const (
	// Applied: all writes took effect.
	Applied TxnStatus = iota
	// Conflicted: no write took effect, because the condition of at least one was not met.
	Conflicted
	// NotApplied: the transaction certainly had no effect.
	NotApplied
	// Lost: the transaction may have taken effect; its answer was lost.
	Lost
)

// Conflict is a write of a transaction whose condition was not met.
type Conflict struct {
	// Index is the position of the write in Group.Writes.
	Index int
	// Current is the row in the table, or nil if there is none, and Version its version.
	Current *claim.Row
	Version uint64
}

// pending is a write without a definite result.
type pending struct {
	write claim.Write
	// statusUnknown is set once the write was part of a transaction that was lost. Such a write may
	// have taken effect and must not expire.
	statusUnknown bool
}

// Group is a transaction to send.
type Group struct {
	ID     uint64
	Writes []claim.Write
	items  []*pending
}

// Grouper combines writes into transactions. It is not safe for concurrent use.
type Grouper struct {
	params Params
	// liveEntries is the number of entries that share the budget.
	liveEntries int
	// waiting are the writes that are not part of a transaction in flight, in sending order.
	waiting  []*pending
	inFlight map[uint64]*Group
	nextID   uint64
	// tokens is the number of transactions that may be sent, as of lastRefill.
	tokens     float64
	lastRefill time.Time
	// consecutiveFailures counts failed transactions since the last success.
	consecutiveFailures int
	// retryAt is the end of the pause after a failure.
	retryAt time.Time
	results []claim.Result
	stats   Stats
}

// Stats are counters since the start of the process.
type Stats struct {
	// Transactions counts those sent, Writes the writes applied, Lost the transactions whose answer
	// was lost, and Expired the writes that were never sent.
	Transactions, Writes, Lost, Expired uint64
}

// New returns an empty Grouper.
func New(params Params) *Grouper {
	return &Grouper{params: params, liveEntries: 1, inFlight: make(map[uint64]*Group), tokens: 1}
}

// SetLiveEntries sets the number of live entries among which the budget is divided evenly.
func (g *Grouper) SetLiveEntries(n int) { g.liveEntries = max(1, n) }

// Rate returns this entry's share in transactions a second.
func (g *Grouper) Rate() float64 { return g.params.Budget / float64(g.liveEntries) }

// Stats returns the counters.
func (g *Grouper) Stats() Stats { return g.stats }

// Waiting returns the number of writes that wait to be sent.
func (g *Grouper) Waiting() int { return len(g.waiting) }

// InOutage reports whether the table service has an outage, that is, does not answer.
func (g *Grouper) InOutage() bool { return g.consecutiveFailures >= g.params.OutageAfter }

// ReportReachable records whether another request to the table service was answered: a failure
// counts as an outage at once, a success ends one. During an outage the caller must go on sending
// such requests, since no new claim is sent that could detect the end of the outage.
func (g *Grouper) ReportReachable(ok bool) {
	switch {
	case !ok:
		g.consecutiveFailures = max(g.consecutiveFailures, g.params.OutageAfter)
	case g.InOutage():
		g.consecutiveFailures = 0
		g.retryAt = time.Time{}
	}
}

// Add queues a write. A write that may expire is rejected as not sent if too many writes wait or
// the table service has an outage: if it were sent, its status would most likely be unknown.
func (g *Grouper) Add(w claim.Write) {
	if !w.Expires.IsZero() && (g.InOutage() || len(g.waiting) >= g.params.MaxPending) {
		g.rejectUnsent(w)
		return
	}
	g.waiting = append(g.waiting, &pending{write: w})
}

// rejectUnsent reports a write as not sent.
func (g *Grouper) rejectUnsent(w claim.Write) {
	g.stats.Expired++
	g.results = append(g.results, claim.Result{
		Submission: w.Row.Submission, Nonce: w.Row.Nonce, Status: claim.NotSent, Outage: g.InOutage(),
	})
}

// Results returns the results of writes that have become known since the last call.
func (g *Grouper) Results() []claim.Result {
	out := g.results
	g.results = nil
	return out
}

// Next returns the next transaction to send. If there is none it returns nil and the time at which
// Next must be called again; a zero time means after the next call of Add, Done or ReportReachable.
func (g *Grouper) Next(now time.Time) (*Group, time.Time) {
	g.refill(now)
	g.expireUnsent(now)
	if len(g.waiting) == 0 || len(g.inFlight) >= g.inFlightLimit() {
		return nil, g.nextExpiry()
	}
	if now.Before(g.retryAt) {
		return nil, earliest(g.retryAt, g.nextExpiry())
	}
	if g.tokens < 1 {
		missing := time.Duration((1 - g.tokens) / g.Rate() * float64(time.Second))
		return nil, earliest(now.Add(missing+time.Microsecond), g.nextExpiry())
	}
	g.tokens--
	return g.formGroup(), time.Time{}
}

// inFlightLimit returns the maximum number of transactions in flight. After a failure it is one, so
// that a single transaction probes the table service.
func (g *Grouper) inFlightLimit() int {
	if g.consecutiveFailures > 0 {
		return 1
	}
	return g.params.MaxInFlight
}

// burstWindow is the time for which unused tokens accumulate. It bounds the size of a burst.
const burstWindow = 250 * time.Millisecond

// refill adds the tokens for the time since the last call. The bucket's capacity is the share of
// burstWindow, but at least one token, so that a small share can be spent at all.
func (g *Grouper) refill(now time.Time) {
	if !g.lastRefill.IsZero() {
		g.tokens += now.Sub(g.lastRefill).Seconds() * g.Rate()
	}
	g.lastRefill = now
	g.tokens = min(g.tokens, max(1, g.Rate()*burstWindow.Seconds()))
}

// expireUnsent rejects the writes that were never sent and have expired and, during an outage, all
// that were never sent and may expire.
func (g *Grouper) expireUnsent(now time.Time) {
	kept := g.waiting[:0]
	for _, p := range g.waiting {
		mayExpire := !p.statusUnknown && !p.write.Expires.IsZero()
		if mayExpire && (g.InOutage() || !now.Before(p.write.Expires)) {
			g.rejectUnsent(p.write)
			continue
		}
		kept = append(kept, p)
	}
	clear(g.waiting[len(kept):])
	g.waiting = kept
}

// nextExpiry returns when the next unsent write expires; zero if none does.
func (g *Grouper) nextExpiry() time.Time {
	var next time.Time
	for _, p := range g.waiting {
		if !p.statusUnknown && !p.write.Expires.IsZero() {
			next = earliest(next, p.write.Expires)
		}
	}
	return next
}

// earliest returns the earlier of a and b. A zero time counts as never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// formGroup makes a transaction of the first waiting writes. Only the first write of each
// submission is included; later ones wait.
func (g *Grouper) formGroup() *Group {
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

// Done handles the result of a transaction. version is that of the rows written if it was applied,
// conflicts are the writes whose condition was not met if it was conflicted.
func (g *Grouper) Done(now time.Time, id uint64, status TxnStatus, version uint64, conflicts []Conflict) {
	group := g.inFlight[id]
	if group == nil {
		return
	}
	delete(g.inFlight, id)
	switch status {
	case Applied:
		g.consecutiveFailures = 0
		g.handleApplied(group, version)
	case Conflicted:
		g.consecutiveFailures = 0
		g.handleConflicted(group, conflicts)
	case NotApplied:
		g.requeueAfterFailure(now, group)
	case Lost:
		g.stats.Lost++
		for _, p := range group.items {
			if !p.statusUnknown {
				p.statusUnknown = true
				g.addResult(p, claim.Result{Status: claim.Unknown})
			}
		}
		g.requeueAfterFailure(now, group)
	}
}

func (g *Grouper) handleApplied(group *Group, version uint64) {
	for _, p := range group.items {
		g.stats.Writes++
		g.addResult(p, claim.Result{Status: claim.Applied, Version: version})
	}
}

// handleConflicted reports the conflicting writes as mismatches and queues the others again.
func (g *Grouper) handleConflicted(group *Group, conflicts []Conflict) {
	conflictByIndex := make(map[int]Conflict, len(conflicts))
	for _, c := range conflicts {
		conflictByIndex[c.Index] = c
	}
	var retry []*pending
	for i, p := range group.items {
		c, conflict := conflictByIndex[i]
		if !conflict {
			retry = append(retry, p)
			continue
		}
		g.addResult(p, claim.Result{Status: claim.Mismatch, Current: c.Current, Version: c.Version})
	}
	g.waiting = append(retry, g.waiting...)
}

// addResult adds a result for p to those that Results returns.
func (g *Grouper) addResult(p *pending, r claim.Result) {
	r.Submission = p.write.Row.Submission
	r.Nonce = p.write.Row.Nonce
	g.results = append(g.results, r)
}

// requeueAfterFailure queues the writes of a transaction again, to be sent after a pause that
// doubles with each failure in a row.
func (g *Grouper) requeueAfterFailure(now time.Time, group *Group) {
	g.consecutiveFailures++
	pause := g.params.BackoffMin << min(g.consecutiveFailures-1, maxBackoffShift)
	g.retryAt = now.Add(min(pause, g.params.BackoffMax))
	g.waiting = append(group.items, g.waiting...)
}

// maxBackoffShift bounds the doublings of the pause, so that the shift cannot overflow.
const maxBackoffShift = 10
