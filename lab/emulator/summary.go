package emulator

import (
	"math"
	"sort"
	"time"
)

// lateBound times its objective is until when an answer is of use.
const lateBound = 3

// window is the length of the windows of which the worst count.
const window = 2 * time.Second

// Count is what became of a number of jobs.
type Count struct {
	Jobs int `json:"jobs"`
	// InTime ended within their objective, Late within three times of it.
	InTime  int `json:"inTime"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	// Failed are those that got no answer of use.
	Failed int `json:"failed"`
	// Credit is the part of the worth owed that was earned.
	Credit       float64 `json:"credit"`
	earned, owed float64
}

// Summary is what a play gave.
type Summary struct {
	Seed uint64 `json:"seed"`
	Count
	// Worth is the mark by the deployment's goal, Bound the credit that perfect
	// knowledge could earn at most.
	Worth float64 `json:"worth"`
	Bound float64 `json:"bound"`
	// Nines, Worst and WorstKind are parts of the mark.
	Nines     float64 `json:"nines"`
	Worst     float64 `json:"worstWindows"`
	WorstKind float64 `json:"worstKind"`
	// Held is the part of the worth owed whose callers were held up for nothing; it is
	// taken off the mark.
	Held float64 `json:"held"`
	// Wasted is the share of the work that was done in vain.
	Wasted  float64    `json:"wasted"`
	Kinds   []Named    `json:"kinds"`
	Centres []Named    `json:"dataCentres"`
	Windows []Windowed `json:"windows"`
	Broken  []string   `json:"broken,omitempty"`
}

// Named is the count of a kind or a data centre.
type Named struct {
	Name string `json:"name"`
	Count
}

// Windowed is the count of the jobs sent in a window.
type Windowed struct {
	// From is in seconds from the first job.
	From float64 `json:"from"`
	// Busy is the share of the sound workers' room that runs took.
	Busy float64 `json:"busy"`
	Count
}

// add counts a job.
func (c *Count) add(r *record) {
	c.Jobs++
	c.owed += r.worth
	took := r.ended - r.sent
	switch {
	case r.fate == fateServed && took <= r.objective:
		c.InTime++
		c.earned += r.worth
	case r.fate == fateServed && took <= lateBound*r.objective:
		c.Late++
		c.earned += r.late
	case r.fate == fateRefused:
		c.Refused++
	default:
		c.Failed++
	}
	if c.owed > 0 {
		c.Credit = c.earned / c.owed
	}
}

// unserved returns the share of jobs that got nothing of use.
func (c *Count) unserved() float64 {
	return float64(c.Refused+c.Failed) / math.Max(float64(c.Jobs), 1)
}

// Summarize counts what became of the jobs of a play.
func (r *Result) Summarize() Summary {
	s := Summary{Seed: r.Seed, Bound: r.boundOf(), Broken: r.Broken}
	for _, k := range r.deployment.Kinds {
		s.Kinds = append(s.Kinds, Named{Name: k.Name})
	}
	for _, c := range r.deployment.DataCentres {
		s.Centres = append(s.Centres, Named{Name: c.Name})
	}
	for from := time.Duration(0); from < r.scenario.Duration.Std(); from += window {
		s.Windows = append(s.Windows, Windowed{From: from.Seconds()})
	}
	held := 0.0
	for _, j := range r.tally.records {
		s.add(j)
		if j.held() {
			held += j.worth
		}
		s.Kinds[j.kind].add(j)
		s.Centres[j.centre].add(j)
		s.Windows[min(int((j.sent-warmUp)/window), len(s.Windows)-1)].add(j)
	}
	for i := range s.Windows {
		s.Windows[i].Busy = r.busy(warmUp + time.Duration(i)*window)
	}
	if s.owed > 0 {
		s.Held = held / s.owed
	}
	if work := r.tally.done + r.tally.wasted; work > 0 {
		s.Wasted = r.tally.wasted / work
	}
	s.mark(r.deployment.Goal)
	return s
}

// busy returns the share of the sound room that was used in a window.
func (r *Result) busy(from time.Duration) float64 {
	first, last := int(from/slot), min(int((from+window)/slot), len(r.sound))
	sound, used := 0.0, 0.0
	for i := first; i < last; i++ {
		sound, used = sound+r.sound[i], used+r.used[i]
	}
	if sound == 0 {
		return 0
	}
	return used / sound
}

// mark weighs the parts by a goal.
func (s *Summary) mark(g Goal) {
	s.Nines = nines(s.unserved(), g.NinesBest)
	s.Worst = worstWindows(s.Windows)
	s.WorstKind = worst(s.Kinds)
	s.Worth = g.Whole*s.Credit + g.Nines*s.Nines + g.Windows*s.Worst + g.Kind*s.WorstKind +
		g.DataCentre*worst(s.Centres) - g.Waste*s.Wasted - s.Held
}

// nines puts the share not served on a logarithmic scale: 0 if nothing is served,
// 1 at the share that counts as perfect.
func nines(unserved, best float64) float64 {
	if best <= 0 {
		return 0
	}
	return math.Min(math.Log(math.Max(unserved, best))/math.Log(best), 1)
}

func worst(list []Named) float64 {
	least := 1.0
	for i := range list {
		if list[i].Jobs > 0 {
			least = math.Min(least, list[i].Credit)
		}
	}
	return least
}

// countedWindows is how many of the worst windows count.
const countedWindows = 2

func worstWindows(list []Windowed) float64 {
	var credits []float64
	for i := range list {
		if list[i].Jobs > 0 {
			credits = append(credits, list[i].Credit)
		}
	}
	sort.Float64s(credits)
	n := min(countedWindows, len(credits))
	if n == 0 {
		return 1
	}
	sum := 0.0
	for _, c := range credits[:n] {
		sum += c
	}
	return sum / float64(n)
}
