package batch

import (
	"sync"
	"time"
)

// asking decides when an entry asks another one for the configuration. All of them
// hear of a new version at once, and nearly all get it from the store: passing a
// large document on unasked would send it to each entry from every other one.
type asking struct {
	mu sync.Mutex
	// behindSince is when a newer version was first heard of; zero if none was.
	behindSince time.Time
	// askedAt is when an entry was asked last.
	askedAt time.Time
}

// Times of asking; together they stay below the bound for a new configuration.
const (
	// storeFirst is the time that the store is given to bring a new version itself.
	storeFirst = 250 * time.Millisecond
	// askAgain is the time after which another entry is asked.
	askAgain = 600 * time.Millisecond
)

// ask reports whether to ask an entry that has another version for its document.
func (a *asking) ask(now time.Time, own, theirs uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if theirs <= own {
		return false
	}
	if a.behindSince.IsZero() {
		a.behindSince = now
	}
	patience := storeFirst
	if own == 0 {
		patience = 0 // without any configuration nothing can be served
	}
	if now.Sub(a.behindSince) < patience || now.Sub(a.askedAt) < askAgain {
		return false
	}
	a.askedAt = now
	return true
}

// adopted notes that a version was put in force.
func (a *asking) adopted() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.behindSince = time.Time{}
	a.askedAt = time.Time{}
}
