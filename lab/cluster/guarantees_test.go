package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/errkind"
	"peridotpick.example/lab/backendserver"
	"peridotpick.example/lab/caller"
	"peridotpick.example/lab/platformstandin"
)

// startCluster starts a deployment with three entries and four workers, which change may alter, waits
// until it is ready, and stops it when the test ends.
func startCluster(t *testing.T, change func(*Spec)) *Cluster {
	t.Helper()
	spec := Association()
	spec.Agents, spec.Entries, spec.Seed = 4, 3, 1
	spec.Document.Policy.MinAwake = spec.Agents
	if change != nil {
		change(&spec)
	}
	c, err := Start(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := c.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return c
}

// clientOf returns a client of an entry, by its number from 0, for the Association's team.
func (c *Cluster) clientOf(entry int) *caller.Client {
	return caller.New(c.Entries()[entry].Entry.Address(), AssociationTeam)
}

// newJob returns a job of n tasks of a kind; their ids in the journal are key/i.
func newJob(key, kind string, n int, runMs int) caller.Job {
	j := caller.Job{Deadline: "30s"}
	for i := range n {
		j.Tasks = append(j.Tasks, caller.Task{Service: AssociationService, Kind: kind,
			Payload: json.RawMessage(fmt.Sprintf(`{"runMs":%d,"id":"%s/%d"}`, runMs, key, i))})
	}
	return j
}

// checkResults checks that the results belong to the job's tasks, in order, and that each task was
// started once.
func checkResults(t *testing.T, c *Cluster, key string, j caller.Job, results []json.RawMessage) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(results), len(j.Tasks))
	for i, raw := range results {
		var result backendserver.Result
		is.NoErr(json.Unmarshal(raw, &result))
		is.Equal(result.Checksum, backendserver.Checksum(j.Tasks[i].Payload))
		is.Equal(c.Journal.StartsOf(fmt.Sprintf("%s/%d", key, i)), 1)
	}
}

