package batch

import (
	"sync"
	"time"
)

// configFetch decides when an entry requests the configuration from another entry. All entries hear
// of a new version at once, and nearly all of them get it from the store. If entries sent it
// unasked, each would get a large document from every neighbour.
//
// A document is requested chunk by chunk, because over a slow link it takes seconds. Regular
// messages of the exchange are sent between the chunks, the transfer stops as soon as the store
// delivers the document, and any other entry can continue it where the previous one has stopped.
type configFetch struct {
	mu sync.Mutex
	// version is the version that is being fetched, received its first chunks; 0 if there is none.
	version  uint64
	received []byte
	// behindSince is when this entry first heard of a newer version than its own; zero if it has
	// the newest.
	behindSince time.Time
	// requestedAt is when another entry was last asked.
	requestedAt time.Time
}

// Delays of requests. Their sum is below the time in which a new configuration must be in force.
const (
	// storeHeadStart is the time that the store has to deliver a new version before other entries
	// are asked.
	storeHeadStart = 250 * time.Millisecond
	// requestTimeout is the time after which the next entry is asked.
	requestTimeout = 600 * time.Millisecond
)

// chunkSize is the size of a chunk in bytes. A chunk takes 130 ms over a link of 2 Mbit/s, the
// slowest in use, which is well below exchangeTimeout.
const chunkSize = 32 << 10

// request reports whether to ask an entry that has version remoteVersion for its configuration, and
// from which byte on. Nothing is requested while the store is delivering a document, since a second
// copy would slow it down.
func (f *configFetch) request(now time.Time, ownVersion, remoteVersion uint64, arriving bool) (want bool, from int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isDue(now, ownVersion, remoteVersion) || arriving {
		return false, 0
	}
	f.requestedAt = now
	if f.version != remoteVersion {
		f.version, f.received = remoteVersion, nil
	}
	return true, len(f.received)
}

// isDue reports whether another entry may be asked for remoteVersion: the store has had its head
// start, and no request is outstanding.
func (f *configFetch) isDue(now time.Time, ownVersion, remoteVersion uint64) bool {
	if remoteVersion <= ownVersion {
		return false
	}
	if f.behindSince.IsZero() {
		f.behindSince = now
	}
	delay := storeHeadStart
	if ownVersion == 0 {
		delay = 0 // nothing can be served without a configuration
	}
	return now.Sub(f.behindSince) >= delay && now.Sub(f.requestedAt) >= requestTimeout
}

// addChunk adds a chunk, which starts at byte from of a document of size bytes. It returns the
// document once it is complete, and nil before.
func (f *configFetch) addChunk(version uint64, from, size int, chunk []byte) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version != f.version || from != len(f.received) || len(chunk) == 0 {
		return nil // of another version, or a repeated one
	}
	f.received = append(f.received, chunk...)
	f.requestedAt = time.Time{} // the next chunk may be requested at once
	if len(f.received) < size {
		return nil
	}
	complete := f.received
	f.version, f.received = 0, nil
	return complete
}

// reset forgets the transfer, because a new version is in force.
func (f *configFetch) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behindSince = time.Time{}
	f.requestedAt = time.Time{}
	f.version, f.received = 0, nil
}
