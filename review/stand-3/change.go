package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["handed-in-beside-a-change"] = handedInBesideAChange }

// Rounds of handedInBesideAChange: in each the clients use another route, which the operator removes at its end.
const (
	changeRounds = 16
	roundLength  = time.Second
	thinkTime    = 90 * time.Millisecond
)

// handedInBesideAChange: clients hand jobs in on a route while the operator removes it. They go to the next route
// once they are answered 404.
func handedInBesideAChange(rec *record, trouble bool) verdict {
	w, err := newWorld(rec, 3, 5, 16000)
	if err != nil {
		return cannot(err)
	}
	routes := []string{"r-main"}
	for n := range changeRounds {
		routes = append(routes, fmt.Sprintf("r-%d", n))
	}
	w.store.put("op", "config", configuration(5, routes...))
	rec.line("operator adds %d routes", changeRounds)
	time.Sleep(2500 * time.Millisecond)
	var mu sync.Mutex
	var accepted []string
	var clients sync.WaitGroup
	stop := time.Now().Add(changeRounds*roundLength + contact)
	for i := range 24 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for round := 0; round < changeRounds && time.Now().Before(stop); {
				id := newID()
				steps := []step{{Count: 1, CPU: 1600, Memory: 64, Estimate: 40, work: 40 * time.Millisecond}}
				switch w.submit(w.entries[i%3], routes[1+round], id, steps) {
				case http.StatusNotFound:
					round++
				case http.StatusOK:
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
				time.Sleep(thinkTime)
			}
		}()
	}
	for n := range changeRounds {
		time.Sleep(roundLength)
		if trouble {
			w.store.put("op", "config", configuration(8+3*n, append([]string{"r-main"}, routes[2+n:]...)...))
			rec.line("operator removes the route %s", routes[1+n])
		}
	}
	clients.Wait()
	rec.line("client   the traffic has ended, %d jobs were accepted", len(accepted))
	time.Sleep(finish14 + idleBound)
	var open []string
	for _, id := range accepted {
		if !w.isDone(id) {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return verdict{held, fmt.Sprintf("all %d jobs are done", len(accepted))}
	}
	started := 0
	for _, id := range open {
		rec.line("client   job %s was accepted and is not done; %d starts", id, len(w.startsOf(id)))
		started += len(w.startsOf(id))
	}
	for _, e := range w.entries {
		w.state(e, routes[1], open[0])
	}
	return verdict{broken, fmt.Sprintf("LOST: %d of %d accepted jobs are not done %.0f s after the traffic, with %d starts, and all executors are free", len(open), len(accepted), (finish14 + idleBound).Seconds(), started)}
}
