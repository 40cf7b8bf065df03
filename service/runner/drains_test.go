package runner

import (
	"testing"
	"time"

	"peridotpick.example/wire/runs"
)

// TestAgentAsksTheStoreItself: while no entry vouches for what it knows of drains.
func TestAgentAsksTheStoreItself(t *testing.T) {
	a, _ := fleetOf(t, 1) // an entry that says nothing of drains
	registry := a.deps.Registry.(*standInRegistry)
	registry.mu.Lock()
	registry.drains = runs.Drains{Version: 3, DataCentres: []string{"d"}, Age: time.Millisecond}
	registry.mu.Unlock()
	await(t, "the store's word did not come", func() bool { return len(a.drains.dataCentres()) == 1 })
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.drainsAsked > 2 {
		t.Errorf("asked %d times", registry.drainsAsked)
	}
}