// waitUntilClaimed waits until entry 1 can read a job that was submitted to entry 0: its claim is
// stored.
func (c *Cluster) waitUntilClaimed(key string) {
	for {
		if _, _, err := c.clientOf(1).Get(key, 0); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestResubmissionAfterEntryCrash guards against a second start of the tasks when a job is submitted
// again to another entry after its entry has crashed.
func TestResubmissionAfterEntryCrash(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	j := newJob("k1", "shift-close", 6, 700)
	firstAnswer := make(chan error, 1)
	go func() { _, err := c.clientOf(0).Submit("k1", j); firstAnswer <- err }()
	c.waitUntilClaimed("k1")
	c.Entries()[0].Kill()
	is.True(<-firstAnswer != nil)
	results, err := c.clientOf(1).Submit("k1", j)
	is.NoErr(err)
	checkResults(t, c, "k1", j, results)
}

// TestSimultaneousSubmissionsShareOneAnswer guards against double starts when the same job is
// submitted to all entries at once.
func TestSimultaneousSubmissionsShareOneAnswer(t *testing.T) {
	c := startCluster(t, nil)
	j := newJob("k2", "shift-close", 5, 100)
	var submissions sync.WaitGroup
	for entry := range 3 {
		submissions.Add(1)
		go func() {
			defer submissions.Done()
			results, err := c.clientOf(entry).Submit("k2", j)
			if err != nil {
				t.Error(err)
				return
			}
			checkResults(t, c, "k2", j, results)
		}()
	}
	submissions.Wait()
}

// TestKeyReuseForAnotherRequestIsAConflict guards against a request that is answered with the
// results of another one because both have the same idempotency key.
func TestKeyReuseForAnotherRequestIsAConflict(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	_, err := c.clientOf(0).Submit("k3", newJob("k3", "shift-close", 1, 10))
	is.NoErr(err)
	_, err = c.clientOf(1).Submit("k3", newJob("other", "shift-close", 1, 10))
	var failure *caller.Failure
	is.True(errors.As(err, &failure))
	is.Equal(failure.Kind(), errkind.KeyConflict)
	is.Equal(c.Journal.StartsOf("other/0"), 0)
}

// TestLostWriteAnswers guards against lost jobs and double starts when requests to the table service
// and its answers are lost, so that an entry does not know whether a write was applied.
func TestLostWriteAnswers(t *testing.T) {
	c := startCluster(t, nil)
	faults := c.TableFaults()
	faults.LoseAnswers, faults.DropRequests = 0.2, 0.1
	c.Table.SetFaults(faults)
	var submissions sync.WaitGroup
	for n := range 12 {
		submissions.Add(1)
		go func() {
			defer submissions.Done()
			key := fmt.Sprintf("lossy-%d", n)
			j := newJob(key, "shift-close", 3, 20)
			results, err := c.clientOf(n%3).Submit(key, j)
			if err != nil {
				t.Error(err)
				return
			}
			checkResults(t, c, key, j, results)
		}()
	}
	submissions.Wait()
}

// TestStoreOutage checks that repeatable calls go on during an outage of the table service, that jobs
// which need a claim are refused without a start, and that a resubmission after it runs once.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	c.Table.SetFaults(platformstandin.Faults{Down: true})
	_, err := c.clientOf(0).Call(AssociationService, "allergen-flag", "", 5*time.Second, []byte(`{"runMs":10}`))
	is.NoErr(err) // repeatable calls go on
	_, err = c.clientOf(0).Submit("k4", newJob("k4", "shift-close", 1, 10))
	var failure *caller.Failure
	is.True(errors.As(err, &failure))
	// The first claim may have been sent before the outage was known.
	is.True(failure.Kind() == errkind.StoreUnavailable || failure.Kind() == errkind.FateUnknown)
	is.True(failure.Ran != "ran")
	time.Sleep(4 * time.Second) // the entry knows of the outage by now and refuses without a write
	_, err = c.clientOf(0).Submit("k4b", newJob("k4b", "shift-close", 1, 10))
	is.Equal(errorKind(err), errkind.StoreUnavailable)
	is.Equal(c.Journal.StartsOf("k4/0")+c.Journal.StartsOf("k4b/0"), 0)
	c.Table.SetFaults(c.TableFaults())
	results, err := submitUntilAccepted(c, "k4")
	is.NoErr(err)
	is.Equal(len(results), 1)
	is.Equal(c.Journal.StartsOf("k4/0"), 1)
}

// submitUntilAccepted submits a job of one task to entry 0 again and again, as a caller does that
// obeys the retry time of refusals.
func submitUntilAccepted(c *Cluster, key string) ([]json.RawMessage, error) {
	for {
		results, err := c.clientOf(0).Submit(key, newJob(key, "shift-close", 1, 10))
		var failure *caller.Failure
		if errors.As(err, &failure) && failure.RetryAfterMs > 0 {
			time.Sleep(time.Duration(failure.RetryAfterMs) * time.Millisecond)
			continue
		}
		return results, err
	}
}

// TestStoppingBackendServerFinishesItsTasks guards against tasks that are cut off or started again
// when an agent drains, and against calls sent to it afterwards.
func TestStoppingBackendServerFinishesItsTasks(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, func(s *Spec) { s.Agents = 2 })
	j := newJob("k5", "shift-close", 12, 800)
	done := make(chan error, 1)
	var results []json.RawMessage
	go func() {
		var err error
		results, err = c.clientOf(0).Submit("k5", j)
		done <- err
	}()
	c.waitUntilClaimed("k5")
	leaving := c.RunningWorkers()[0]
	c.StopWorker(leaving.Worker)
	is.NoErr(<-done)
	checkResults(t, c, "k5", j, results)
	for n := range 8 {
		_, err := c.clientOf(n%3).Call(AssociationService, "allergen-flag", "", 5*time.Second, []byte(`{"runMs":5}`))
		is.NoErr(err)
	}
}

// TestStoppingEntryFinishesItsJobs guards against open requests that are cut off when an entry
// drains.
func TestStoppingEntryFinishesItsJobs(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	j := newJob("k6", "shift-close", 8, 900)
	done := make(chan error, 1)
	var results []json.RawMessage
	go func() {
		var err error
		results, err = c.clientOf(0).Submit("k6", j)
		done <- err
	}()
	c.waitUntilClaimed("k6")
	go c.Entries()[0].Stop()
	is.NoErr(<-done)
	checkResults(t, c, "k6", j, results)
}

