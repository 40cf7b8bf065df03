package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"peridotpick.example/common/ordered"
	"peridotpick.example/wire/runs"
)

// Callers share what can be served in a max-min fair way by work: there is a level of work a second up
// to which the demand of each caller is served. A caller that asks for less than the level is not
// refused for the sake of others, and one that asks for ten times as much gets no more than the level.
//
// A caller submits its jobs to few entries. If each entry shared only among its own callers, a greedy
// caller would get the share of the other callers at its entry. So entries tell each other their
// levels, and each applies the mean. An entry without contact applies its own.

const (
	// maxCallers is the number of callers with a share of their own; the others share one.
	maxCallers = 256
	// waitExponent makes a caller that is a fifth above the level wait for half as long as others.
	waitExponent = 4
	// shortageShare is the share of offered work that is lost from which on resources count as short.
	// A few jobs are refused for other causes.
	shortageShare = 0.02
	// maxLevelAge is the age up to which the level of another entry counts: two messages may be lost.
	maxLevelAge = 1500 * time.Millisecond
	// remainingCallers is the name under which callers beyond maxCallers are counted.
	remainingCallers = "*"
)

// shares tracks the callers of a service.
type shares struct {
	callers ordered.Map[string, *demand]
	// levels are the levels of other entries, by their address.
	levels ordered.Map[string, *foreignLevel]
	// ownLevel is the level among the callers here as of levelAt; infinite without a shortage.
	ownLevel float64
	levelAt  time.Time
}

// demand is the work of one caller, in thousandths of a core-second, as decaying sums that are valid
// as of updatedAt.
type demand struct {
	offered, lost float64
	updatedAt     time.Time
}

func (d *demand) served() float64 { return max(d.offered-d.lost, 0) }

// foreignLevel is the level of another entry.
type foreignLevel struct {
	level float64
	at    time.Time
}

// levelInterval is the shortest time between two computations of the level.
const levelInterval = 50 * time.Millisecond

func newShares() *shares {
	return &shares{ownLevel: math.Inf(1)}
}

// demand returns the demand of a caller as of the given time.
func (s *shares) demand(now time.Time, caller string) *demand {
	d := s.callers.Get(caller)
	if d == nil && s.callers.Len() >= maxCallers {
		s.forgetSilent(now)
		if s.callers.Len() >= maxCallers {
			caller = remainingCallers
			d = s.callers.Get(caller)
		}
	}
	if d == nil {
		d = &demand{updatedAt: now}
		s.callers.Put(caller, d)
	}
	d.decay(now)
	return d
}

func (d *demand) decay(now time.Time) {
	rest := math.Exp2(-now.Sub(d.updatedAt).Seconds() / halfLife.Seconds())
	d.offered *= rest
	d.lost *= rest
	d.updatedAt = now
}

// forgetSilent removes the callers without recent demand.
func (s *shares) forgetSilent(now time.Time) {
	for name, d := range s.callers.All() {
		if d.decay(now); d.offered < activeWork {
			s.callers.Delete(name)
		}
	}
}

// updateLevel computes the level among the callers here.
func (s *shares) updateLevel(now time.Time) {
	if now.Sub(s.levelAt) < levelInterval {
		return
	}
	s.levelAt = now
	demands := make([]*demand, 0, s.callers.Len())
	offered, served := 0.0, 0.0
	for d := range s.callers.Values() {
		d.decay(now)
		demands = append(demands, d)
		offered, served = offered+d.offered, served+d.served()
	}
	s.ownLevel = math.Inf(1)
	if offered-served <= shortageShare*(offered+priorWork) {
		return
	}
	s.ownLevel = waterLevel(demands, served)
}

// waterLevel returns the level at which the demands up to it add up to the served work.
func waterLevel(demands []*demand, served float64) float64 {
	slices.SortFunc(demands, func(a, b *demand) int { return cmp.Compare(a.offered, b.offered) })
	rest := served
	for i, d := range demands {
		share := rest / float64(len(demands)-i)
		if d.offered >= share {
			return share
		}
		rest -= d.offered
	}
	return math.Inf(1)
}

// level returns the level that applies: the mean of those of the entries with a shortage, infinite if
// there is none.
func (s *shares) level(now time.Time) float64 {
	s.updateLevel(now)
	sum, count := 0.0, 0.0
	if !math.IsInf(s.ownLevel, 1) {
		sum, count = s.ownLevel, 1
	}
	for address, l := range s.levels.All() {
		if now.Sub(l.at) > maxLevelAge {
			s.levels.Delete(address)
			continue
		}
		sum, count = sum+l.level, count+1
	}
	if count == 0 {
		return math.Inf(1)
	}
	return sum / count
}

// waitFactor returns the permitted wait of a caller's jobs relative to that of callers up to the level.
// It falls steeply above the level, so that such callers stop to get anything before others have to be
// refused, and still get what others leave.
func (s *shares) waitFactor(now time.Time, caller string) float64 {
	served := s.demand(now, caller).served()
	level := s.level(now)
	if served <= level {
		return 1
	}
	return math.Pow(level/served, waitExponent)
}

// Levels returns the own levels of the services with a shortage, sorted by service.
func (g *Gate) Levels(now time.Time) []runs.Level {
	var list []runs.Level
	for service, s := range g.shares {
		if s.updateLevel(now); !math.IsInf(s.ownLevel, 1) {
			list = append(list, runs.Level{Service: service, Work: s.ownLevel})
		}
	}
	slices.SortFunc(list, func(a, b runs.Level) int { return cmp.Compare(a.Service, b.Service) })
	return list[:min(len(list), runs.MaxLevels)]
}

// maxEntries is the number of other entries whose levels are kept. An entry exchanges messages with a
// few of them only.
const maxEntries = 64

// MergeLevels records the levels of another entry.
func (g *Gate) MergeLevels(now time.Time, entry string, levels []runs.Level) {
	for _, l := range levels[:min(len(levels), runs.MaxLevels)] {
		s := g.sharesOf(l.Service)
		if s.levels.Has(entry) || s.levels.Len() < maxEntries {
			s.levels.Put(entry, &foreignLevel{l.Work, now})
		}
	}
}

// sharesOf returns the shares of a service.
func (g *Gate) sharesOf(service string) *shares {
	s := g.shares[service]
	if s == nil {
		s = newShares()
		g.shares[service] = s
	}
	return s
}

// KnownLevels returns the number of other entries whose level of a service is known.
func (g *Gate) KnownLevels(service string) int { return g.sharesOf(service).levels.Len() }
