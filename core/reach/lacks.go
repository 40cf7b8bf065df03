// Package reach lets an entry find workers for tasks that none of its linked agents could ever run.
//
// An entry has links to a part of the agents, so none of them may have what a task requires: a label,
// a rack, a service that few workers offer, room for a large task. Such a requirement is a lack of
// the entry. It is about what the workers are, not about their load.
//
//   - The entry that lacks something announces it to the other entries (Lacks).
//   - These ask those of their linked agents whose worker has it (Board).
//   - An agent that is asked links to the entry on demand (Asks). The entry tells on the link for how
//     long it needs the agent; after that the agent releases the link.
//
// All agents that have what is lacked may be many, and each answers for itself. Every agent has a
// score for each entry, and an ask names the highest score that it is meant for. The first ask is
// meant for about firstAnswers agents of the whole deployment, and the bound rises until some agent
// answers. A lack that no worker meets is announced once in full and then repeated ever more rarely.
//
// The package is pure: events and the current time are its input.
package reach

import (
	"iter"
	"math"
	"slices"
	"sort"
	"time"

	"peridotpick.example/common/ordered"
	"peridotpick.example/wire/runs"
)

const (
	// askDelay is the time without a linked worker after which a requirement is announced. Agents whose
	// link broke are back by then.
	askDelay = 250 * time.Millisecond
	// raiseInterval is the time between two raises of the bound by raiseFactor. It is longer than an
	// announcement and a new link take.
	raiseInterval = 300 * time.Millisecond
	raiseFactor   = 4
	// firstAnswers is the number of agents, of the whole deployment, that the first ask is meant for.
	firstAnswers = 8
	// answerTime is the time after an ask of all agents from which nobody is expected to answer.
	answerTime = 500 * time.Millisecond
	// retention is how long a lack is remembered after a task last needed it. Callers that were
	// refused return within that time.
	retention = 10 * time.Second
	// minRepeatInterval and maxRepeatInterval are the limits of the exponential backoff of repeated
	// announcements. A repetition reaches entries that were replaced by another version meanwhile.
	minRepeatInterval = 2 * time.Second
	maxRepeatInterval = 2 * time.Minute
	// maxLacks bounds the lacks that are remembered, maxLabelBytes the labels in announcements. Callers
	// choose the labels; no worker has a longer one.
	maxLacks      = 256
	maxLabelBytes = 256
	// turnTime is how long a lack that nobody answers is announced while others wait for another turn.
	// It doubles with each of the first maxTurnDoublings turns. A lack that has had no turn yet waits
	// only until nobody is expected to answer.
	turnTime         = 3 * time.Second
	maxTurnDoublings = 4
	// crowdedInterval is the shortest time between two changes of the announcement while there are more
	// lacks than it can hold.
	crowdedInterval = time.Second
)

// Lacks are the requirements of one entry's tasks that no worker of its linked agents meets. A lack
// that another one covers is left out: its turn comes when that one is met.
type Lacks struct {
	lacks     ordered.Map[runs.Requirement, *lack]
	announced []runs.Lack
	serial    uint64
	// changedAt is when the bounds were last changed.
	changedAt time.Time
	// repeatAt is when the announcement is repeated, repeatInterval the pause before the next one.
	repeatAt       time.Time
	repeatInterval time.Duration
}

// lack is one requirement that no linked worker meets.
type lack struct {
	since, neededAt time.Time
	// limit is the highest score of the agents that are asked, raised last at raisedAt; 0 while the
	// lack is not announced.
	limit    uint64
	raisedAt time.Time
	// turns counts the times that the lack was announced in full and gave way to others.
	turns int
}

// Surroundings are what an announcement depends on.
type Surroundings struct {
	// IsMet reports whether a linked worker meets a requirement.
	IsMet func(runs.Requirement) bool
	// Agents is the estimated number of agents in the deployment.
	Agents int
	// InContact is set while the entry is in contact with another entry. Without it nobody hears an
	// announcement.
	InContact bool
}

// Len returns the number of lacks.
func (l *Lacks) Len() int { return l.lacks.Len() }

// All iterates over the lacks.
func (l *Lacks) All() iter.Seq[runs.Requirement] {
	return func(yield func(runs.Requirement) bool) {
		for r := range l.lacks.All() {
			if !yield(r) {
				return
			}
		}
	}
}

// Note records that a task needs a requirement that no linked worker meets. It reports whether the
// lack is new.
func (l *Lacks) Note(now time.Time, r runs.Requirement) bool {
	if known := l.lacks.Get(r); known != nil {
		known.neededAt = now
		return false
	}
	if len(r.Label) > maxLabelBytes {
		return false
	}
	for other := range l.lacks.All() {
		if r.Covers(other) {
			return false // no worker meets r as long as none meets the other one
		}
	}
	for other := range l.lacks.All() {
		if other.Covers(r) {
			l.lacks.Delete(other)
		}
	}
	if l.lacks.Len() >= maxLacks && !l.evict() {
		return false
	}
	l.lacks.Put(r, &lack{since: now, neededAt: now})
	return true
}

