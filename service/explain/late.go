package explain

import (
	"fmt"
	"strings"
)

// Slowest is the task that ended last, which decides when its job ends. Times are
// in ms.
type Slowest struct {
	Task, Worker string
	// Begun is the time from the job's first line to the last start of the task,
	// which is long if earlier runs of it did not complete.
	Begun float64
	// Waited is the time that the last run waited at its agent for room, Ran the time
	// at the worker. Expected are those that the entry expected.
	Waited, Ran, ExpectedWait, ExpectedRun float64
	// Deferred is true if the job had to wait for room that stays free.
	Deferred bool
}

// Late returns the task that ended last; ok is false if the logs lack its start,
// or its end at the agent.
func (s *Story) Late() (late Slowest, ok bool) {
	end := s.last("route: end", "", nil)
	if end == nil {
		return late, false
	}
	task := text(end.Fields["task"])
	start := s.last("route: start", task, end)
	atAgent := s.last("agent: end done", task, nil)
	if start == nil || atAgent == nil {
		return late, false
	}
	late = Slowest{
		Task: task, Worker: text(end.Fields["worker"]), Ran: number(atAgent.Fields["age"]),
		Begun:        float64(start.At.Sub(s.Lines[0].At).Microseconds()) / 1000,
		ExpectedWait: number(start.Fields["wait"]), Deferred: s.last("route: defer", "", nil) != nil,
	}
	late.Waited = max(number(end.Fields["age"])-late.Ran, 0)
	late.ExpectedRun = max(number(start.Fields["expected"])-late.ExpectedWait, 0)
	return late, true
}

// last returns the last line of an event, of a task if one is given, that is not
// after another line. Ends count only if their run was done.
func (s *Story) last(event, task string, before *Line) *Line {
	for i := len(s.Lines) - 1; i >= 0; i-- {
		l := &s.Lines[i]
		switch {
		case l.Event != event, task != "" && text(l.Fields["task"]) != task:
		case before != nil && l.At.After(before.At):
		case event == "route: end" && text(l.Fields["how"]) != "done":
		default:
			return l
		}
	}
	return nil
}

func number(v any) float64 {
	n, _ := v.(float64)
	return n
}

// Cause names what took most of the time beyond what was expected.
func (l Slowest) Cause() string {
	waited, ran := l.Waited-l.ExpectedWait, l.Ran-l.ExpectedRun
	switch {
	case l.Begun >= waited && l.Begun >= ran && l.Deferred:
		return "the job was deferred until room stayed free"
	case l.Begun >= waited && l.Begun >= ran:
		return "its last run began late"
	case waited >= ran:
		return "it waited for room"
	}
	return "it ran long"
}

// String returns the line that explains a late end.
func (l Slowest) String() string {
	parts := []string{
		fmt.Sprintf("last to end: %s on %s", l.Task, l.Worker), fmt.Sprintf("began after %.1f ms", l.Begun),
		fmt.Sprintf("waited %.1f ms (%.1f expected)", l.Waited, l.ExpectedWait),
		fmt.Sprintf("ran %.1f ms (%.1f expected)", l.Ran, l.ExpectedRun), l.Cause(),
	}
	return strings.Join(parts, ", ")
}
