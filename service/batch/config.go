package batch

import (
	"context"
	"time"
)

// configRetry is the pause after a failed look at the store; others pass the
// configuration on meanwhile.
const configRetry = 300 * time.Millisecond

// fromStore names the store as the source of the operator's wishes in the log.
const fromStore = "store"

// followOperator takes each new version of the configuration, and the drained data
// centres, from the store.
func (e *Entry) followOperator(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		call, done := e.waits.begin(ctx)
		update, err := e.deps.Store.NextUpdate(call, e.storeWait())
		ended := call.Err() != nil
		done()
		if ended {
			continue // to wait for a shorter time
		}
		if err != nil {
			if !failing {
				e.log.Warn().Err(err).Uint64("config", e.configVersion()).Msg("entry: the store does not give the configuration")
			}
			failing = true
			select {
			case <-time.After(configRetry):
			case <-ctx.Done():
			}
			continue
		}
		if failing {
			failing = false
			e.log.Info().Uint64("config", e.configVersion()).Msg("entry: the store gives the configuration again")
		}
		e.learnDrains(update.Drains, fromStore)
		if update.Document != nil {
			e.adopt(update.Document, fromStore)
		}
	}
	return nil
}

func (e *Entry) configVersion() uint64 {
	if c := e.Catalog(); c != nil {
		return c.Version
	}
	return 0
}

// adopt puts a version in force unless one as new is. It never goes back.
func (e *Entry) adopt(doc *Document, from string) {
	for {
		old := e.config.Load()
		if old != nil && old.Catalog.Version >= doc.Catalog.Version {
			return
		}
		if e.config.CompareAndSwap(old, doc) {
			break
		}
	}
	e.log.Info().Uint64("config", doc.Catalog.Version).Str("from", from).Msg("entry: configuration in force")
	e.peers.configChanged()
}
