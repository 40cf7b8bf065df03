package batch

import (
	"sync"
	"time"
)

// asking decides when an entry asks another one for the configuration. All of them
// hear of a new version at once, and nearly all get it from the store: passing a
// large document on unasked would send it to each entry from every other one.
//
// A document is asked for part by part. Over a narrow link it takes seconds: the beats
// between the entries go on between its parts, it ends as soon as the store brings the
// document itself, and another entry goes on where the one that was asked has stopped.
type asking struct {
	mu sync.Mutex
	// version is that of the document of which part has come, empty if none has.
	version uint64
	part    []byte
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

// partSize is the size of a part of a document, in bytes: 130 ms over a link of
// 2 Mbit/s, the narrowest of the users', which is well below the silence after which an
// exchange counts as lost.
const partSize = 32 << 10

// ask reports whether to ask an entry that has another version for its document, and
// from which byte on. While the store's answer arrives a second copy would only slow it down.
func (a *asking) ask(now time.Time, own, theirs uint64, arriving bool) (want bool, from int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.due(now, own, theirs) || arriving {
		return false, 0
	}
	a.askedAt = now
	if a.version != theirs {
		a.version, a.part = theirs, nil
	}
	return true, len(a.part)
}

func (a *asking) due(now time.Time, own, theirs uint64) bool {
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
	return now.Sub(a.behindSince) >= patience && now.Sub(a.askedAt) >= askAgain
}

// took adds a part of a document. It returns the document once that is whole.
func (a *asking) took(version uint64, from, size int, part []byte) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version != a.version || from != len(a.part) || len(part) == 0 {
		return nil // of another version, or a repeated one
	}
	a.part = append(a.part, part...)
	a.askedAt = time.Time{} // the next part may be asked for
	if len(a.part) < size {
		return nil
	}
	whole := a.part
	a.version, a.part = 0, nil
	return whole
}

// adopted notes that a version was put in force.
func (a *asking) adopted() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.behindSince = time.Time{}
	a.askedAt = time.Time{}
	a.version, a.part = 0, nil
}
