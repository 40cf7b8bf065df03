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

// Deployment describes the simulated system: instances, latencies, kinds of jobs, and how the
// outcomes of jobs are weighted.
type Deployment struct {
	// Name is the name of its file without the extension.
	Name string `json:"-"`
	// About describes in a line what the deployment models.
	About       string       `json:"about"`
	DataCentres []DataCentre `json:"dataCentres"`
	// Capacity is the capacity of a worker of size 1. Sizes are factors on its CPU, assigned to the
	// workers in rotation.
	Capacity room.Resources `json:"room"`
	Sizes    []float64      `json:"sizes"`
	// RackSize is the number of workers in a rack.
	RackSize int `json:"rackSize"`
	// LocalLatency, RemoteLatency and CallerLatency are the one-way latencies within a data centre,
	// between two, and between a caller and an entry.
	LocalLatency  settings.Duration `json:"within"`
	RemoteLatency settings.Duration `json:"across"`
	CallerLatency settings.Duration `json:"caller"`
	// Resend is the time after which a caller whose connection broke submits its job again.
	Resend settings.Duration `json:"resend"`
	// AnnounceInterval is the longest time between announcements of a worker.
	AnnounceInterval settings.Duration `json:"announce"`
	// EntryBootTime and AgentBootTime are how long the processes take to start.
	EntryBootTime settings.Duration `json:"bootEntry"`
	AgentBootTime settings.Duration `json:"bootAgent"`
	Kinds         []Kind            `json:"kinds"`
	Goal          Goal              `json:"goal"`
}

// DataCentre is one data centre with its callers.
type DataCentre struct {
	Name    string `json:"name"`
	Entries int    `json:"entries"`
	Workers int    `json:"workers"`
	// JobsPerSecond is the mean rate at which its callers submit jobs.
	JobsPerSecond float64 `json:"rate"`
	// Callers is the number of callers; 0 if there are so many that the load of entries is even.
	Callers int `json:"callers"`
}

// LogNormal is a log-normal distribution, limited to Max if that is not 0.
type LogNormal struct {
	Mean float64 `json:"mean"`
	// Sigma is the standard deviation of the logarithm; with 0 all values are Mean.
	Sigma float64 `json:"sigma"`
	Max   float64 `json:"max"`
}

// Kind is a kind of jobs, which has its own queue.
type Kind struct {
	Name        string            `json:"name"`
	Priority    int               `json:"priority"`
	MaxAttempts int               `json:"maxAttempts"`
	Stretch     float64           `json:"stretch"`
	Target      settings.Duration `json:"target"`
	// Share is its share of the jobs, relative to the sum over all kinds.
	Share float64 `json:"share"`
	// Worth is the value of a job of mean work that ends within its objective, LateWorth of one
	// that ends within three times the objective.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"lateWorth"`
	// Steps is the number of steps, each of which starts after the one before; 0 stands for 1.
	Steps int `json:"steps"`
	// Width is the number of tasks of a step, CPU what each needs in thousandths of a core,
	// WorkMillis how long it runs at full speed.
	Width      LogNormal `json:"width"`
	CPU        LogNormal `json:"cpu"`
	WorkMillis LogNormal `json:"workMillis"`
	// WorkSigma is the sigma of the work of tasks within a job, EstimateSigma that of the declared
	// run time relative to the real one. EstimateBias is a factor on the declared run time; 0
	// stands for 1.
	WorkSigma     float64 `json:"uneven"`
	EstimateSigma float64 `json:"estimateOff"`
	EstimateBias  float64 `json:"estimateBias"`
	// FailureShare is the share of runs that fail.
	FailureShare float64 `json:"errorShare"`
	// CallerTimeout is how long a caller waits for an answer.
	CallerTimeout settings.Duration `json:"patience"`
	// RetriesAfterRefusal is how often a caller submits a job again after a refusal.
	RetriesAfterRefusal int `json:"returns"`
	// Durable is true for jobs that are stored before they are accepted, and that callers do not
	// wait for.
	Durable bool `json:"durable"`
}

