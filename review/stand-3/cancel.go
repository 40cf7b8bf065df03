package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	cancelBound = 3 * time.Second         // cancel_ms
	cutLength   = 5500 * time.Millisecond // core_cut, for_s
)

func init() {
	cases["cancel-beside-a-cut"] = cancelBesideACut
	cases["cancel-of-an-unknown-job"] = cancelOfAnUnknownJob
}

// lateStarts returns the starts of a job later than cancelBound after its cancelling was acknowledged.
func lateStarts(w *world, id string, acknowledged time.Time) (list []start) {
	for _, s := range w.startsOf(id) {
		if s.at.Sub(acknowledged) > cancelBound {
			list = append(list, s)
		}
	}
	return list
}

// judgeCancel reports whether UNASKED was kept after a cancelling that was acknowledged.
func judgeCancel(w *world, id string, acknowledged time.Time) verdict {
	late := lateStarts(w, id, acknowledged)
	if len(late) == 0 {
		return verdict{held, "no task started later than cancel_ms after the cancelling was acknowledged"}
	}
	last := late[len(late)-1].at.Sub(acknowledged)
	return verdict{broken, fmt.Sprintf("UNASKED: %d tasks started later than cancel_ms after the cancelling was acknowledged, the last of them %.1f s later than that", len(late), (last - cancelBound).Seconds())}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// cancelBesideACut: the entry that runs a job is partitioned from the store; the client cancels the job at
// another entry, which acknowledges that.
func cancelBesideACut(rec *record, trouble bool) verdict {
	w, err := newWorld(rec, 3, 5, 16000)
	if err != nil {
		return cannot(err)
	}
	id := newID()
	owner, other := w.entries[0], w.entries[1]
	if status := w.submit(owner, "r-main", id, chain(40, 200)); status != http.StatusOK {
		return verdict{couldNotRun, "the job was not accepted"}
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		rec.line("trouble  %s is partitioned from the store", owner.name)
		owner.store.cutOff()
	}
	time.Sleep(100 * time.Millisecond)
	status, _ := w.call(other, http.MethodDelete, "/r-main/"+id, nil)
	acknowledged := time.Now()
	if status != http.StatusOK && status != http.StatusGone {
		return verdict{couldNotRun, "the cancelling was not acknowledged"}
	}
	time.Sleep(cutLength - 100*time.Millisecond)
	if trouble {
		rec.line("trouble  the partition ends")
		owner.store.heal()
	}
	time.Sleep(5 * time.Second)
	w.state(other, "r-main", id)
	return judgeCancel(w, id, acknowledged)
}

// cancelOfAnUnknownJob: a job is handed in at an entry that is partitioned from the store. The client gets no
// success within its deadline and cancels the job at another entry.
func cancelOfAnUnknownJob(rec *record, trouble bool) verdict {
	w, err := newWorld(rec, 3, 5, 16000)
	if err != nil {
		return cannot(err)
	}
	cutEntry, other := w.entries[0], w.entries[1]
	if trouble {
		rec.line("trouble  %s is partitioned from the store", cutEntry.name)
		cutEntry.store.cutOff()
	}
	began := time.Now()
	time.Sleep(100 * time.Millisecond)
	id := newID()
	w.submit(cutEntry, "r-main", id, chain(10, 900))
	status, _ := w.call(other, http.MethodDelete, "/r-main/"+id, nil)
	acknowledged := time.Now()
	if status != http.StatusOK && status != http.StatusGone {
		return verdict{couldNotRun, "the cancelling was not acknowledged"}
	}
	time.Sleep(cutLength - time.Since(began))
	if trouble {
		rec.line("trouble  the partition ends")
		cutEntry.store.heal()
	}
	healed := time.Now()
	time.Sleep(9 * time.Second)
	w.state(other, "r-main", id)
	// Only starts with everything in touch again count.
	return judgeCancel(w, id, later(acknowledged, healed.Add(contact-cancelBound)))
}
