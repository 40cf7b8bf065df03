package runner

import (
	"fmt"
	"testing"
	"time"

	"peridotpick.example/wire/runs"
)

// sendDurable delivers a start of a durable job's task.
func (r *rig) sendDurable(now time.Time, task string) Output {
	r.Receive(now, 1, &runs.ToAgent{Clock: now.UnixNano(), Starts: []runs.Start{{
		Key: key(task), Need: small, Estimate: 100 * time.Millisecond, Slack: time.Second, Patience: time.Second, Durable: true,
	}}})
	return r.Flush(now)
}

// endDurable has a durable run start and end.
func (r *rig) endDurable(task string, how runs.How) {
	out := r.sendDurable(start, task)
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: Accepted, Clock: 5001})
	r.lookAt(after(10), Listing{Ended: []Ended{{Number: 1, Key: key(task), How: how}}})
}

func TestEndIsKeptUntilItIsStored(t *testing.T) {
	r := newRig(t)
	r.endDurable("j.0.0.0", runs.Done)
	end := ends(r.Flush(after(10)))[0]
	r.is.True(end.Held)
	look, _ := r.NextLook(after(20))
	r.is.Equal(look.LastSeen, int64(0)) // the worker must go on listing it
	r.Receive(after(30), 1, &runs.ToAgent{Noted: []runs.Key{key("j.0.0.0")}})
	look, ok := r.NextLook(after(40))
	r.is.True(ok)
	r.is.Equal(look.LastSeen, int64(1))
}

func TestKeptEndIsToldAgainOnANewLink(t *testing.T) {
	r := newRig(t)
	r.endDurable("j.0.0.0", runs.Done)
	r.Flush(after(10))
	r.LinkDown(after(20), 1)
	r.LinkUp(after(30), 2, entry)
	r.is.Equal(len(ends(r.Flush(after(30)))), 1)
}

func TestEntriesAreAskedAboutAnEndThatIsNotStored(t *testing.T) {
	r := newRig(t)
	r.endDurable("j.0.0.0", runs.Done)
	r.Flush(after(10))
	r.beat(after(300))
	r.Tick(after(600))
	out := r.Flush(after(600))
	r.is.Equal(len(out.Sends[0].Msg.Unowned), 1)
}

// TestOutageOfTheStoreDoesNotFillTheWorkersList: ends that nobody can settle are
// given up before the worker hides later ones.
func TestOutageOfTheStoreDoesNotFillTheWorkersList(t *testing.T) {
	r := newRig(t)
	var listing Listing
	for n := range heldLimit {
		listing.Ended = append(listing.Ended, Ended{Number: int64(n + 1), Key: key(fmt.Sprintf("j%d.0.0.0", n)), How: runs.Done})
	}
	r.endDurable("j.0.0.0", runs.Done)
	r.sendDurable(after(15), "k.0.0.0") // the worker is looked at while something runs
	r.lookAt(after(20), listing)
	for ms := 40; ms < 2000; ms += 20 {
		r.beat(after(ms))
		r.Tick(after(ms))
		if look, ok := r.NextLook(after(ms)); ok {
			r.Looked(after(ms), look, Answer{Verdict: Accepted, Clock: 5000 + int64(ms)}, Listing{})
		}
	}
	r.is.Equal(r.held.Len(), 0)
	r.is.Equal(r.outOfUse(), false)
}

func TestRunMissingInACutListingMayHaveEnded(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1")
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: Accepted, Clock: 5001})
	r.lookAt(after(50), Listing{Cut: true})
	r.is.Equal(len(ends(r.Flush(after(50)))), 0)
	r.lookAt(after(60), Listing{})
	r.is.Equal(ends(r.Flush(after(60)))[0].How, runs.Gone)
}

func TestVoidEndIsForgottenOnceTheLeaseHasEnded(t *testing.T) {
	r := newRig(t)
	r.endDurable("j.0.0.0", runs.Done)
	r.Flush(after(10))
	r.Receive(after(20), 1, &runs.ToAgent{Clock: after(20).UnixNano(), Void: []runs.Key{key("j.0.0.0")}})
	r.is.Equal(r.Flush(after(20)).Sends[0].Msg.Worker.ID, "") // nothing new may go there
	ended := 0
	for ms := 40; ms < 2000; ms += 20 {
		r.beat(after(ms))
		r.Tick(after(ms))
		look, ok := r.NextLook(after(ms))
		if !r.lapsing() {
			ended = ms
			break
		}
		if ok {
			r.is.Equal(look.Deadline, int64(0)) // nothing renews the lease
			r.is.Equal(look.LastSeen, int64(0))
			r.Looked(after(ms), look, Answer{Verdict: Accepted, Clock: 5000 + int64(ms)}, Listing{
				Ended: []Ended{{Number: 1, Key: key("j.0.0.0"), How: runs.Done}},
			})
		}
		r.Flush(after(ms))
	}
	r.is.True(ended > 800) // the lease that the start took
	look, ok := r.NextLook(after(2100))
	r.is.True(ok)
	r.is.Equal(look.LastSeen, int64(1))
}
