package platformstandin

import (
	"context"
	"sync"

	"peridotpick.example/common/table"
)

// Objects is the fake object store. It is safe for concurrent use.
type Objects struct {
	mu    sync.Mutex
	items map[string][]byte
	down  bool
}

// NewObjects returns an empty store.
func NewObjects() *Objects { return &Objects{items: make(map[string][]byte)} }

// SetDown begins or ends an outage, during which every request fails without effect.
func (o *Objects) SetDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

// Put implements table.ObjectStore.
func (o *Objects) Put(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return errConnectionLost
	}
	o.items[name] = data
	return nil
}

// Get implements table.ObjectStore.
func (o *Objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, errConnectionLost
	}
	data, ok := o.items[name]
	if !ok {
		return nil, table.ErrNotFound
	}
	return data, nil
}

// Delete implements table.ObjectStore.
func (o *Objects) Delete(_ context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return errConnectionLost
	}
	delete(o.items, name)
	return nil
}