// evict removes the lack that was announced in vain most often. It reports whether there is one.
func (l *Lacks) evict() bool {
	var victim runs.Requirement
	turns := 0
	for r, known := range l.lacks.All() {
		if known.turns > turns {
			victim, turns = r, known.turns
		}
	}
	if turns > 0 {
		l.lacks.Delete(victim)
	}
	return turns > 0
}

// IsUnanswered reports whether all agents were asked for a requirement, or for one that it covers, and
// none has answered in time.
func (l *Lacks) IsUnanswered(now time.Time, r runs.Requirement) bool {
	for other, known := range l.lacks.All() {
		if r.Covers(other) && known.isUnanswered(now) {
			return true
		}
	}
	return false
}

func (k *lack) isUnanswered(now time.Time) bool {
	return k.turns > 0 || k.limit == math.MaxUint64 && now.Sub(k.raisedAt) >= answerTime
}

// Update forgets the lacks that are met or no longer needed, and decides what is announced.
func (l *Lacks) Update(now time.Time, s Surroundings) {
	for r, known := range l.lacks.All() {
		if now.Sub(known.neededAt) > retention || s.IsMet(r) {
			l.lacks.Delete(r)
		}
	}
	if s.InContact && !(l.isCrowded() && now.Sub(l.changedAt) < crowdedInterval) {
		l.changedAt = now
		l.endTurns(now)
		l.raiseLimits(now, l.candidates(now), s.Agents)
	}
	l.announce(now)
}

// isCrowded reports whether there are more lacks than an announcement can hold.
func (l *Lacks) isCrowded() bool { return l.lacks.Len() > runs.MaxLacks }

// endTurns has lacks that nobody answers give way while others wait.
func (l *Lacks) endTurns(now time.Time) {
	if !l.isCrowded() {
		return
	}
	newWait := l.hasNewWaiting(now)
	for known := range l.lacks.Values() {
		turn := turnTime << min(known.turns, maxTurnDoublings)
		if newWait {
			turn = answerTime
		}
		if known.limit == math.MaxUint64 && now.Sub(known.raisedAt) >= turn {
			known.limit = 0
			known.turns++
		}
	}
}

// hasNewWaiting reports whether a lack that has had no turn yet waits for one.
func (l *Lacks) hasNewWaiting(now time.Time) bool {
	for known := range l.lacks.Values() {
		if known.turns == 0 && known.limit == 0 && now.Sub(known.since) >= askDelay {
			return true
		}
	}
	return false
}

// candidates returns the lacks to announce: those already announced, then those with the fewest turns
// and the longest wait.
func (l *Lacks) candidates(now time.Time) []*lack {
	var list []*lack
	for known := range l.lacks.Values() {
		if known.limit > 0 || now.Sub(known.since) >= askDelay {
			list = append(list, known)
		}
	}
	sort.SliceStable(list, func(i, k int) bool {
		a, b := list[i], list[k]
		if (a.limit > 0) != (b.limit > 0) {
			return a.limit > 0
		}
		if a.turns != b.turns {
			return a.turns < b.turns
		}
		return a.since.Before(b.since)
	})
	return list[:min(len(list), runs.MaxLacks)]
}

// raiseLimits raises the bounds of lacks that nobody has answered for raiseInterval.
func (l *Lacks) raiseLimits(now time.Time, list []*lack, agents int) {
	for _, known := range list {
		switch {
		case known.limit == 0:
			known.limit, known.raisedAt = firstLimit(agents), now
		case known.limit < math.MaxUint64 && now.Sub(known.raisedAt) >= raiseInterval:
			known.raisedAt = now
			if known.limit > math.MaxUint64/raiseFactor {
				known.limit = math.MaxUint64
			} else {
				known.limit *= raiseFactor
			}
		}
	}
}

// firstLimit returns the bound that about firstAnswers of the given number of agents are below.
func firstLimit(agents int) uint64 {
	if agents <= firstAnswers {
		return math.MaxUint64
	}
	return math.MaxUint64 / uint64(agents) * firstAnswers
}

// announce updates the announcement after a change, and repeats one that is due.
func (l *Lacks) announce(now time.Time) {
	var list []runs.Lack
	for r, known := range l.lacks.All() {
		if known.limit > 0 {
			list = append(list, runs.Lack{Requirement: r, Limit: known.limit})
		}
	}
	switch {
	case !slices.Equal(list, l.announced):
		l.announced = list
		l.serial++
		l.repeatInterval = minRepeatInterval
		l.repeatAt = now.Add(l.repeatInterval)
	case len(list) > 0 && !now.Before(l.repeatAt):
		l.serial++
		l.repeatInterval = min(2*l.repeatInterval, maxRepeatInterval)
		l.repeatAt = now.Add(l.repeatInterval)
	}
}

// RepeatSoon has the announcement repeated for an entry that is new.
func (l *Lacks) RepeatSoon(now time.Time) {
	if soon := now.Add(minRepeatInterval / 2); soon.Before(l.repeatAt) {
		l.repeatAt, l.repeatInterval = soon, minRepeatInterval/2
	}
}

// Announcement returns the lacks to announce. The serial rises with each announcement, repeated ones
// included; it is 0 before the first one.
func (l *Lacks) Announcement() (serial uint64, lacks []runs.Lack) { return l.serial, l.announced }
