package runner

import (
	"context"
	"time"

	"peridotpick.example/core/registry"
	"peridotpick.example/core/subset"
	"peridotpick.example/wire/runs"
)

// Times of looking for entries.
const (
	// searchMin and searchMax bound the pause between two attempts of an agent without
	// links; it doubles from one to the other.
	searchMin = 250 * time.Millisecond
	searchMax = 2 * time.Second
	// registryTimeout bounds one look into the registry.
	registryTimeout = time.Second
	// registryPatience is how long the registry may take before a seed is tried beside it.
	registryPatience = 100 * time.Millisecond
)

// search finds entries for an agent without links. It reads a few rows of the registry from
// a place of its own, so that a fleet that starts at once spreads over all entries; one
// that is found tells of all others. Seeds are few and the same for many agents: they are
// tried one at a time, when the registry does not answer, or lists nobody.
type search struct {
	directory *directory
	attempt   int
	at        time.Time
}

// next makes an attempt if one is due.
func (s *search) next(ctx context.Context) {
	pause := min(searchMin<<min(s.attempt, 8), searchMax)
	if s.attempt > 0 && time.Since(s.at) < pause {
		return
	}
	s.at = time.Now()
	attempt := s.attempt
	s.attempt++
	if !s.ask(ctx, attempt) && attempt > 0 {
		s.trySeed(attempt)
	}
}

// ask reads the registry. It reports whether that has told of entries within a moment; what
// comes later is taken all the same.
func (s *search) ask(ctx context.Context, attempt int) bool {
	found := make(chan bool, 1)
	go func() { found <- s.read(ctx, attempt) }()
	select {
	case f := <-found:
		return f
	case <-time.After(registryPatience):
		s.trySeed(attempt)
		return true
	case <-ctx.Done():
		return true
	}
}

func (s *search) read(ctx context.Context, attempt int) bool {
	d := s.directory
	asking, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	place := registry.SearchPlace(d.agent.settings.Name, attempt)
	rows, err := d.agent.deps.Registry.Entries(asking, place, registry.Few)
	if err != nil {
		d.agent.log.Warn().Err(err).Msg("agent: the registry of entries does not answer")
		return false
	}
	entries := make([]runs.Entry, 0, len(rows))
	for _, r := range rows {
		entries = append(entries, r.Entry)
	}
	d.learn(entries)
	return len(entries) > 0
}

// trySeed takes one seed among the entries to link to.
func (s *search) trySeed(attempt int) {
	seeds := subset.Ranked(s.directory.agent.settings.Name, s.directory.agent.settings.Seeds)
	if len(seeds) > 0 {
		s.directory.learn([]runs.Entry{{Address: seeds[attempt%len(seeds)]}})
	}
}
