package emulator

import (
	"embed"
	"encoding/json"
	"io/fs"
	"os"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"peridotpick.example/common/room"
	"peridotpick.example/common/settings"
	"peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/core/policy"
	"peridotpick.example/core/runner"
)

// Deployment describes what is emulated: instances, distances, kinds of jobs and
// how users weigh what they get.
type Deployment struct {
	// Name is that of its file.
	Name string `json:"-"`
	// About says in a line what it stands for.
	About       string       `json:"about"`
	DataCentres []DataCentre `json:"dataCentres"`
	// Room is that of a worker of size 1; Sizes multiply its processors, in turn.
	Room  room.Room `json:"room"`
	Sizes []float64 `json:"sizes"`
	// RackSize is the number of workers in a rack.
	RackSize int `json:"rackSize"`
	// Within, Across and Caller are one way inside a data centre, between two, and
	// from a caller.
	Within settings.Duration `json:"within"`
	Across settings.Duration `json:"across"`
	Caller settings.Duration `json:"caller"`
	// Resend is when a caller whose connection broke sends its job again.
	Resend settings.Duration `json:"resend"`
	// Announce is the time between announcements of a worker.
	Announce settings.Duration `json:"announce"`
	// BootEntry and BootAgent are how long the processes take to start.
	BootEntry settings.Duration `json:"bootEntry"`
	BootAgent settings.Duration `json:"bootAgent"`
	Kinds     []Kind            `json:"kinds"`
	Goal      Goal              `json:"goal"`
}

// DataCentre is one data centre with its callers.
type DataCentre struct {
	Name    string `json:"name"`
	Entries int    `json:"entries"`
	Workers int    `json:"workers"`
	// Rate is the number of jobs that its callers send a second.
	Rate float64 `json:"rate"`
	// Callers is their number; 0 if there are so many that entries have equal loads.
	Callers int `json:"callers"`
}

// Spread is a log-normal distribution, cut at a maximum.
type Spread struct {
	Mean float64 `json:"mean"`
	// Sigma is the standard deviation of the logarithm.
	Sigma float64 `json:"sigma"`
	Max   float64 `json:"max"`
}

// Kind is a kind of jobs, which has a queue of its own.
type Kind struct {
	Name        string            `json:"name"`
	Priority    int               `json:"priority"`
	MaxAttempts int               `json:"maxAttempts"`
	Stretch     float64           `json:"stretch"`
	Target      settings.Duration `json:"target"`
	// Share is its part of the jobs.
	Share float64 `json:"share"`
	// Worth is what a job of mean work is worth in time, LateWorth up to three times
	// the objective.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"lateWorth"`
	// Steps is the number of steps, one after the other; 0 stands for 1.
	Steps int `json:"steps"`
	// Width is the number of tasks of a step, CPU what each needs in thousandths of
	// a core, WorkMillis how long it runs.
	Width      Spread `json:"width"`
	CPU        Spread `json:"cpu"`
	WorkMillis Spread `json:"workMillis"`
	// Uneven is the spread of work inside a job, EstimateOff that of the declared
	// run time around the real one, EstimateBias a factor on it; 0 stands for 1.
	Uneven       float64 `json:"uneven"`
	EstimateOff  float64 `json:"estimateOff"`
	EstimateBias float64 `json:"estimateBias"`
	// ErrorShare is the part of runs that fail.
	ErrorShare float64 `json:"errorShare"`
	// Patience is how long a caller waits.
	Patience settings.Duration `json:"patience"`
	// Returns is how often a caller comes back after a refusal.
	Returns int `json:"returns"`
	// Durable jobs are stored.
	Durable bool `json:"durable"`
}

// Goal weighs the parts of what users get; the weights sum up to 1.
type Goal struct {
	// Whole is the weight of the credit of all jobs, Nines that of the share served
	// at all on a logarithmic scale, Windows that of the two worst windows of two
	// seconds, Kind that of the worst kind, DataCentre that of the worst one.
	Whole      float64 `json:"whole"`
	Nines      float64 `json:"nines"`
	Windows    float64 `json:"windows"`
	Kind       float64 `json:"kind"`
	DataCentre float64 `json:"dataCentre"`
	// NinesBest is the share not served that counts as perfect.
	NinesBest float64 `json:"ninesBest"`
	// Waste is the price of a core-second of work that was done in vain, as a part of
	// all the credit that is owed in an hour of mean load.
	Waste float64 `json:"waste"`
}

// Limits of a deployment and a scenario, well above what one machine plays in
// reasonable time.
const (
	maxInstances = 5000
	maxRate      = 20000
	maxTasks     = 10000
	maxSeconds   = 3600
	weightSlack  = 0.001
)

//go:embed deployments/*.json scenarios/*.json
var library embed.FS

// DeploymentNames returns the names of the packaged deployments.
func DeploymentNames() []string { return names("deployments") }

// ScenarioNames returns the names of the packaged scenarios.
func ScenarioNames() []string { return names("scenarios") }

func names(dir string) []string {
	entries, err := fs.ReadDir(library, dir)
	if err != nil {
		return nil // the folder is part of the program
	}
	var list []string
	for _, e := range entries {
		list = append(list, strings.TrimSuffix(e.Name(), ".json"))
	}
	return list
}

