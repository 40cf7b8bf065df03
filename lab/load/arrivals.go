package load

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"peridotpick.example/lab/cluster"
)

// Kind is one kind of request in a mix.
type Kind struct {
	// Name is the kind of the tasks as in the configuration. Class is the name under which the requests
	// are reported; several kinds of a mix may have one Name and different classes.
	Name  string
	Class string
	// Share is the share of all requests that are of this kind, 0 to 1.
	Share float64
	// MinTasks and MaxTasks bound the number of tasks of a request. If MaxTasks is 1, requests are sent as
	// calls, otherwise as jobs.
	MinTasks, MaxTasks int
	// Keyed requests carry an idempotency key.
	Keyed bool
	// AtMostOnce is true if a task must not be started twice.
	AtMostOnce bool
	// LongShare is the share of tasks with a run time of several seconds, 0 to 1.
	LongShare float64
}

// Mix describes the requests of one user; the shares of its kinds add up to 1.
type Mix struct {
	Service string
	Team    string
	Kinds   []Kind
}

// AssociationMix returns the requests of the Association.
func AssociationMix() Mix {
	return Mix{Service: cluster.AssociationService, Team: cluster.AssociationTeam, Kinds: []Kind{
		{Name: "allergen-flag", Class: "urgent", Share: 0.15, MinTasks: 1, MaxTasks: 1},
		{Name: "shift-close", Class: "interactive", Share: 0.15, MinTasks: 1, MaxTasks: 1, Keyed: true, AtMostOnce: true},
		{Name: "tray-scan", Class: "interactive-scan", Share: 0.55, MinTasks: 1, MaxTasks: 1, LongShare: 0.01},
		{Name: "tray-scan", Class: "batch", Share: 0.15, MinTasks: 4, MaxTasks: 16, Keyed: true, LongShare: 0.01},
	}}
}

// LicensingMix returns the requests of the Licensing Unit.
func LicensingMix() Mix {
	return Mix{Service: cluster.LicensingService, Team: cluster.LicensingTeam, Kinds: []Kind{
		{Name: "tag-check", Class: "urgent", Share: 0.35, MinTasks: 1, MaxTasks: 1},
		{Name: "counter-renew", Class: "interactive", Share: 0.45, MinTasks: 1, MaxTasks: 1, Keyed: true, AtMostOnce: true},
		{Name: "renew", Class: "batch", Share: 0.20, MinTasks: 4, MaxTasks: 16, Keyed: true, AtMostOnce: true, LongShare: 0.01},
	}}
}

// Arrival is one request of a plan.
type Arrival struct {
	// At is the time from the start of the run.
	At time.Duration `json:"at"`
	// Kind is the index of the request's kind in the mix.
	Kind int `json:"kind"`
	// RunMs are the run times of the tasks, in milliseconds.
	RunMs []float64 `json:"runMs"`
	// Key is the request's idempotency key, unique in the plan.
	Key string `json:"key"`
}

// Pattern is a pattern by which the arrival rate changes over time.
type Pattern string

// Patterns of arrivals: a constant rate; a constant rate with one burst; the rate of a day from night to
// night; and a low rate with a step to a high one.
const (
	Steady  Pattern = "steady"
	Bursty  Pattern = "bursty"
	Diurnal Pattern = "diurnal"
	Step    Pattern = "step"
)

// Parameters of the patterns.
const (
	// burstStart is the start of a burst or step, as a part of the run.
	burstStart    = 0.4
	burstDuration = 5 * time.Second
	// burstLoad, loadBeforeStep and loadAfterStep are loads as parts of capacity.
	burstLoad      = 2.0
	loadAfterStep  = 0.8
	loadBeforeStep = 0.25
	// nightLoad is the lowest load of a day, as a part of the highest.
	nightLoad = 0.1
)

// loadAt returns the load at a time of a run as a part of capacity. baseLoad is the load
// outside bursts and steps, and at the peak of a day.
func (p Pattern) loadAt(at, duration time.Duration, baseLoad float64) float64 {
	changeAt := time.Duration(burstStart * float64(duration))
	switch {
	case p == Bursty && at >= changeAt && at < changeAt+burstDuration:
		return burstLoad
	case p == Step && at < changeAt:
		return loadBeforeStep
	case p == Step:
		return loadAfterStep
	case p == Diurnal:
		day := (1 - math.Cos(2*math.Pi*float64(at)/float64(duration))) / 2
		return baseLoad * (nightLoad + (1-nightLoad)*day)
	}
	return baseLoad
}

// Run times are log-normal, cut to the range that the customers' brief states. Those of long tasks are
// uniform.
const (
	medianRunMs = 180.0
	runSigma    = 0.7
	minRunMs    = 50.0
	maxRunMs    = 1000.0
	minLongMs   = 2000.0
	maxLongMs   = 4000.0
)

// drawRunMs draws the run time of one task in milliseconds; longShare is the probability of a long one.
func drawRunMs(rng *rand.Rand, longShare float64) float64 {
	if rng.Float64() < longShare {
		return minLongMs + rng.Float64()*(maxLongMs-minLongMs)
	}
	run := medianRunMs * math.Exp(runSigma*rng.NormFloat64())
	return math.Round(min(maxRunMs, max(minRunMs, run)))
}

// Plan draws the arrivals of a run, a Poisson process with the rate of the pattern. The loop is open:
// all arrivals are fixed before the run starts, so that slow answers do not delay them. slots is the
// capacity of the deployment in tasks at once.
func Plan(mix Mix, pattern Pattern, baseLoad float64, duration time.Duration, slots int, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 11))
	workPerRequest := meanWorkSeconds(mix, seed)
	var plan []Arrival
	for at := time.Duration(0); ; {
		rate := pattern.loadAt(at, duration, baseLoad) * float64(slots) / workPerRequest // requests a second
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return plan
		}
		plan = append(plan, drawArrival(rng, mix, at, fmt.Sprintf("load-%d-%d", seed, len(plan))))
	}
}

// drawArrival draws the kind and the run times of a request.
func drawArrival(rng *rand.Rand, mix Mix, at time.Duration, key string) Arrival {
	pick := rng.Float64()
	index := len(mix.Kinds) - 1
	for i, k := range mix.Kinds {
		if pick < k.Share {
			index = i
			break
		}
		pick -= k.Share
	}
	k := mix.Kinds[index]
	a := Arrival{At: at, Kind: index, Key: key}
	for range k.MinTasks + rng.IntN(k.MaxTasks-k.MinTasks+1) {
		a.RunMs = append(a.RunMs, drawRunMs(rng, k.LongShare))
	}
	return a
}

// meanWorkSeconds estimates the mean sum of the run times of a request's tasks, in seconds.
func meanWorkSeconds(mix Mix, seed uint64) float64 {
	const draws = 20000
	rng := rand.New(rand.NewPCG(seed, 12))
	total := 0.0
	for range draws {
		for _, run := range drawArrival(rng, mix, 0, "").RunMs {
			total += run / 1000
		}
	}
	return total / draws
}

// ReadArrivals reads arrivals from a JSON file.
func ReadArrivals(path string) ([]Arrival, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read arrivals")
	}
	var plan []Arrival
	return plan, eris.Wrap(json.Unmarshal(data, &plan), "decode arrivals")
}
