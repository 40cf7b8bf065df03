// Package demo sends example requests of both users to a deployment inside one process and checks every
// answer.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"peridotpick.example/common/logs"
	"peridotpick.example/lab/backendserver"
	"peridotpick.example/lab/caller"
	"peridotpick.example/lab/cluster"
)

// readyTimeout bounds the time until a started deployment is ready.
const readyTimeout = 20 * time.Second

// example is one request of the demo.
type example struct {
	title string
	// key is the idempotency key; may be empty for a call.
	key string
	// kinds and payloads are those of the tasks. A single task is sent as a call, several as a job.
	kinds    []string
	payloads []string
}

// associationExamples returns the requests of the Association.
func associationExamples() []example {
	scans := example{title: "tray-scan batch", key: "scan-batch-2026-12-02-hall-a"}
	for i := range 24 {
		scans.kinds = append(scans.kinds, "tray-scan")
		scans.payloads = append(scans.payloads, fmt.Sprintf(`{"runMs":%d,"tray":"pan-%02d","grams":%d}`, 40+i*3, i+1, 150+i*20))
	}
	return []example{
		scans,
		{title: "shift close", key: "close-lunch-galley-7", kinds: []string{"shift-close"}, payloads: []string{`{"runMs":80,"shift":"lunch","galley":7}`}},
		{title: "allergen flag", kinds: []string{"allergen-flag"}, payloads: []string{`{"runMs":50,"dish":"satay","allergen":"peanut"}`}},
	}
}

// licensingExamples returns the requests of the Licensing Unit.
func licensingExamples() []example {
	batch := example{title: "renewal batch", key: "renewals-2026-12-02-portal"}
	for i := range 16 {
		batch.kinds = append(batch.kinds, "renew")
		batch.payloads = append(batch.payloads, fmt.Sprintf(`{"runMs":%d,"tag":"SK-%04d","fee":10}`, 60+i*5, i+1))
	}
	return []example{
		batch,
		{title: "counter renewal", key: "counter-SK-0101", kinds: []string{"counter-renew"}, payloads: []string{`{"runMs":70,"tag":"SK-0101","fee":10}`}},
		{title: "portal renewal", key: "portal-SK-0102", kinds: []string{"renew"}, payloads: []string{`{"runMs":90,"tag":"SK-0102","fee":10}`}},
		{title: "officer tag check", kinds: []string{"tag-check"}, payloads: []string{`{"runMs":50,"tag":"SK-0042"}`}},
	}
}

// Run runs the demo and writes a line for each request to w. It returns an error if an answer is not
// complete and right, or if a task starts twice.
func Run(ctx context.Context, w io.Writer, sink *logs.Sink) error {
	users := []struct {
		name     string
		team     string
		spec     cluster.Spec
		examples []example
	}{
		{"Hospitality Waste Ledger Association", cluster.AssociationTeam, cluster.Association(), associationExamples()},
		{"Dog Licensing Unit", cluster.LicensingTeam, cluster.Licensing(), licensingExamples()},
	}
	for _, user := range users {
		user.spec.Logs = sink
		user.spec.Seed = 1
		if err := runUser(ctx, w, user.name, user.team, user.spec, user.examples); err != nil {
			return eris.Wrap(err, user.name)
		}
	}
	fmt.Fprintln(w, "every answer was complete and right, and no task started twice")
	return nil
}

// runUser starts the deployment of one user, sends the examples to its entries in turn, and then the
// first one again.
func runUser(ctx context.Context, w io.Writer, name, team string, spec cluster.Spec, examples []example) error {
	c, err := cluster.Start(spec)
	if err != nil {
		return err
	}
	defer c.Stop()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.WaitReady(readyCtx); err != nil {
		return err
	}
	fmt.Fprintf(w, "%s: %d entries, %d backend servers of %d slots in %v\n",
		name, spec.Entries, spec.Agents, spec.Slots, spec.DataCentres)
	for i, ex := range examples {
		address := c.Entries()[i%spec.Entries].Entry.Address()
		if err := runExample(w, caller.New(address, team), spec.Service, ex); err != nil {
			return eris.Wrap(err, ex.title)
		}
	}
	return resubmit(w, c, team, spec, examples[0])
}

// runExample sends an example, checks that each result belongs to its task, and writes a line about it.
func runExample(w io.Writer, client *caller.Client, service string, ex example) error {
	sentAt := time.Now()
	results, err := sendExample(client, service, ex)
	if err != nil {
		return err
	}
	tasksByServer := make(map[string]int)
	for i, raw := range results {
		var result backendserver.Result
		if err := json.Unmarshal(raw, &result); err != nil {
			return eris.Wrap(err, "decode result")
		}
		if want := backendserver.Checksum([]byte(ex.payloads[i])); result.Checksum != want || result.Kind != ex.kinds[i] {
			return eris.Errorf("task %d: got the answer to another request: %+v", i, result)
		}
		tasksByServer[result.Server]++
	}
	fmt.Fprintf(w, "  %-18s %2d tasks complete in %4d ms, ran on %s\n", ex.title, len(results), time.Since(sentAt).Milliseconds(), formatCounts(tasksByServer))
	return nil
}

// sendExample sends an example, as a call if it has one task and as a job otherwise, and returns the
// results of its tasks.
func sendExample(client *caller.Client, service string, ex example) ([]json.RawMessage, error) {
	if len(ex.kinds) == 1 {
		body, err := client.Call(service, ex.kinds[0], ex.key, 5*time.Second, []byte(ex.payloads[0]))
		return []json.RawMessage{body}, err
	}
	job := caller.Job{Deadline: "10s"}
	for i, kind := range ex.kinds {
		job.Tasks = append(job.Tasks, caller.Task{Service: service, Kind: kind, Payload: json.RawMessage(ex.payloads[i])})
	}
	return client.Submit(ex.key, job)
}

// resubmit sends an example again, with the same key, to the last entry: the answer must be the same and
// no task may start again.
func resubmit(w io.Writer, c *cluster.Cluster, team string, spec cluster.Spec, ex example) error {
	before, _ := c.Journal.Total()
	if err := runExample(w, caller.New(c.Entries()[spec.Entries-1].Entry.Address(), team), spec.Service,
		example{title: ex.title + ", again", key: ex.key, kinds: ex.kinds, payloads: ex.payloads}); err != nil {
		return err
	}
	after, twice := c.Journal.Total()
	if after != before || twice != 0 {
		return eris.Errorf("%d tasks started again, %d twice", after-before, twice)
	}
	return nil
}

// formatCounts lists how many tasks each server ran, as WORKER×COUNT.
func formatCounts(tasksByServer map[string]int) string {
	names := make([]string, 0, len(tasksByServer))
	for name := range tasksByServer {
		names = append(names, name)
	}
	sort.Strings(names)
	text := ""
	for _, name := range names {
		text += fmt.Sprintf("%s×%d ", name[len("backend-"):], tasksByServer[name])
	}
	return text
}
