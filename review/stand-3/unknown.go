package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["accepted-job-unknown"] = acceptedJobUnknown }

const (
	visible    = 3 * time.Second         // visible_ms
	turnedAway = 9 * time.Second         // platform_down, nodes, for_s
	handedIn   = 3600 * time.Millisecond // after the beginning of the disruption
)

// acceptedJobUnknown: the store leaves one machine without responses for a while and serves the others. A job is
// handed in there, and then, after a 504, at another entry, which accepts it. Later the first entry is asked for it.
func acceptedJobUnknown(rec *record, trouble bool) verdict {
	w, err := newWorld(rec, 3, 5, 16000)
	if err != nil {
		return cannot(err)
	}
	turned, other := w.entries[0], w.entries[1]
	began := time.Now()
	if trouble {
		rec.line("trouble  the store responds no more to %s", turned.name)
		turned.front.mode.Store(silent)
	}
	time.Sleep(handedIn)
	id := newID()
	steps := chain(60, 200)
	status := w.submit(turned, "r-main", id, steps)
	if status != http.StatusOK {
		status = w.submit(other, "r-main", id, steps)
	}
	if status != http.StatusOK {
		return verdict{couldNotRun, "the job was not accepted"}
	}
	accepted := time.Now()
	time.Sleep(turnedAway - time.Since(began))
	if trouble {
		rec.line("trouble  the store responds to %s again", turned.name)
		turned.front.mode.Store(sound)
	}
	inTouch := time.Now().Add(contact)
	gone, asked := 0, 0
	for time.Since(inTouch) < 3*time.Second {
		time.Sleep(100 * time.Millisecond)
		sent := time.Now()
		status, _ := w.state(turned, "r-main", id)
		if sent.Before(inTouch) || sent.Sub(accepted) < visible {
			continue
		}
		asked++
		if status == http.StatusGone {
			gone++
		}
	}
	if gone > 0 {
		return verdict{broken, fmt.Sprintf("LOST: %d of %d questions for an accepted job were answered 410, by a machine in touch", gone, asked)}
	}
	return verdict{held, fmt.Sprintf("none of %d questions was answered 410", asked)}
}
