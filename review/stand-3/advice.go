package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases["queue-with-advice"] = queueWithAdvice }

// Times of the advice service.
const (
	decisionMillis, periodMillis, validityMillis = 20, 2, 3000
)

// advise is a sound stand-in for the advice service. All executors may run each step.
func (w *world) advise(rw http.ResponseWriter, req *http.Request) {
	var asked struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if req.URL.Path != "/advise" || json.NewDecoder(req.Body).Decode(&asked) != nil || len(asked.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration(decisionMillis+periodMillis*len(asked.Workers)) * time.Millisecond)
	good := [][]string{}
	w.mu.Lock()
	for _, id := range asked.Workers {
		ticket := fmt.Sprintf("%s-%08x", id, rand.Uint32())
		w.tickets[ticket] = true
		good = append(good, []string{id, ticket})
	}
	w.mu.Unlock()
	w.record.line("advice   about %s for %d executors", asked.Step, len(asked.Workers))
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"good": good, "validity_ms": validityMillis})
}

// queueWithAdvice: the operator gives a queue advice. Then a job is handed in.
func queueWithAdvice(rec *record, trouble bool) verdict {
	w, err := newWorld(rec, 3, 5, 16000)
	if err != nil {
		return cannot(err)
	}
	config := configuration(4, "r-main")
	if trouble {
		config["routes"].([]map[string]any)[0]["advice"] = map[string]int{"decision_ms": decisionMillis, "period_ms": periodMillis, "validity_ms": validityMillis}
		rec.line("operator gives the queue advice")
	}
	w.store.put("op", "config", config)
	time.Sleep(contact)
	id := newID()
	w.mu.Lock()
	w.advised[id] = trouble
	w.mu.Unlock()
	status := w.submit(w.entries[0], "r-main", id, chain(2, 300))
	if status != http.StatusOK {
		return verdict{held, fmt.Sprintf("the job was not accepted: %d", status)}
	}
	time.Sleep(finish14 + contact)
	_, state := w.state(w.entries[1], "r-main", id)
	if state == "done" {
		return verdict{held, "the job is done"}
	}
	return verdict{broken, fmt.Sprintf("LOST: %.0f s after the job was accepted %d of its tasks have started, its state is %q, and all executors are free", (finish14 + contact).Seconds(), len(w.startsOf(id)), state)}
}
