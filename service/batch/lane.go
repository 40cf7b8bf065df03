package batch

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	core "peridotpick.example/core/batch"
	"peridotpick.example/core/ledger"
)

// lane carries out the writes of one part of the store, several in a transaction.
// A transaction without an answer is repeated unchanged until its fate is known;
// writes are conditional, so that repeating them is harmless.
type lane struct {
	entry  *Entry
	writes chan ledger.Write
	// budget is the entry's share of the transactions of all entries together.
	budget *rate.Limiter
	// timeout is that of the next transaction.
	timeout time.Duration
}

const (
	// laneRing bounds the writes that wait.
	laneRing = 8192
	// laneGroup is the number of writes in one transaction: the store takes a hundred
	// conditions and changes together.
	laneGroup = 45
	// The time that an answer may take follows the store: laneTimeouts times what the
	// last one took, within bounds. A store that is slow for all would otherwise get
	// each transaction several times and become slower yet.
	laneTimeouts   = 4
	laneTimeoutMin = 300 * time.Millisecond
	laneTimeoutMax = 5 * time.Second
	// laneRetry is the pause after a transaction that was refused or got no answer.
	laneRetry = 60 * time.Millisecond
	// urgentTries is how often a write that somebody waits for is tried again after
	// the store has refused it.
	urgentTries = 3
)

func newLane(e *Entry, budget *rate.Limiter) *lane {
	return &lane{entry: e, writes: make(chan ledger.Write, laneRing), budget: budget, timeout: laneTimeoutMin}
}

// add hands a write over. One that finds no room is refused: it was never sent.
func (l *lane) add(w ledger.Write) {
	select {
	case l.writes <- w:
	default:
		go l.tell([]ledger.Write{w}, []ledger.Outcome{{Fate: ledger.NotDone}})
	}
}

func (l *lane) run(ctx context.Context) error {
	for {
		group, ok := l.gather(ctx)
		if !ok {
			return nil
		}
		l.carryOut(ctx, group)
	}
}

// gather waits for a write and takes those that have come until the budget allows
// a transaction.
func (l *lane) gather(ctx context.Context) ([]ledger.Write, bool) {
	var group []ledger.Write
	select {
	case w := <-l.writes:
		group = append(group, w)
	case <-ctx.Done():
		return nil, false
	}
	if l.budget.Wait(ctx) != nil {
		return nil, false
	}
	for len(group) < laneGroup {
		select {
		case w := <-l.writes:
			group = append(group, w)
		default:
			return group, true
		}
	}
	return group, true
}

// carryOut repeats a group until the fate of all its writes is known.
func (l *lane) carryOut(ctx context.Context, group []ledger.Write) {
	certain := true // nothing of the group may be under way
	for tries := 1; len(group) > 0 && ctx.Err() == nil; tries++ {
		outcomes, err := l.call(ctx, group)
		if err != nil {
			l.entry.log.Warn().Err(err).Int("writes", len(group)).Msg("entry: the fate of writes to the store is not known")
			certain = false
			pause(ctx, laneRetry)
			continue
		}
		again := l.settle(group, outcomes, certain && tries >= urgentTries && allRefused(outcomes))
		if len(again) == len(group) {
			pause(ctx, laneRetry)
		}
		group = again
	}
}

// call makes one transaction and learns how long the store takes.
func (l *lane) call(ctx context.Context, group []ledger.Write) ([]ledger.Outcome, error) {
	calling, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	began := time.Now()
	outcomes, err := l.entry.deps.Store.WriteJobs(calling, group)
	if err != nil {
		l.timeout = min(2*l.timeout, laneTimeoutMax)
		return nil, err
	}
	l.timeout = min(max(laneTimeouts*time.Since(began), laneTimeoutMin), laneTimeoutMax)
	return outcomes, nil
}

// settle tells what became of writes and returns those to be tried again: after a
// conflict the others of the group, after a refusal all but the urgent ones that
// were tried often enough.
func (l *lane) settle(group []ledger.Write, outcomes []ledger.Outcome, giveUp bool) []ledger.Write {
	var again, told []ledger.Write
	var fates []ledger.Outcome
	for i, w := range group {
		if outcomes[i].Fate == ledger.NotDone && !(giveUp && w.Urgent) {
			again = append(again, w)
			continue
		}
		told = append(told, w)
		fates = append(fates, outcomes[i])
	}
	l.tell(told, fates)
	return again
}

func allRefused(outcomes []ledger.Outcome) bool {
	for _, o := range outcomes {
		if o.Fate != ledger.NotDone {
			return false
		}
	}
	return true
}

func (l *lane) tell(writes []ledger.Write, outcomes []ledger.Outcome) {
	if len(writes) == 0 {
		return
	}
	l.entry.post(func(_ *core.Core, now time.Time) {
		for i, w := range writes {
			l.entry.keeper.ledger.Written(now, w, outcomes[i])
		}
	})
}
