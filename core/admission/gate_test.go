package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	begin  = time.Unix(1000, 0)
	urgent = Queue{Name: "urgent", Service: "s", Priority: 0}
	less   = Queue{Name: "less", Service: "s", Priority: 1}
	least  = Queue{Name: "least", Service: "s", Priority: 2}
	apart  = Queue{Name: "apart", Service: "t", Priority: 2}
)

// offer records n jobs of one core-second that can wait for 100 ms.
func offer(g *Gate, now time.Time, q Queue, n int) {
	for range n {
		g.Offered(now, Job{Queue: q, Work: 1000}, 100*time.Millisecond)
	}
}

// waiting is the forecast of a job with much slack behind waiting work.
func waiting(behindAll time.Duration) Forecast {
	return Forecast{Wait: time.Millisecond, WaitBehindAll: behindAll, Slack: time.Second}
}

func TestJobsThatWouldWaitTooLongAreRefused(t *testing.T) {
	is := is.New(t)
	g := NewGate(DefaultFloor)
	is.Equal(g.Decide(begin, Job{Queue: urgent}, Forecast{Wait: 50 * time.Millisecond, Slack: 100 * time.Millisecond}), Admit)
	is.Equal(g.Decide(begin, Job{Queue: urgent}, Forecast{Wait: 51 * time.Millisecond, Slack: 100 * time.Millisecond}), NoTime)
	is.Equal(g.Decide(begin, Job{Queue: urgent}, Forecast{Slack: -time.Millisecond}), NoTime)
}

// TestQueueGivesWayBeforeMoreUrgentOnesAreRefused: the less urgent a queue is, the sooner it stops to
// admit, and all of them before the most urgent one, whose jobs may wait for 50 ms.
func TestQueueGivesWayBeforeMoreUrgentOnesAreRefused(t *testing.T) {
	is := is.New(t)
	g := NewGate(DefaultFloor)
	for _, q := range []Queue{urgent, less, least} {
		offer(g, begin, q, 20)
	}
	for _, c := range []struct {
		q     Queue
		limit time.Duration
	}{{less, 37 * time.Millisecond}, {least, 28 * time.Millisecond}} {
		is.Equal(g.Decide(begin, Job{Queue: c.q}, waiting(c.limit)), Admit)
		is.Equal(g.Decide(begin, Job{Queue: c.q}, waiting(c.limit+time.Millisecond)), GiveWay)
	}
	is.Equal(g.Decide(begin, Job{Queue: urgent}, waiting(50*time.Millisecond)), Admit)
	is.Equal(g.Decide(begin, Job{Queue: apart}, waiting(time.Second/2)), Admit) // of another service
}

func TestQueueTakesResourcesForWhichNobodyWaits(t *testing.T) {
	is := is.New(t)
	g := NewGate(DefaultFloor)
	offer(g, begin, urgent, 20)
	g.Lost(begin, Job{Queue: urgent, Work: 20000})
	is.Equal(g.Decide(begin, Job{Queue: least}, Forecast{Slack: time.Second}), Admit)
}

func TestQueueDoesNotGiveWayToASilentOne(t *testing.T) {
	is := is.New(t)
	g := NewGate(DefaultFloor)
	offer(g, begin, urgent, 20)
	is.Equal(g.Decide(begin, Job{Queue: less}, waiting(100*time.Millisecond)), GiveWay)
	is.Equal(g.Decide(begin.Add(20*time.Second), Job{Queue: less}, waiting(100*time.Millisecond)), Admit)
}

// TestQueueKeepsItsFloor: a queue that has lost as much more than an urgent one as the operator
// allows no longer gives way.
func TestQueueKeepsItsFloor(t *testing.T) {
	is := is.New(t)
	for _, floor := range []float64{0.3, DefaultFloor, 1} {
		g := NewGate(floor)
		offer(g, begin, urgent, 100)
		offer(g, begin, less, 100)
		lost := 0
		for g.Decide(begin, Job{Queue: less}, waiting(100*time.Millisecond)) == GiveWay {
			g.Lost(begin, Job{Queue: less, Work: 1000})
			lost++
		}
		is.True(lost < 100)
		is.True(float64(lost) >= (1-floor)*100) // and no sooner
	}
}

// TestLossesOfUrgentQueuesLowerTheFloor: the floor is a share of what more urgent queues get, so that
// it can be kept whatever the load.
func TestLossesOfUrgentQueuesLowerTheFloor(t *testing.T) {
	is := is.New(t)
	g := NewGate(1)
	offer(g, begin, urgent, 100)
	offer(g, begin, less, 100)
	g.Lost(begin, Job{Queue: less, Work: 20000})
	is.Equal(g.Decide(begin, Job{Queue: less}, waiting(100*time.Millisecond)), Admit)
	g.Lost(begin, Job{Queue: urgent, Work: 50000})
	is.Equal(g.Decide(begin, Job{Queue: less}, waiting(100*time.Millisecond)), GiveWay)
}

// TestLessUrgentQueuesNeverWaitLonger checks the order of priorities for all loads: what a queue is
// allowed to wait behind never exceeds what a more urgent one of the same slack is.
func TestLessUrgentQueuesNeverWaitLonger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGate(0)
		queues := []Queue{urgent, less, least}
		for _, q := range queues {
			for range rapid.IntRange(0, 20).Draw(t, "jobs") {
				slack := time.Duration(rapid.IntRange(1, 1000).Draw(t, "slack")) * time.Millisecond
				g.Offered(begin, Job{Queue: q, Work: float64(rapid.IntRange(10, 5000).Draw(t, "work"))}, slack)
			}
		}
		f := waiting(time.Duration(rapid.IntRange(1, 2000).Draw(t, "behind")) * time.Millisecond)
		for i, q := range queues[:2] {
			if g.Decide(begin, Job{Queue: q}, f) == GiveWay && g.Decide(begin, Job{Queue: queues[i+1]}, f) == Admit {
				t.Fatalf("%s gives way and %s does not", q.Name, queues[i+1].Name)
			}
		}
	})
}

// TestPromisesEndOnceTheyAreNotKept: at most a fifth of the promises may be broken or open.
func TestPromisesEndOnceTheyAreNotKept(t *testing.T) {
	is := is.New(t)
	g := NewGate(DefaultFloor)
	made := 0
	for ; g.MayPromise(begin, urgent); made++ {
		g.Promised(begin, urgent)
	}
	is.True(made > 0 && made < 10)
	for range made {
		g.Resolved(begin, urgent, Broken)
	}
	is.True(!g.MayPromise(begin, urgent))
	is.True(g.MayPromise(begin, less))
	is.True(g.MayPromise(begin.Add(10*time.Second), urgent)) // old ones do not count
}

func TestKeptPromisesAllowMore(t *testing.T) {
	is := is.New(t)
	g := NewGate(DefaultFloor)
	most := 0
	for range 200 {
		open := 0
		for ; g.MayPromise(begin, urgent); open++ {
			g.Promised(begin, urgent)
		}
		is.True(open >= most)
		most = open
		for range open {
			g.Resolved(begin, urgent, Kept)
		}
		if most > 100 {
			return
		}
	}
	t.Fatal("the number of open promises does not rise")
}

func TestWithdrawnPromiseDoesNotCount(t *testing.T) {
	is := is.New(t)
	g := NewGate(DefaultFloor)
	for range 1000 {
		is.True(g.MayPromise(begin, urgent))
		g.Promised(begin, urgent)
		g.Resolved(begin, urgent, Withdrawn)
	}
}
