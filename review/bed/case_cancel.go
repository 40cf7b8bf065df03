package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { plays["early-cancel"] = playEarlyCancel }

const (
	// cancelBound is the platform's `cancel_ms`.
	cancelBound = 3 * time.Second
	// shifts is how often the clients of a zone move, shiftTime how long they stay away.
	shifts    = 3
	shiftTime = 6500 * time.Millisecond
	// movingClients is the number of clients that have just had a job accepted when they move.
	movingClients = 12
)

// cancelled is a job whose cancelling was acknowledged.
type cancelled struct {
	name   string
	status int
	at     time.Time
}

// postAndCancel has a client submit a job at one entry and cancel it at another, 5 to 40 ms after it
// was accepted. ok is false if one of the two was not acknowledged.
func postAndCancel(d *deployment, j job, post, cancel *machine) (c cancelled, ok bool) {
	c.name = newName()
	if status, _ := d.call(post, http.MethodPost, prefix+c.name, j, 1500*time.Millisecond); status != http.StatusOK {
		return c, false
	}
	time.Sleep(time.Duration(5+rand.IntN(35)) * time.Millisecond)
	c.status, _ = d.call(cancel, http.MethodDelete, prefix+c.name, nil, 1500*time.Millisecond)
	c.at = time.Now()
	return c, c.status == http.StatusOK || c.status == http.StatusGone
}

// playEarlyCancel has clients cancel jobs soon after they were accepted, while the clients of a zone
// move to another one. Without the disruption they cancel at the entry that has accepted the job.
func playEarlyCancel(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 3, 4)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.configure(prefix); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	work := chain(10, 1, 700*time.Millisecond)
	home, other := d.entries[0], d.entries[1]
	if !trouble {
		other = home
	}
	var (
		mu   sync.Mutex
		acks []cancelled
	)
	for n := range shifts {
		rec.say("%d clients submit at %s and cancel at %s", movingClients, home.name, other.name)
		var group sync.WaitGroup
		for range movingClients {
			group.Go(func() {
				if c, ok := postAndCancel(d, work, home, other); ok {
					mu.Lock()
					acks = append(acks, c)
					mu.Unlock()
				}
			})
		}
		group.Wait()
		if n < shifts-1 {
			time.Sleep(shiftTime)
		}
	}
	time.Sleep(10 * time.Second)
	late := 0
	for _, a := range acks {
		for _, r := range d.runs.ofJob(a.name) {
			if after := r.Began.Sub(a.at); after > cancelBound {
				late++
				rec.say("job %s: its DELETE was answered with %d, and %s was started %.1f s later", a.name, a.status, r.Task, after.Seconds())
				break
			}
		}
	}
	rec.say("%d of %d jobs whose cancelling was acknowledged went on for more than %v", late, len(acks), cancelBound)
	return late > 0, nil
}