// Goal holds the weights of the parts of a trial's score. Credit, Nines, Windows, Kind and
// DataCentre sum up to 1.
type Goal struct {
	// Credit is the weight of the credit of all jobs, Nines of the share of jobs served on a
	// logarithmic scale, Windows of the two worst windows of two seconds, Kind of the worst kind,
	// DataCentre of the worst data centre.
	Credit     float64 `json:"whole"`
	Nines      float64 `json:"nines"`
	Windows    float64 `json:"windows"`
	Kind       float64 `json:"kind"`
	DataCentre float64 `json:"dataCentre"`
	// BestUnservedShare is the share of unserved jobs that counts as perfect.
	BestUnservedShare float64 `json:"ninesBest"`
	// Waste is the penalty per unit of the share of work that is wasted.
	Waste float64 `json:"waste"`
}

// Limits of a deployment and a scenario, well above what can be simulated in reasonable time. maxRate is
// in jobs per second and also limits the relative shares of kinds; maxTasks is per step.
const (
	maxInstances = 5000
	maxRate      = 20000
	maxTasks     = 10000
	maxSeconds   = 3600
	// weightSlack is the tolerance of the sum of the weights of a Goal.
	weightSlack = 0.001
)

//go:embed deployments/*.json scenarios/*.json
var packagedFiles embed.FS

// DeploymentNames returns the names of the packaged deployments in alphabetical order.
func DeploymentNames() []string { return packagedNames("deployments") }

// ScenarioNames returns the names of the packaged scenarios in alphabetical order.
func ScenarioNames() []string { return packagedNames("scenarios") }

func packagedNames(dir string) []string {
	entries, err := fs.ReadDir(packagedFiles, dir)
	if err != nil {
		return nil // cannot happen: the directory is embedded in the binary
	}
	var list []string
	for _, e := range entries {
		list = append(list, strings.TrimSuffix(e.Name(), ".json"))
	}
	return list
}

// readFile decodes the packaged file of that name in dir, or the file at path name if name ends in
// .json.
func readFile(dir, name string, target any) error {
	raw, err := fs.ReadFile(packagedFiles, path.Join(dir, name+".json"))
	if strings.HasSuffix(name, ".json") {
		raw, err = os.ReadFile(name)
	}
	if err != nil {
		return eris.Errorf("%q is neither a readable file nor one of the packaged %s: %s", name, dir, strings.Join(packagedNames(dir), ", "))
	}
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	decoder.DisallowUnknownFields()
	return eris.Wrapf(decoder.Decode(target), "%s", name)
}

// LoadDeployment reads and validates a deployment: a packaged one, or the file at path name if name
// ends in .json.
func LoadDeployment(name string) (*Deployment, error) {
	d := &Deployment{Name: strings.TrimSuffix(path.Base(name), ".json")}
	if err := readFile("deployments", name, d); err != nil {
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
		pointer := "/dataCentres/" + strconv.Itoa(i)
		checkRange(&p, pointer+"/rate", c.JobsPerSecond, 0, maxRate)
		checkRange(&p, pointer+"/entries", float64(c.Entries), 0, maxInstances)
		checkRange(&p, pointer+"/workers", float64(c.Workers), 0, maxInstances)
		entries, workers = entries+c.Entries, workers+c.Workers
	}
	instances = entries + workers
	checkRange(&p, "/dataCentres", float64(instances), 2, maxInstances)
	checkRange(&p, "/dataCentres/entries", float64(entries), 1, maxInstances)
	checkRange(&p, "/dataCentres/workers", float64(workers), 1, maxInstances)
	checkRange(&p, "/room/cpu", float64(d.Capacity.CPU), 1, 1e7)
	checkRange(&p, "/sizes", float64(len(d.Sizes)), 1, maxInstances)
	checkRange(&p, "/rackSize", float64(d.RackSize), 1, maxInstances)
	checkRange(&p, "/resend", d.Resend.Std().Seconds(), 0.5, 60)
	checkRange(&p, "/announce", d.AnnounceInterval.Std().Seconds(), 0.1, 60)
	if len(d.Kinds) == 0 {
		p.Add("/kinds", 0, "one or more")
	}
	for i := range d.Kinds {
		d.Kinds[i].check(&p, "/kinds/"+strconv.Itoa(i))
	}
	g := d.Goal
	sum := g.Credit + g.Nines + g.Windows + g.Kind + g.DataCentre
	checkRange(&p, "/goal", sum, 1-weightSlack, 1+weightSlack)
	return p
}

