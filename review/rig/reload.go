package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Times and rates of the reload play.
const (
	loadTime     = 75 * time.Second
	downTime     = 1400 * time.Millisecond
	recoveryTime = 12 * time.Second // recovery_s
	judgedTime   = 8 * time.Second
	// Clients ask for the state of a job at random intervals between these.
	minPollInterval = 500 * time.Millisecond
	maxPollInterval = 2500 * time.Millisecond
	jobDeadline     = 1500 * time.Millisecond
)

// class is a kind of job, at the rate of a small deployment.
type class struct {
	perSecond float64
	count     int
	length    time.Duration
}

var classes = []class{{150, 1, 200 * time.Millisecond}, {100, 1, 3 * time.Second}}

// tally counts the calls of clients in one phase.
type tally struct{ posts, accepted, gets, answered atomic.Int64 }

func (t *tally) String() string {
	return fmt.Sprintf("%d of %d jobs accepted, %d of %d questions answered", t.accepted.Load(), t.posts.Load(), t.answered.Load(), t.gets.Load())
}

func (t *tally) share() float64 {
	return float64(t.accepted.Load()+t.answered.Load()) / float64(max(t.posts.Load()+t.gets.Load(), 1))
}

// traffic submits jobs and asks for their states until it is stopped.
type traffic struct {
	d       *deployment
	clients []*client
	phase   atomic.Pointer[tally]
	quit    chan struct{}
	wait    sync.WaitGroup
	open    atomic.Int64
}

func (d *deployment) startTraffic() *traffic {
	t := &traffic{d: d, quit: make(chan struct{})}
	t.phase.Store(new(tally))
	for _, p := range d.entries {
		t.clients = append(t.clients, d.clientOf(p))
	}
	for _, c := range classes {
		t.wait.Add(1)
		go t.submit(c)
	}
	return t
}

// next begins a phase and returns the counts of the previous one.
func (t *traffic) next() *tally { return t.phase.Swap(new(tally)) }

func (t *traffic) end() {
	close(t.quit)
	t.wait.Wait()
}

// submit submits jobs of a class at its rate.
func (t *traffic) submit(c class) {
	defer t.wait.Done()
	began := time.Now()
	for n := 1; ; n++ {
		due := began.Add(time.Duration(float64(n) / c.perSecond * float64(time.Second)))
		select {
		case <-time.After(time.Until(due)):
		case <-t.quit:
			return
		}
		t.wait.Add(1)
		go t.runJob(c)
	}
}

// runJob submits a job and asks for its state until it has ended.
func (t *traffic) runJob(c class) {
	defer t.wait.Done()
	at := rand.IntN(len(t.clients))
	name := fmt.Sprintf("%016x", rand.Uint64())
	phase := t.phase.Load()
	phase.posts.Add(1)
	post := t.clients[at].call("POST", queuePrefix+name, jobOf(c.count, 250, c.length), jobDeadline)
	t.d.journal.note("POST %s at %s: %d", name, t.d.entries[at].name, post.status)
	if post.status != 200 {
		return
	}
	phase.accepted.Add(1)
	t.open.Add(1)
	defer t.open.Add(-1)
	for {
		select {
		case <-time.After(minPollInterval + rand.N(maxPollInterval-minPollInterval)):
		case <-t.quit:
			return
		}
		phase = t.phase.Load()
		phase.gets.Add(1)
		get := t.clients[at].call("GET", queuePrefix+name, nil, jobDeadline)
		if get.status == 200 {
			phase.answered.Add(1)
		}
		if get.status != 200 || get.state == "done" || get.state == "failed" {
			t.d.journal.note("GET %s at %s: %d %s", name, t.d.entries[at].name, get.status, get.state)
		}
		if get.status == 410 || get.state == "done" || get.state == "failed" {
			return
		}
	}
}

// playReload kills all entries at the same moment, after a minute of jobs that are kept.
func playReload(d *deployment, trouble bool) (bool, error) {
	time.Sleep(3 * time.Second)
	t := d.startTraffic()
	time.Sleep(loadTime)
	before := t.next()
	d.journal.say("before: %s; %d rows of jobs", before, d.store.count("jobs"))
	if trouble {
		d.journal.say("all entries are killed; %d accepted jobs have not ended", t.open.Load())
		for _, p := range d.entries {
			_ = p.cmd.Process.Kill()
		}
		time.Sleep(downTime)
		for _, p := range d.entries {
			<-p.done
			if err := d.start(p); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(recoveryTime)
	d.journal.say("recovery: %s", t.next())
	time.Sleep(judgedTime)
	after := t.next()
	d.journal.say("after: %s; calls of the store: %v", after, d.store.calls)
	t.end()
	if before.share() < 0.25 {
		return false, fmt.Errorf("too little was served before: %s", before)
	}
	return after.share() < 0.25, nil
}
