package emulator

import (
	"math"
	"sort"
	"time"
)

// lateFactor times its objective is the time after which the answer to a job is useless.
const lateFactor = 3

// windowLength is the length of the windows, the worst of which count towards the score.
const windowLength = 2 * time.Second

// Count counts jobs by their outcome.
type Count struct {
	Jobs int `json:"jobs"`
	// InTime ended within their objective, Late within lateFactor times the objective.
	InTime  int `json:"inTime"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	// Failed are all others: failed, unanswered, or ended too late to be useful.
	Failed int `json:"failed"`
	// Credit is the share of the jobs' total worth that was earned.
	Credit float64 `json:"credit"`
	// earnedWorth is the worth that the jobs earned, totalWorth what they would have earned if all had
	// ended within their objective.
	earnedWorth, totalWorth float64
}

// Summary has the job counts, the score and the violations of a trial.
type Summary struct {
	Seed uint64 `json:"seed"`
	Count
	// Score is the score by the deployment's goal, Bound an upper bound of the credit that holds
	// even for a policy with perfect knowledge.
	Score float64 `json:"worth"`
	Bound float64 `json:"bound"`
	// Nines, WorstWindows and WorstKind are components of the score.
	Nines        float64 `json:"nines"`
	WorstWindows float64 `json:"worstWindows"`
	WorstKind    float64 `json:"worstKind"`
	// VainWait is the share of the total worth whose callers waited in vain (see waitedInVain); it
	// is subtracted from the score.
	VainWait float64 `json:"held"`
	// Wasted is the share of all work that was done by runs that did not end as done.
	Wasted      float64       `json:"wasted"`
	Kinds       []NamedCount  `json:"kinds"`
	DataCentres []NamedCount  `json:"dataCentres"`
	Windows     []WindowCount `json:"windows"`
	Violations  []string      `json:"broken,omitempty"`
}

// NamedCount is the count of a kind or a data centre.
type NamedCount struct {
	Name string `json:"name"`
	Count
}

// WindowCount is the count of the jobs submitted within a window.
type WindowCount struct {
	// StartSeconds is the time from the start of the load.
	StartSeconds float64 `json:"from"`
	// Utilization is the share of the healthy workers' CPU that runs used.
	Utilization float64 `json:"busy"`
	Count
}

func (c *Count) add(r *jobRecord) {
	c.Jobs++
	c.totalWorth += r.worth
	took := r.ended - r.sent
	switch {
	case r.outcome == outcomeServed && took <= r.objective:
		c.InTime++
		c.earnedWorth += r.worth
	case r.outcome == outcomeServed && took <= lateFactor*r.objective:
		c.Late++
		c.earnedWorth += r.lateWorth
	case r.outcome == outcomeRefused:
		c.Refused++
	default:
		c.Failed++
	}
	if c.totalWorth > 0 {
		c.Credit = c.earnedWorth / c.totalWorth
	}
}

// unserved returns the share of jobs without a useful answer.
func (c *Count) unserved() float64 {
	return float64(c.Refused+c.Failed) / math.Max(float64(c.Jobs), 1)
}

// Summarize counts the jobs of a trial by outcome and computes its score.
func (r *TrialResult) Summarize() Summary {
	s := Summary{Seed: r.Seed, Bound: r.creditBound(), Violations: r.Violations}
	for _, k := range r.deployment.Kinds {
		s.Kinds = append(s.Kinds, NamedCount{Name: k.Name})
	}
	for _, c := range r.deployment.DataCentres {
		s.DataCentres = append(s.DataCentres, NamedCount{Name: c.Name})
	}
	for from := time.Duration(0); from < r.scenario.Duration.Std(); from += windowLength {
		s.Windows = append(s.Windows, WindowCount{StartSeconds: from.Seconds()})
	}
	vainWait := 0.0
	for _, j := range r.stats.records {
		s.add(j)
		if j.waitedInVain() {
			vainWait += j.worth
		}
		s.Kinds[j.kind].add(j)
		s.DataCentres[j.dataCentre].add(j)
		s.Windows[min(int((j.sent-warmUp)/windowLength), len(s.Windows)-1)].add(j)
	}
	for i := range s.Windows {
		s.Windows[i].Utilization = r.utilization(warmUp + time.Duration(i)*windowLength)
	}
	if s.totalWorth > 0 {
		s.VainWait = vainWait / s.totalWorth
	}
	if work := r.stats.doneWork + r.stats.wastedWork; work > 0 {
		s.Wasted = r.stats.wastedWork / work
	}
	s.computeScore(r.deployment.Goal)
	return s
}

// utilization returns the share of the healthy workers' CPU that runs used within a window.
func (r *TrialResult) utilization(from time.Duration) float64 {
	first, last := int(from/slotLength), min(int((from+windowLength)/slotLength), len(r.healthyCores))
	healthy, used := 0.0, 0.0
	for i := first; i < last; i++ {
		healthy, used = healthy+r.healthyCores[i], used+r.usedCores[i]
	}
	if healthy == 0 {
		return 0
	}
	return used / healthy
}

// computeScore sets the score and its components, weighted by a goal.
func (s *Summary) computeScore(g Goal) {
	s.Nines = nineScore(s.unserved(), g.BestUnservedShare)
	s.WorstWindows = worstWindowCredit(s.Windows)
	s.WorstKind = worstCredit(s.Kinds)
	s.Score = g.Credit*s.Credit + g.Nines*s.Nines + g.Windows*s.WorstWindows + g.Kind*s.WorstKind +
		g.DataCentre*worstCredit(s.DataCentres) - g.Waste*s.Wasted - s.VainWait
}

// nineScore maps the share of unserved jobs to a logarithmic scale: 0 if nothing is served, 1 at or
// below the share that counts as perfect.
func nineScore(unserved, best float64) float64 {
	if best <= 0 {
		return 0
	}
	return math.Min(math.Log(math.Max(unserved, best))/math.Log(best), 1)
}

func worstCredit(list []NamedCount) float64 {
	lowest := 1.0
	for i := range list {
		if list[i].Jobs > 0 {
			lowest = math.Min(lowest, list[i].Credit)
		}
	}
	return lowest
}

// worstWindowCount is the number of windows that worstWindowCredit averages.
const worstWindowCount = 2

func worstWindowCredit(list []WindowCount) float64 {
	var credits []float64
	for i := range list {
		if list[i].Jobs > 0 {
			credits = append(credits, list[i].Credit)
		}
	}
	sort.Float64s(credits)
	n := min(worstWindowCount, len(credits))
	if n == 0 {
		return 1
	}
	sum := 0.0
	for _, c := range credits[:n] {
		sum += c
	}
	return sum / float64(n)
}
