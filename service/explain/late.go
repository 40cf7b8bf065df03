package explain

import (
	"fmt"
	"strings"
)

// LastTask is the task that ended last and thereby determined the end of its job. Times are in ms.
type LastTask struct {
	Task, Worker string
	// StartDelay is the time from the job's first line to the last start of the task. It is
	// long if earlier runs of the task did not complete.
	StartDelay float64
	// Waited is the time that the last run waited at its agent for free resources, Ran its run
	// time at the worker. ExpectedWait and ExpectedRun are the times that the entry expected.
	Waited, Ran, ExpectedWait, ExpectedRun float64
	// Deferred is true if the entry deferred the job until enough resources stayed free.
	Deferred bool
}

// LastTask returns the task that ended last; ok is false if the logs lack its start at the entry or its
// end at the agent.
func (t *Timeline) LastTask() (late LastTask, ok bool) {
	end := t.lastLine("route: end", "", nil)
	if end == nil {
		return late, false
	}
	task := asString(end.Fields["task"])
	start := t.lastLine("route: start", task, end)
	atAgent := t.lastLine("agent: end done", task, nil)
	if start == nil || atAgent == nil {
		return late, false
	}
	late = LastTask{
		Task: task, Worker: asString(end.Fields["worker"]), Ran: asFloat(atAgent.Fields["age"]),
		StartDelay:   float64(start.At.Sub(t.Lines[0].At).Microseconds()) / 1000,
		ExpectedWait: asFloat(start.Fields["wait"]), Deferred: t.lastLine("route: defer", "", nil) != nil,
	}
	late.Waited = max(asFloat(end.Fields["age"])-late.Ran, 0)
	late.ExpectedRun = max(asFloat(start.Fields["expected"])-late.ExpectedWait, 0)
	return late, true
}

// lastLine returns the last line of an event. If given, task limits it to the lines of a task,
// and before to lines that are not later than another one. An end of a run counts only if the run
// was done.
func (t *Timeline) lastLine(event, task string, before *Line) *Line {
	for i := len(t.Lines) - 1; i >= 0; i-- {
		l := &t.Lines[i]
		switch {
		case l.Event != event, task != "" && asString(l.Fields["task"]) != task:
		case before != nil && l.At.After(before.At):
		case event == "route: end" && asString(l.Fields["how"]) != "done":
		default:
			return l
		}
	}
	return nil
}

// asFloat returns a JSON value as a number; 0 if it is none.
func asFloat(v any) float64 {
	n, _ := v.(float64)
	return n
}

// Cause names the part of the job's time that exceeded its expectation most.
func (l LastTask) Cause() string {
	waited, ran := l.Waited-l.ExpectedWait, l.Ran-l.ExpectedRun
	switch {
	case l.StartDelay >= waited && l.StartDelay >= ran && l.Deferred:
		return "the job was deferred until room stayed free"
	case l.StartDelay >= waited && l.StartDelay >= ran:
		return "its last run began late"
	case waited >= ran:
		return "it waited for room"
	}
	return "it ran long"
}

// String returns the line that explains a late end.
func (l LastTask) String() string {
	parts := []string{
		fmt.Sprintf("last to end: %s on %s", l.Task, l.Worker), fmt.Sprintf("began after %.1f ms", l.StartDelay),
		fmt.Sprintf("waited %.1f ms (%.1f expected)", l.Waited, l.ExpectedWait),
		fmt.Sprintf("ran %.1f ms (%.1f expected)", l.Ran, l.ExpectedRun), l.Cause(),
	}
	return strings.Join(parts, ", ")
}
