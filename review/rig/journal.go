package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// taskEvent is the start or the end of a run at a worker.
type taskEvent struct {
	at     time.Duration
	what   string
	worker string
	task   string
	run    uint32
	how    string
}

// journal records what was sent, answered and run. It is written to record.txt at the end.
type journal struct {
	mu     sync.Mutex
	start  time.Time
	lines  []string
	events []taskEvent
}

func newJournal() *journal { return &journal{start: time.Now()} }

func (j *journal) now() time.Duration { return time.Since(j.start) }

// note adds a line.
func (j *journal) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, fmt.Sprintf("%8.3f s  ", j.now().Seconds())+fmt.Sprintf(format, args...))
}

// say adds a line and prints it.
func (j *journal) say(format string, args ...any) {
	j.note(format, args...)
	fmt.Printf("%8.3f s  %s\n", j.now().Seconds(), fmt.Sprintf(format, args...))
}

// add records an event at a worker.
func (j *journal) add(what, worker, task string, run uint32, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := taskEvent{at: j.now(), what: what, worker: worker, task: task, run: run, how: how}
	j.events = append(j.events, e)
	j.lines = append(j.lines, fmt.Sprintf("%8.3f s  %s %s run %d at %s %s", e.at.Seconds(), what, task, run, worker, how))
}

// snapshot returns the events so far.
func (j *journal) snapshot() []taskEvent {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]taskEvent(nil), j.events...)
}

// write writes all lines to a file.
func (j *journal) write(path string) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	for _, l := range j.lines {
		_, _ = fmt.Fprintln(w, l)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}
