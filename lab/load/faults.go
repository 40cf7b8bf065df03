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

// FaultKind names a fault of a schedule.
type FaultKind string

// Kinds of faults.
const (
	FaultSlow      FaultKind = "slow"
	FaultFailAll   FaultKind = "fail-all"
	FaultKill      FaultKind = "kill"
	FaultLeave     FaultKind = "leave"
	FaultTableDown FaultKind = "table-down"
	FaultTableLoss FaultKind = "table-loss"
	FaultKillEntry FaultKind = "kill-entry"
	FaultStopEntry FaultKind = "stop-entry"
)

// Fault is one line of a schedule.
type Fault struct {
	At   settings.Duration `json:"at"`
	Kind FaultKind         `json:"kind"`
	// Worker names the worker of slow, fail-all, kill and leave.
	Worker string `json:"worker,omitempty"`
	// Entry is the number of the entry of kill-entry and stop-entry, from 0.
	Entry int `json:"entry,omitempty"`
	// Factor is how much slower, or the probability of a loss.
	Factor float64 `json:"factor,omitempty"`
	// For ends the fault; 0 means that it lasts.
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

// apply does f to the cluster, and undoes it later if it ends.
func (f Fault) apply(c *cluster.Cluster) {
	switch f.Kind {
	case FaultSlow:
		f.backend(c, backendserver.Faults{Slow: f.Factor})
	case FaultFailAll:
		f.backend(c, backendserver.Faults{FailAll: true})
	case FaultKill:
		c.KillNode(f.Worker)
	case FaultLeave:
		go c.StopNode(f.Worker)
	case FaultTableDown:
		f.table(c, func(t *platformstandin.Faults) { t.Down = true })
	case FaultTableLoss:
		f.table(c, func(t *platformstandin.Faults) { t.LoseAnswers = f.Factor })
	case FaultKillEntry:
		c.Entries()[f.Entry].Kill()
	case FaultStopEntry:
		go c.Entries()[f.Entry].Stop()
	}
}

func (f Fault) backend(c *cluster.Cluster, faults backendserver.Faults) {
	n := c.Node(f.Worker)
	if n == nil {
		return
	}
	n.Server.SetFaults(faults)
	if f.For > 0 {
		time.AfterFunc(f.For.Std(), func() { n.Server.SetFaults(backendserver.Faults{}) })
	}
}

func (f Fault) table(c *cluster.Cluster, change func(*platformstandin.Faults)) {
	healthy := c.TableFaults()
	broken := healthy
	change(&broken)
	c.Table.SetFaults(broken)
	if f.For > 0 {
		time.AfterFunc(f.For.Std(), func() { c.Table.SetFaults(healthy) })
	}
}