// read decodes a packaged file, or one of the caller's if the name is a path.
func read(dir, name string, into any) error {
	raw, err := fs.ReadFile(library, path.Join(dir, name+".json"))
	if strings.HasSuffix(name, ".json") {
		raw, err = os.ReadFile(name)
	}
	if err != nil {
		return eris.Errorf("%q is no file and none of the packaged %s: %s", name, dir, strings.Join(names(dir), ", "))
	}
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	decoder.DisallowUnknownFields()
	return eris.Wrapf(decoder.Decode(into), "%s", name)
}

// LoadDeployment reads and checks a deployment.
func LoadDeployment(name string) (*Deployment, error) {
	d := &Deployment{Name: strings.TrimSuffix(path.Base(name), ".json")}
	if err := read("deployments", name, d); err != nil {
		return nil, err
	}
	if err := d.problems().Err(); err != nil {
		return nil, eris.Wrap(err, name)
	}
	return d, nil
}

func (d *Deployment) problems() settings.Problems {
	var p settings.Problems
	instances, entries, workers := 0, 0, 0
	for i, c := range d.DataCentres {
		at := "/dataCentres/" + strconv.Itoa(i)
		between(&p, at+"/rate", c.Rate, 0, maxRate)
		between(&p, at+"/entries", float64(c.Entries), 0, maxInstances)
		between(&p, at+"/workers", float64(c.Workers), 0, maxInstances)
		entries, workers = entries+c.Entries, workers+c.Workers
	}
	instances = entries + workers
	between(&p, "/dataCentres", float64(instances), 2, maxInstances)
	between(&p, "/dataCentres/entries", float64(entries), 1, maxInstances)
	between(&p, "/dataCentres/workers", float64(workers), 1, maxInstances)
	between(&p, "/room/cpu", float64(d.Room.CPU), 1, 1e7)
	between(&p, "/sizes", float64(len(d.Sizes)), 1, maxInstances)
	between(&p, "/rackSize", float64(d.RackSize), 1, maxInstances)
	between(&p, "/resend", d.Resend.Std().Seconds(), 0.5, 60)
	between(&p, "/announce", d.Announce.Std().Seconds(), 0.1, 60)
	if len(d.Kinds) == 0 {
		p.Add("/kinds", 0, "one or more")
	}
	for i := range d.Kinds {
		d.Kinds[i].check(&p, "/kinds/"+strconv.Itoa(i))
	}
	g := d.Goal
	sum := g.Whole + g.Nines + g.Windows + g.Kind + g.DataCentre
	between(&p, "/goal", sum, 1-weightSlack, 1+weightSlack)
	return p
}

func (k *Kind) check(p *settings.Problems, at string) {
	between(p, at+"/share", k.Share, 0, maxRate)
	between(p, at+"/stretch", k.Stretch, 1, 1000)
	between(p, at+"/maxAttempts", float64(k.MaxAttempts), 1, 1000)
	between(p, at+"/width/mean", k.Width.Mean, 1, maxTasks)
	between(p, at+"/cpu/mean", k.CPU.Mean, 1, 1e7)
	between(p, at+"/workMillis/mean", k.WorkMillis.Mean, 1, 1e6)
	between(p, at+"/errorShare", k.ErrorShare, 0, 1)
	between(p, at+"/worth", k.Worth, 0, 1e6)
	between(p, at+"/lateWorth", k.LateWorth, 0, max(k.Worth, 0))
	between(p, at+"/patience", k.Patience.Std().Seconds(), 0.01, maxSeconds)
	between(p, at+"/returns", float64(k.Returns), 0, 100)
	between(p, at+"/steps", float64(k.Steps), 0, 64)
}

// between adds a mistake if a value is out of its limits.
func between(p *settings.Problems, at string, value, low, high float64) {
	if value < low || value > high {
		p.Add(at, value, "from "+number(low)+" to "+number(high))
	}
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func (k *Kind) newQueue() *catalog.Queue {
	return &catalog.Queue{
		Name: k.Name, Service: service, Priority: k.Priority, MaxAttempts: k.MaxAttempts, Stretch: k.Stretch, Target: k.Target.Std(),
	}
}

// Times of durable jobs and looks, as in production.
const (
	layoutOwnFor      = 5500 * time.Millisecond
	layoutEntrySilent = 2 * time.Second
	layoutJitter      = 400 * time.Microsecond
	longestLease      = time.Second
	layoutRemote      = 1.5
)

// layout returns what a world of the deployment is built from.
func (d *Deployment) layout(p policy.Policy) *layout {
	l := &layout{
		rackSize: d.RackSize, resend: d.Resend.Std(), ownFor: layoutOwnFor, entrySilent: layoutEntrySilent,
		within: d.Within.Std(), across: d.Across.Std(), caller: d.Caller.Std(), jitter: layoutJitter,
		announceEvery: d.Announce.Std(), lookWait: runner.Standard().LookWait, crossCost: batch.Standard().CrossCost, remoteFactor: layoutRemote,
		bootEntry: d.BootEntry.Std(), bootAgent: d.BootAgent.Std(), policy: p,
		capacity: func(n int) room.Room {
			r := d.Room
			r.CPU = int(float64(r.CPU) * d.Sizes[n%len(d.Sizes)])
			return r
		},
	}
	for _, c := range d.DataCentres {
		l.centres = append(l.centres, centre{name: c.Name, entries: c.Entries, workers: c.Workers})
	}
	l.setLeases(longestLease)
	return l
}
