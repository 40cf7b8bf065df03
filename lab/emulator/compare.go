package emulator

import (
	"context"
	"math"
	"runtime"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"

	"peridotpick.example/core/policy"
)

// Experiment simulates a scenario on a deployment with several seeds.
type Experiment struct {
	Deployment *Deployment
	Scenario   *Scenario
	Policy     policy.Policy
	// FirstSeed is the first seed, Seeds the number of seeds.
	FirstSeed uint64
	Seeds     int
	// Parallelism limits the trials that run concurrently; 0 stands for half of the processors.
	Parallelism int
}

// ExperimentResult is the result of an experiment.
type ExperimentResult struct {
	Deployment string             `json:"deployment"`
	Scenario   string             `json:"scenario"`
	Without    []policy.Mechanism `json:"without,omitempty"`
	Trials     []Summary          `json:"plays"`
	// Score is the mean score of the trials, StdDev its standard deviation over the seeds.
	Score  float64 `json:"worth"`
	StdDev float64 `json:"spread"`
}

// Run runs the trials of the experiment. The result depends on the deployment, the scenario, the
// policy and the seeds only.
func (e *Experiment) Run(ctx context.Context) (*ExperimentResult, error) {
	parallelism := e.Parallelism
	if parallelism <= 0 {
		parallelism = max(runtime.NumCPU()/2, 1)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelism)
	trials := make([]Summary, e.Seeds)
	for i := range trials {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			trials[i] = Simulate(e.Deployment, e.Scenario, e.Policy, e.FirstSeed+uint64(i), false).Summarize()
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	out := &ExperimentResult{Deployment: e.Deployment.Name, Scenario: e.Scenario.Name, Without: e.Policy.Disabled(), Trials: trials}
	out.Score, out.StdDev = meanStdDev(out.scores())
	return out, nil
}

func (r *ExperimentResult) scores() []float64 {
	list := make([]float64, len(r.Trials))
	for i := range r.Trials {
		list[i] = r.Trials[i].Score
	}
	return list
}

// Violations returns the violations of guarantees in all trials.
func (r *ExperimentResult) Violations() []string {
	var list []string
	for i := range r.Trials {
		list = append(list, r.Trials[i].Violations...)
	}
	return list
}

// meanStdDev returns mean and standard deviation; the latter is 0 for a single value.
func meanStdDev(values []float64) (float64, float64) {
	mean, stdDev := stat.MeanStdDev(values, nil)
	if math.IsNaN(stdDev) {
		stdDev = 0
	}
	return mean, stdDev
}

// Comparison is the difference between two policies, paired by seed.
type Comparison struct {
	Base  *ExperimentResult `json:"base"`
	Other *ExperimentResult `json:"other"`
	// Difference is the mean over the seeds of the score of other minus that of base, StdError its
	// standard error, Better the number of seeds on which other has the higher score.
	Difference float64 `json:"difference"`
	StdError   float64 `json:"error"`
	Better     int     `json:"better"`
}

// Compare compares two results of the same seeds.
func Compare(base, other *ExperimentResult) *Comparison {
	c := &Comparison{Base: base, Other: other}
	var differences []float64
	for i := range base.Trials {
		d := other.Trials[i].Score - base.Trials[i].Score
		differences = append(differences, d)
		if d > 0 {
			c.Better++
		}
	}
	mean, stdDev := meanStdDev(differences)
	c.Difference, c.StdError = mean, stdDev/math.Sqrt(float64(max(len(differences), 1)))
	return c
}
