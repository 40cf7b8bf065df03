package runner

import (
	"context"
	"time"

	"peridotpick.example/core/registry"
	"peridotpick.example/core/subset"
	"peridotpick.example/wire/runs"
)

// Timing of the search for entries.
const (
	// searchMinDelay and searchMaxDelay are the limits of the exponential backoff between two
	// attempts.
	searchMinDelay = 250 * time.Millisecond
	searchMaxDelay = 2 * time.Second
	// registryTimeout is the time limit of one call to the registry.
	registryTimeout = time.Second
	// seedFallbackDelay is how long the registry may take before a seed is tried as well.
	seedFallbackDelay = 100 * time.Millisecond
)

// search finds entries for an agent without links. It reads a few rows of the registry, beginning
// at a ring position that differs between agents, so that agents that start at the same time
// spread over all entries. An entry that is found lists all others. Seeds are few and the same for
// many agents; they are tried one at a time, and only if the registry does not answer or lists no
// entry.
type search struct {
	directory *directory
	// attempt counts the attempts since the agent last had a link.
	attempt     int
	lastAttempt time.Time
}

// tryNext makes an attempt to find entries if one is due.
func (s *search) tryNext(ctx context.Context) {
	pause := min(searchMinDelay<<min(s.attempt, 8), searchMaxDelay)
	if s.attempt > 0 && time.Since(s.lastAttempt) < pause {
		return
	}
	s.lastAttempt = time.Now()
	attempt := s.attempt
	s.attempt++
	if !s.queryRegistry(ctx, attempt) && attempt > 0 {
		s.trySeed(attempt)
	}
}

// queryRegistry reads entries from the registry. It reports whether no seed needs to be tried: the
// registry has listed entries, a seed was tried after seedFallbackDelay, or ctx has ended. Entries
// that the registry returns after the delay are used as well.
func (s *search) queryRegistry(ctx context.Context, attempt int) bool {
	found := make(chan bool, 1)
	go func() { found <- s.readRegistry(ctx, attempt) }()
	select {
	case f := <-found:
		return f
	case <-time.After(seedFallbackDelay):
		s.trySeed(attempt)
		return true
	case <-ctx.Done():
		return true
	}
}

// readRegistry adds entries from the registry to the directory and reports whether there were any.
func (s *search) readRegistry(ctx context.Context, attempt int) bool {
	d := s.directory
	readCtx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	position := registry.SearchPosition(d.agent.settings.Name, attempt)
	rows, err := d.agent.deps.Registry.Entries(readCtx, position, registry.AgentReadLimit)
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

// trySeed adds one seed to the directory. Successive attempts go through the seeds by their rank.
func (s *search) trySeed(attempt int) {
	seeds := subset.RankAddresses(s.directory.agent.settings.Name, s.directory.agent.settings.Seeds)
	if len(seeds) > 0 {
		s.directory.learn([]runs.Entry{{Address: seeds[attempt%len(seeds)]}})
	}
}
