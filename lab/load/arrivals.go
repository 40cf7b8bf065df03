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

// Kind is one kind of request of a mix.
type Kind struct {
	// Name is the kind of the tasks, Class how it is reported.
	Name  string
	Class string
	// Share is the part of requests of this kind.
	Share float64
	// MinTasks and MaxTasks bound the tasks of a request; a request of one task
	// is a call.
	MinTasks, MaxTasks int
	// Keyed requests carry an idempotency key.
	Keyed bool
	// Once is set if a task may not be started twice.
	Once bool
	// Long is the part of tasks that last several seconds.
	Long float64
}

// Mix is the load of one user.
type Mix struct {
	Service string
	Team    string
	Kinds   []Kind
}

// AssociationMix is the load of the Association.
func AssociationMix() Mix {
	return Mix{Service: cluster.AssociationService, Team: cluster.AssociationTeam, Kinds: []Kind{
		{Name: "allergen-flag", Class: "urgent", Share: 0.15, MinTasks: 1, MaxTasks: 1},
		{Name: "shift-close", Class: "interactive", Share: 0.15, MinTasks: 1, MaxTasks: 1, Keyed: true, Once: true},
		{Name: "tray-scan", Class: "interactive-scan", Share: 0.55, MinTasks: 1, MaxTasks: 1, Long: 0.01},
		{Name: "tray-scan", Class: "batch", Share: 0.15, MinTasks: 4, MaxTasks: 16, Keyed: true, Long: 0.01},
	}}
}

// LicensingMix is the load of the Licensing Unit.
func LicensingMix() Mix {
	return Mix{Service: cluster.LicensingService, Team: cluster.LicensingTeam, Kinds: []Kind{
		{Name: "tag-check", Class: "urgent", Share: 0.35, MinTasks: 1, MaxTasks: 1},
		{Name: "counter-renew", Class: "interactive", Share: 0.45, MinTasks: 1, MaxTasks: 1, Keyed: true, Once: true},
		{Name: "renew", Class: "batch", Share: 0.20, MinTasks: 4, MaxTasks: 16, Keyed: true, Once: true, Long: 0.01},
	}}
}

// Arrival is one request of a plan.
type Arrival struct {
	// At is the time from the start of the run.
	At time.Duration `json:"at"`
	// Kind is the index into the mix.
	Kind int `json:"kind"`
	// RunMs are the run times of the tasks, in milliseconds.
	RunMs []float64 `json:"runMs"`
	// Key is the request's idempotency key, unique in the plan.
	Key string `json:"key"`
}

// Shape is how the arrival rate changes over time.
type Shape string

// Shapes of arrivals.
const (
	Steady  Shape = "steady"
	Bursty  Shape = "bursty"
	Diurnal Shape = "diurnal"
	Step    Shape = "step"
)

// Bounds of a burst: it starts at burstAt of the run and lasts burstFor.
const (
	burstAt  = 0.4
	burstFor = 5 * time.Second
	// burstLoad is the load during a burst and after a step, as a part of capacity.
	burstLoad = 2.0
	stepLoad  = 0.8
	stepLow   = 0.25
	// diurnalLow is the load at night, as a part of that by day.
	diurnalLow = 0.1
)

// load returns the load at a time as a part of capacity.
func (s Shape) load(at, whole time.Duration, base float64) float64 {
	begin := time.Duration(burstAt * float64(whole))
	switch {
	case s == Bursty && at >= begin && at < begin+burstFor:
		return burstLoad
	case s == Step && at < begin:
		return stepLow
	case s == Step:
		return stepLoad
	case s == Diurnal:
		day := (1 - math.Cos(2*math.Pi*float64(at)/float64(whole))) / 2
		return base * (diurnalLow + (1-diurnalLow)*day)
	}
	return base
}

// Run times are log-normal, cut to the range of the brief.
const (
	medianRunMs = 180.0
	sigmaRun    = 0.7
	minRunMs    = 50.0
	maxRunMs    = 1000.0
	minLongMs   = 2000.0
	maxLongMs   = 4000.0
)

func drawRun(rng *rand.Rand, long float64) float64 {
	if rng.Float64() < long {
		return minLongMs + rng.Float64()*(maxLongMs-minLongMs)
	}
	run := medianRunMs * math.Exp(sigmaRun*rng.NormFloat64())
	return math.Round(min(maxRunMs, max(minRunMs, run)))
}

// Plan draws the arrivals of a run: an open loop, fixed before it starts, so
// that slow answers do not slow arrivals down.
func Plan(mix Mix, shape Shape, base float64, whole time.Duration, slots int, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 11))
	perRequest := meanWork(mix, seed)
	var plan []Arrival
	for at := time.Duration(0); ; {
		rate := shape.load(at, whole, base) * float64(slots) / perRequest // requests a second
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= whole {
			return plan
		}
		plan = append(plan, drawArrival(rng, mix, at, fmt.Sprintf("load-%d-%d", seed, len(plan))))
	}
}

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
		a.RunMs = append(a.RunMs, drawRun(rng, k.Long))
	}
	return a
}

// meanWork estimates the run time of a request's tasks together, in seconds.
func meanWork(mix Mix, seed uint64) float64 {
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

// Replay reads arrivals from a JSON file.
func Replay(path string) ([]Arrival, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read arrivals")
	}
	var plan []Arrival
	return plan, eris.Wrap(json.Unmarshal(data, &plan), "decode arrivals")
}
