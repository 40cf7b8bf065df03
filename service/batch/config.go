package batch

import (
	"context"
	"time"

	core "peridotpick.example/core/batch"
)

// storeRetryPause is the pause after a failed call to the store. Meanwhile other entries send the
// configuration.
const storeRetryPause = 300 * time.Millisecond

// sourceStore names the store as the source of the operator state in the log.
const sourceStore = "store"

// followOperator applies each change of the operator state from the store: the configuration and
// the drained data centres.
func (e *Entry) followOperator(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		call, done := e.operatorPolls.begin(ctx)
		update, err := e.deps.Store.NextUpdate(call, e.nextPollWait())
		ended := call.Err() != nil
		done()
		if ended {
			continue // the call was cancelled to start one with a shorter wait
		}
		if err != nil {
			if !failing {
				e.log.Warn().Err(err).Uint64("config", e.configVersion()).Msg("entry: the store does not give the configuration")
			}
			failing = true
			select {
			case <-time.After(storeRetryPause):
			case <-ctx.Done():
			}
			continue
		}
		if failing {
			failing = false
			e.log.Info().Uint64("config", e.configVersion()).Msg("entry: the store gives the configuration again")
		}
		e.updateDrains(update.Drains, sourceStore)
		if update.Document != nil {
			e.adopt(update.Document, sourceStore)
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

// adopt puts a version of the configuration in force, unless the current one is as new or newer.
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
	e.peers.handleConfigChange()
	e.post(func(_ *core.Core, now time.Time) { e.durable.ledger.SetCatalog(now, e.Catalog()) })
}