// TestAcceptedJobSurvivesItsEntry guards against the loss of a job that was accepted without a waiting
// caller when its entry crashes.
func TestAcceptedJobSurvivesItsEntry(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	j := newJob("k7", "shift-close", 3, 300)
	is.NoErr(c.clientOf(0).SubmitAsync("k7", j))
	c.Entries()[0].Kill()
	for range 60 { // the sweep of another entry takes the job over once the entry counts as dead
		results, done, err := c.clientOf(1).Get("k7", 2*time.Second)
		is.NoErr(err)
		if done {
			checkResults(t, c, "k7", j, results)
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	t.Fatal("the accepted job was not resumed")
}

// TestCancel checks that a job is canceled at another entry than that which runs it.
func TestCancel(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	j := newJob("k8", "shift-close", 60, 400) // more than the slots
	firstAnswer := make(chan error, 1)
	go func() { _, err := c.clientOf(0).Submit("k8", j); firstAnswer <- err }()
	c.waitUntilClaimed("k8")
	canceled, err := c.clientOf(1).Cancel("k8") // at another entry
	is.NoErr(err)
	is.True(canceled)
	var failure *caller.Failure
	is.True(errors.As(<-firstAnswer, &failure))
	is.Equal(failure.Kind(), errkind.Canceled)
}

// TestRepeatableCallsSurviveBackendServerCrash guards against failed calls of a repeatable kind when
// the backend server that runs them crashes: they run again on another worker.
func TestRepeatableCallsSurviveBackendServerCrash(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	var calls sync.WaitGroup
	for n := range 20 {
		calls.Add(1)
		go func() {
			defer calls.Done()
			_, err := c.clientOf(n%3).Call(AssociationService, "allergen-flag", "", 20*time.Second, []byte(`{"runMs":400}`))
			if err != nil {
				t.Error(err)
			}
		}()
	}
	time.Sleep(150 * time.Millisecond)
	c.KillWorker(c.RunningWorkers()[1].Worker)
	calls.Wait()
	is.Equal(len(c.RunningWorkers()), 3)
}

// TestAllEntriesReplacedAtOnce guards against agents that stay without an entry when all entries they
// know have ended: they find the new ones through the table service.
func TestAllEntriesReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	for _, e := range c.Entries() {
		e.Kill()
	}
	for range 3 {
		_, err := c.AddEntry()
		is.NoErr(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	is.NoErr(c.WaitReady(ctx))
	for entry := 3; entry < 6; entry++ {
		_, err := c.clientOf(entry).Call(AssociationService, "allergen-flag", "", 10*time.Second, []byte(`{"runMs":5}`))
		is.NoErr(err)
	}
}

// TestNewAgentIncarnationIsUsedWithoutSecondStart checks that an agent that restarts under its ID is
// used again, and guards against a second start of tasks that its previous incarnation may have
// started.
func TestNewAgentIncarnationIsUsedWithoutSecondStart(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, func(s *Spec) { s.Agents = 1 })
	worker := c.RunningWorkers()[0].Worker
	j := newJob("k9", "shift-close", 2, 3000)
	done := make(chan error, 1)
	go func() { _, err := c.clientOf(0).Submit("k9", j); done <- err }()
	c.waitUntilClaimed("k9")
	for c.Journal.StartsOf("k9/0") == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	c.KillWorker(worker)
	is.NoErr(c.StartWorker(worker))
	is.Equal(errorKind(<-done), errkind.FateUnknown)
	is.Equal(c.Journal.StartsOf("k9/0"), 1)
	// Until the agent has linked to an entry, that entry refuses calls at once.
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	is.NoErr(c.WaitReady(ctx))
	_, err := c.clientOf(1).Call(AssociationService, "allergen-flag", "", 10*time.Second, []byte(`{"runMs":5}`))
	is.NoErr(err)
}
