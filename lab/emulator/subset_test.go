package emulator

import (
	"fmt"
	"testing"
	"time"
)

// turns has one agent work with other entries, some of those it worked with among them.
func turns(w *world) {
	a := w.agents[w.rand.IntN(len(w.agents))]
	chosen := make(map[string]bool)
	for len(chosen) < subsetSize {
		chosen[w.entries[w.rand.IntN(len(w.entries))].address] = true
	}
	a.chosen = chosen
}

// Sizes of the schedules with subsets: small, so that most entries do not know most agents.
const (
	subsetSize    = 2
	subsetEntries = 5
)

// playSubsets runs one schedule in which each agent works with two of five entries, and
// turns to others while runs are under way. Half of the jobs are durable.
func playSubsets(seed uint64) *world {
	l := testLayout()
	l.centres = []centre{{name: "d", entries: subsetEntries, workers: 4}}
	w := newWorld(seed, l)
	w.story = *oneSeed != 0
	for range w.agents {
		turns(w)
	}
	for n := range 80 {
		at := time.Duration(w.rand.Int64N(int64(8 * time.Second)))
		tasks := 1 + w.rand.IntN(5)
		w.after(at, func() { w.submit(testDurable(w, fmt.Sprintf("d%015x", n), tasks)) })
		w.after(at, func() { w.submit(testJob(w, fmt.Sprintf("%016x", n), 1+tasks/2, 2)) })
	}
	for range 20 {
		w.after(time.Duration(w.rand.Int64N(int64(9*time.Second))), func() { turns(w) })
	}
	drawFaults(w, 3)
	w.run(30 * time.Second)
	return w
}

// TestSubsetSchedules: entries that see a part of the agents keep all promises while
// agents turn to other entries, and what they accepted for good ends.
func TestSubsetSchedules(t *testing.T) {
	accepted, done := 0, 0
	playSeeds(t, *seeds/3, playSubsets, func(w *world) {
		accepted += checkEnded(w)
		done += w.checks.done
	})
	t.Logf("%d durable jobs ended, %d awaited jobs done", accepted, done)
}

// TestTurningAgentsServe: without faults, turning alone loses no job.
func TestTurningAgentsServe(t *testing.T) {
	l := testLayout()
	l.centres = []centre{{name: "d", entries: subsetEntries, workers: 8}}
	w := newWorld(3, l)
	for n := range 100 {
		w.after(time.Second+time.Duration(n)*50*time.Millisecond, func() { w.submit(testJob(w, fmt.Sprintf("%016x", n), 1, 1)) })
	}
	for n := range 40 {
		w.after(time.Second+time.Duration(n)*100*time.Millisecond, func() { turns(w) })
	}
	w.run(10 * time.Second)
	for _, b := range w.checks.broken {
		t.Error(b)
	}
	if w.checks.done < 95 {
		t.Errorf("%d of 100 jobs done", w.checks.done)
	}
}
