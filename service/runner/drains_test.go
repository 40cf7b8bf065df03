package runner

import (
	"testing"
	"time"

	"peridotpick.example/wire/runs"
)

// TestAgentReadsDrainsFromStoreIfNoEntryConfirmsThem checks that the agent reads the drained data
// centres from the store while its entries send no drain view, and that it does not read them more
// often than once a second.
func TestAgentReadsDrainsFromStoreIfNoEntryConfirmsThem(t *testing.T) {
	a, _ := startFleet(t, 1) // the entry sends no drain view
	registry := a.deps.Registry.(*fakeRegistry)
	registry.mu.Lock()
	registry.drains = runs.DrainView{Version: 3, DataCentres: []string{"d"}, Age: time.Millisecond}
	registry.mu.Unlock()
	waitFor(t, "the drain view of the store is not in use", func() bool { return len(a.sharedDrains.dataCentres()) == 1 })
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.drainsCalls > 2 {
		t.Errorf("the store was read %d times, want at most 2", registry.drainsCalls)
	}
}
