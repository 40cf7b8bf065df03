package runner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/wire/runs"
)

// endingWorker lists the ends that it has not been told to forget, the oldest first and a limited number.
type endingWorker struct {
	ends []Ended
	last int64
}

// longTask runs all the while, so that the worker is polled.
const longTask = "long.0.0.0"

// maxWorkerEnds is the number of ends in a listing of a worker.
const maxWorkerEnds = 500

func (w *endingWorker) end(task string, outcome runs.Outcome) {
	w.last++
	w.ends = append(w.ends, Ended{Number: w.last, Key: key(task), Outcome: outcome})
}

func (w *endingWorker) list(ackUpTo int64) Listing {
	for len(w.ends) > 0 && w.ends[0].Number <= ackUpTo {
		w.ends = w.ends[1:]
	}
	running := []Running{{Key: key(longTask)}}
	if len(w.ends) <= maxWorkerEnds {
		return Listing{Running: running, Ended: w.ends}
	}
	return Listing{Running: running, Ended: w.ends[:maxWorkerEnds], Truncated: true}
}

// playEnds has 5,000 runs end. An entry answers for all of them but those of the job "stuck", which no entry
// answers for. It returns for how many ticks of 20 ms the worker got nothing, out of how many.
func playEnds(h *harness, stuck runs.Outcome, stuckAt int) (unavailable, ticks int) {
	w := &endingWorker{}
	h.OrderAnswered(after(1), h.sendDurable(start, longTask).Orders[0], Answer{Status: Accepted, Clock: 5001})
	for ended := 0; ended < 5000 || len(w.ends) > 3; ticks++ {
		now := after(20 * (ticks + 1))
		for n := 0; n < 10 && ended < 5000; n++ {
			ended++
			task, outcome := fmt.Sprintf("j%d.0.0.0", ended), runs.OutcomeDone
			if ended == stuckAt {
				task, outcome = "stuck.0.0.0", stuck
			}
			w.end(task, outcome)
		}
		h.heartbeat(now)
		if poll, ok := h.NextPoll(now); ok {
			h.PollAnswered(now, poll, Answer{Status: Accepted, Clock: 5000 + now.Sub(start).Milliseconds()}, w.list(poll.AckUpTo))
		}
		h.Tick(now)
		if h.isUnavailable() {
			unavailable++
		}
		answered := &runs.ToAgent{Clock: now.UnixNano()}
		for _, s := range h.Flush(now).Sends {
			for _, end := range s.Msg.UnownedEnds {
				if !strings.HasPrefix(end.Key.Task, "stuck") {
					answered.AckedEnds = append(answered.AckedEnds, end.Key)
				}
			}
		}
		h.Receive(now, 1, answered)
		if ticks > 3000 {
			return unavailable, ticks // the newer ends are never seen
		}
	}
	return unavailable, ticks
}

// TestEndThatNobodyAnswersForDoesNotHideLaterOnes guards against workers that stand still for good: one end
// that is held makes the worker list it and all later ones, and it lists a limited number.
func TestEndThatNobodyAnswersForDoesNotHideLaterOnes(t *testing.T) {
	for _, c := range []struct {
		outcome runs.Outcome
		// longest is for how long the worker may get nothing.
		longest time.Duration
	}{
		{runs.OutcomeStopped, 0}, {runs.OutcomeGone, 0},
		{runs.OutcomeDone, 2 * time.Second}, {runs.OutcomeFailed, 2 * time.Second}, // until its lease has ended, once
	} {
		for _, at := range []int{1, 700, 4999} {
			t.Run(fmt.Sprintf("%v at %d", c.outcome, at), func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t)
				unavailable, ticks := playEnds(h, c.outcome, at)
				is.Equal(h.worker.lastEndNumber, int64(5000)) // all ends were seen
				is.True(ticks < 1000)
				is.True(time.Duration(unavailable)*20*time.Millisecond <= c.longest)
				is.True(h.held.Len() <= 1)
				is.True(!h.isUnavailable())
			})
		}
	}
}