func (k *Kind) check(p *settings.Problems, pointer string) {
	checkRange(p, pointer+"/share", k.Share, 0, maxRate)
	checkRange(p, pointer+"/stretch", k.Stretch, 1, 1000)
	checkRange(p, pointer+"/maxAttempts", float64(k.MaxAttempts), 1, 1000)
	checkRange(p, pointer+"/width/mean", k.Width.Mean, 1, maxTasks)
	checkRange(p, pointer+"/cpu/mean", k.CPU.Mean, 1, 1e7)
	checkRange(p, pointer+"/workMillis/mean", k.WorkMillis.Mean, 1, 1e6)
	checkRange(p, pointer+"/errorShare", k.FailureShare, 0, 1)
	checkRange(p, pointer+"/worth", k.Worth, 0, 1e6)
	checkRange(p, pointer+"/lateWorth", k.LateWorth, 0, max(k.Worth, 0))
	checkRange(p, pointer+"/patience", k.CallerTimeout.Std().Seconds(), 0.01, maxSeconds)
	checkRange(p, pointer+"/returns", float64(k.RetriesAfterRefusal), 0, 100)
	checkRange(p, pointer+"/steps", float64(k.Steps), 0, 64)
}

// checkRange adds a problem if a value is outside its range.
func checkRange(p *settings.Problems, pointer string, value, low, high float64) {
	if value < low || value > high {
		p.Add(pointer, value, "from "+formatNumber(low)+" to "+formatNumber(high))
	}
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func (k *Kind) newQueue() *catalog.Queue {
	return &catalog.Queue{
		Name: k.Name, Service: serviceName, Priority: k.Priority, MaxAttempts: k.MaxAttempts, Stretch: k.Stretch, Target: k.Target.Std(),
	}
}

// Time constants of ownership, leases and latency jitter, as in production, and the factor on
// the run time of tasks away from their data.
const (
	ownershipTTL        = 5500 * time.Millisecond
	entrySilenceTimeout = 2 * time.Second
	latencyJitter       = 400 * time.Microsecond
	longestLease        = time.Second
	remoteFactor        = 1.5
)

// config returns the configuration of a simulation of the deployment.
func (d *Deployment) config(p policy.Policy) *simConfig {
	config := &simConfig{
		rackSize: d.RackSize, resend: d.Resend.Std(), ownershipTTL: ownershipTTL, entrySilenceTimeout: entrySilenceTimeout,
		localLatency: d.LocalLatency.Std(), remoteLatency: d.RemoteLatency.Std(), callerLatency: d.CallerLatency.Std(), jitter: latencyJitter,
		announceInterval: d.AnnounceInterval.Std(), pollWait: runner.DefaultSettings().PollWait, crossCost: batch.DefaultSettings().CrossDataCentreCost, remoteFactor: remoteFactor,
		bootEntry: d.EntryBootTime.Std(), bootAgent: d.AgentBootTime.Std(), policy: p,
		capacity: func(n int) room.Resources {
			r := d.Capacity
			r.CPU = int(float64(r.CPU) * d.Sizes[n%len(d.Sizes)])
			return r
		},
	}
	for _, c := range d.DataCentres {
		config.dataCentres = append(config.dataCentres, dataCentreConfig{name: c.Name, entries: c.Entries, workers: c.Workers})
	}
	config.setLeases(longestLease)
	return config
}
