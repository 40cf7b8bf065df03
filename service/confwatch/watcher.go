package confwatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peridotpick.example/common/config"
)

// Intervals and timeouts of polling.
const (
	// pollInterval is the pause between polls of the number of the version in force.
	pollInterval = 1500 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
	// maxPropagationTime is the time within which an accepted version is in force at all entries.
	// An entry that could not confirm its version for that long serves repeatable calls only, since
	// these do no harm even if a later version forbids them.
	maxPropagationTime = 6 * time.Second
)

// Watcher polls the configuration and holds the newest version known to this process.
// lastConfirmed is the Unix time in nanoseconds at which that version was last known to be in force.
type Watcher struct {
	store           *Store
	log             zerolog.Logger
	current         atomic.Pointer[config.CompiledDocument]
	lastConfirmed   atomic.Int64
	apply           func(*config.CompiledDocument)
	reportReachable func(bool)
}

// NewWatcher returns a watcher without a version. apply is called with each newer version, and
// reachable after each poll with whether the table service answered, both from Run's goroutine.
func NewWatcher(store *Store, log zerolog.Logger, apply func(*config.CompiledDocument), reachable func(bool)) *Watcher {
	return &Watcher{store: store, log: log, apply: apply, reportReachable: reachable}
}

// Current returns the version in force here, or nil if none was read yet. A process without a
// version refuses all work.
func (w *Watcher) Current() *config.CompiledDocument { return w.current.Load() }

// IsConfirmed reports whether the version was confirmed within maxPropagationTime before now.
func (w *Watcher) IsConfirmed(now time.Time) bool {
	return now.Sub(time.Unix(0, w.lastConfirmed.Load())) <= maxPropagationTime
}

// Run polls the configuration until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		w.poll(ctx)
		sleep(ctx, pollInterval)
	}
	return nil
}

// poll reads the number of the version in force, and the version itself if it is a new one.
func (w *Watcher) poll(ctx context.Context) {
	requestedAt := time.Now() // the version is confirmed as of a time before the request
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	head, err := w.store.Head(ctx)
	w.reportReachable(err == nil)
	if err != nil {
		w.log.Warn().Err(err).Msg("config: the table service does not answer")
		return
	}
	if current := w.current.Load(); current != nil && head == current.Version {
		w.lastConfirmed.Store(requestedAt.UnixNano())
		return
	}
	version, _, err := w.store.Current(ctx)
	if err != nil {
		w.log.Warn().Err(err).Msg("config: the new version could not be read")
		return
	}
	w.update(version, requestedAt)
}

// update puts a version in force here if it is newer than the current one. The version was in force
// in the table service at some time not before requestedAt.
func (w *Watcher) update(version *config.Version, requestedAt time.Time) {
	if version == nil {
		return
	}
	current := w.current.Load()
	if current == nil || version.Number > current.Version {
		compiled, err := config.Parse(version.Document)
		if err != nil {
			w.log.Error().Uint64("version", version.Number).Err(err).Msg("config: version cannot be used")
			return
		}
		compiled.Version = version.Number
		w.current.Store(compiled)
		w.log.Info().Uint64("version", version.Number).Str("author", version.Author).Msg("config: version in force")
		w.apply(compiled)
	}
	if current == nil || version.Number >= current.Version {
		w.lastConfirmed.Store(requestedAt.UnixNano())
	}
}
