package emulator

import (
	"context"
	"math"
	"runtime"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"

	"peridotpick.example/core/policy"
)

// Experiment plays a scenario with several seeds.
type Experiment struct {
	Deployment *Deployment
	Scenario   *Scenario
	Policy     policy.Policy
	// First is the first seed, Seeds their number.
	First uint64
	Seeds int
	// Jobs bounds the plays that are under way at a time; 0 stands for half of the
	// processors.
	Jobs int
}

// Outcome is what an experiment gave.
type Outcome struct {
	Deployment string             `json:"deployment"`
	Scenario   string             `json:"scenario"`
	Without    []policy.Mechanism `json:"without,omitempty"`
	Plays      []Summary          `json:"plays"`
	// Worth is the mean mark, Spread its standard deviation over the seeds.
	Worth  float64 `json:"worth"`
	Spread float64 `json:"spread"`
}

// Run plays the experiment. The outcome depends on the seeds alone.
func (e *Experiment) Run(ctx context.Context) (*Outcome, error) {
	jobs := e.Jobs
	if jobs <= 0 {
		jobs = max(runtime.NumCPU()/2, 1)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(jobs)
	plays := make([]Summary, e.Seeds)
	for i := range plays {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			plays[i] = Play(e.Deployment, e.Scenario, e.Policy, e.First+uint64(i), false).Summarize()
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	out := &Outcome{Deployment: e.Deployment.Name, Scenario: e.Scenario.Name, Without: e.Policy.Missing(), Plays: plays}
	out.Worth, out.Spread = meanOf(out.marks())
	return out, nil
}

func (o *Outcome) marks() []float64 {
	list := make([]float64, len(o.Plays))
	for i := range o.Plays {
		list[i] = o.Plays[i].Worth
	}
	return list
}

// Broken returns the promises that were broken in any play.
func (o *Outcome) Broken() []string {
	var list []string
	for i := range o.Plays {
		list = append(list, o.Plays[i].Broken...)
	}
	return list
}

// meanOf returns mean and standard deviation; the latter is 0 for a single value.
func meanOf(values []float64) (float64, float64) {
	mean, spread := stat.MeanStdDev(values, nil)
	if math.IsNaN(spread) {
		spread = 0
	}
	return mean, spread
}

// Comparison sets two policies against each other, seed by seed.
type Comparison struct {
	Base  *Outcome `json:"base"`
	Other *Outcome `json:"other"`
	// Difference is the mean of other less base over the seeds, Error its standard
	// error, Better the number of seeds on which other is better.
	Difference float64 `json:"difference"`
	Error      float64 `json:"error"`
	Better     int     `json:"better"`
}

// Compare sets two outcomes of the same seeds against each other.
func Compare(base, other *Outcome) *Comparison {
	c := &Comparison{Base: base, Other: other}
	var differences []float64
	for i := range base.Plays {
		d := other.Plays[i].Worth - base.Plays[i].Worth
		differences = append(differences, d)
		if d > 0 {
			c.Better++
		}
	}
	mean, spread := meanOf(differences)
	c.Difference, c.Error = mean, spread/math.Sqrt(float64(max(len(differences), 1)))
	return c
}
