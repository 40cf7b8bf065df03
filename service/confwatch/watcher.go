package confwatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peridotpick.example/common/config"
)

// Times of following the configuration.
const (
	// PollEvery is the pause between looks at the current version.
	PollEvery = 1500 * time.Millisecond
	// pollTimeout bounds one look.
	pollTimeout = time.Second
	// InForceWithin is the time in which an accepted version is in force
	// everywhere. A process that could not confirm its version for that long
	// does only what no later version could forbid without harm: it serves
	// repeatable calls.
	InForceWithin = 6 * time.Second
)

// Watcher holds the newest version known to this process.
type Watcher struct {
	store     *Store
	log       zerolog.Logger
	current   atomic.Pointer[config.Compiled]
	confirmed atomic.Int64
	apply     func(*config.Compiled)
	reachable func(bool)
}

// NewWatcher returns a watcher without a version. apply is called with each
// newer version, and reachable with whether the table service answered, both
// from Run's goroutine.
func NewWatcher(store *Store, log zerolog.Logger, apply func(*config.Compiled), reachable func(bool)) *Watcher {
	return &Watcher{store: store, log: log, apply: apply, reachable: reachable}
}

// Current returns the version in force here, or nil if none was ever read: a
// process without one refuses all work.
func (w *Watcher) Current() *config.Compiled { return w.current.Load() }

// Fresh reports whether the version was confirmed recently enough to be the
// one in force.
func (w *Watcher) Fresh(now time.Time) bool {
	return now.Sub(time.Unix(0, w.confirmed.Load())) <= InForceWithin
}

// Run follows the configuration until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		w.Poll(ctx)
		pause(ctx, PollEvery)
	}
	return nil
}

// Poll looks once.
func (w *Watcher) Poll(ctx context.Context) {
	asked := time.Now() // freshness counts from before the question
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	head, err := w.store.Head(ctx)
	w.reachable(err == nil)
	if err != nil {
		w.log.Warn().Err(err).Msg("config: the table service does not answer")
		return
	}
	if have := w.current.Load(); have != nil && head == have.Version {
		w.confirmed.Store(asked.UnixNano())
		return
	}
	version, _, err := w.store.Current(ctx)
	if err != nil {
		w.log.Warn().Err(err).Msg("config: the new version could not be read")
		return
	}
	w.offer(version, asked)
}

// offer takes a version that was in force at some time not before asked.
func (w *Watcher) offer(version *config.Version, asked time.Time) {
	if version == nil {
		return
	}
	have := w.current.Load()
	if have == nil || version.Number > have.Version {
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
	if have == nil || version.Number >= have.Version {
		w.confirmed.Store(asked.UnixNano())
	}
}
