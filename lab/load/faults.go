package load

import (
	"encoding/json"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"peridotpick.example/common/settings"
	"peridotpick.example/lab/backendserver"
	"peridotpick.example/lab/cluster"
	"peridotpick.example/lab/platformstandin"
)

// FaultKind is the kind of a fault in a schedule.
type FaultKind string

// Kinds of faults.
const (
	// FaultSlow multiplies the run times of a worker's tasks, FaultFailAll makes all of them fail.
	FaultSlow    FaultKind = "slow"
	FaultFailAll FaultKind = "fail-all"
	// FaultKill ends a worker's processes as a crash does, FaultLeave drains them.
	FaultKill  FaultKind = "kill"
	FaultLeave FaultKind = "leave"
	// FaultTableDown makes the table service fail all requests, FaultTableLoss lose answers to writes.
	FaultTableDown FaultKind = "table-down"
	FaultTableLoss FaultKind = "table-loss"
	// FaultKillEntry ends an entry as a crash does, FaultStopEntry drains it.
	FaultKillEntry FaultKind = "kill-entry"
	FaultStopEntry FaultKind = "stop-entry"
)

// Fault is one fault of a schedule.
type Fault struct {
	// At is the time from the start of the run.
	At   settings.Duration `json:"at"`
	Kind FaultKind         `json:"kind"`
	// Worker is the ID of the worker, for slow, fail-all, kill and leave.
	Worker string `json:"worker,omitempty"`
	// Entry is the number of the entry from 0, for kill-entry and stop-entry.
	Entry int `json:"entry,omitempty"`
	// Factor multiplies run times for slow; it is the probability of a lost answer for table-loss.
	Factor float64 `json:"factor,omitempty"`
	// For is the time after which slow, fail-all, table-down and table-loss end; 0 means that they do not
	// end.
	For settings.Duration `json:"for,omitempty"`
}

// ReadFaults reads a schedule from a JSON file.
func ReadFaults(path string) ([]Fault, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read faults")
	}
	var list []Fault
	return list, eris.Wrap(json.Unmarshal(data, &list), "decode faults")
}

// apply applies f to the deployment, and schedules its end if it has one.
func (f Fault) apply(c *cluster.Cluster) {
	switch f.Kind {
	case FaultSlow:
		f.applyToBackend(c, backendserver.Faults{SlowFactor: f.Factor})
	case FaultFailAll:
		f.applyToBackend(c, backendserver.Faults{FailAll: true})
	case FaultKill:
		c.KillWorker(f.Worker)
	case FaultLeave:
		go c.StopWorker(f.Worker)
	case FaultTableDown:
		f.applyToTable(c, func(t *platformstandin.Faults) { t.Down = true })
	case FaultTableLoss:
		f.applyToTable(c, func(t *platformstandin.Faults) { t.LoseAnswers = f.Factor })
	case FaultKillEntry:
		c.Entries()[f.Entry].Kill()
	case FaultStopEntry:
		go c.Entries()[f.Entry].Stop()
	}
}

// applyToBackend sets the faults of a worker's backend server. It does nothing if the worker does not
// run.
func (f Fault) applyToBackend(c *cluster.Cluster, faults backendserver.Faults) {
	worker := c.RunningWorker(f.Worker)
	if worker == nil {
		return
	}
	worker.Server.SetFaults(faults)
	if f.For > 0 {
		time.AfterFunc(f.For.Std(), func() { worker.Server.SetFaults(backendserver.Faults{}) })
	}
}

// applyToTable changes the faults of the table service.
func (f Fault) applyToTable(c *cluster.Cluster, change func(*platformstandin.Faults)) {
	noFaults := c.TableFaults()
	faulty := noFaults
	change(&faulty)
	c.Table.SetFaults(faulty)
	if f.For > 0 {
		time.AfterFunc(f.For.Std(), func() { c.Table.SetFaults(noFaults) })
	}
}
