// Package demo runs both users' examples through a whole deployment inside one
// process and checks every answer.
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

// readyWithin bounds the start of a deployment.
const readyWithin = 20 * time.Second

// example is one request of the demo.
type example struct {
	title string
	key   string
	// kinds are those of the job's tasks; a single one is sent as a call.
	kinds    []string
	payloads []string
}

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

// Run runs the demo and writes what happened to w. It returns an error unless
// every answer was complete and right.
func Run(ctx context.Context, w io.Writer, sink *logs.Sink) error {
	users := []struct {
		name     string
		team     string
		shape    cluster.Shape
		examples []example
	}{
		{"Hospitality Waste Ledger Association", cluster.AssociationTeam, cluster.Association(), associationExamples()},
		{"Dog Licensing Unit", cluster.LicensingTeam, cluster.Licensing(), licensingExamples()},
	}
	for _, user := range users {
		user.shape.Logs = sink
		user.shape.Seed = 1
		if err := runUser(ctx, w, user.name, user.team, user.shape, user.examples); err != nil {
			return eris.Wrap(err, user.name)
		}
	}
	fmt.Fprintln(w, "every answer was complete and right, and no task started twice")
	return nil
}

func runUser(ctx context.Context, w io.Writer, name, team string, shape cluster.Shape, examples []example) error {
	c, err := cluster.Start(shape)
	if err != nil {
		return err
	}
	defer c.Stop()
	ready, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if err := c.Ready(ready); err != nil {
		return err
	}
	fmt.Fprintf(w, "%s: %d entries, %d backend servers of %d slots in %v\n",
		name, shape.Entries, shape.Agents, shape.Slots, shape.DataCentres)
	for i, ex := range examples {
		address := c.Entries()[i%shape.Entries].Entry.Address()
		if err := runExample(w, caller.New(address, team), shape.Service, ex); err != nil {
			return eris.Wrap(err, ex.title)
		}
	}
	return resubmit(w, c, team, shape, examples[0])
}

func runExample(w io.Writer, client *caller.Client, service string, ex example) error {
	began := time.Now()
	results, err := send(client, service, ex)
	if err != nil {
		return err
	}
	servers := make(map[string]int)
	for i, raw := range results {
		var r backendserver.Result
		if err := json.Unmarshal(raw, &r); err != nil {
			return eris.Wrap(err, "decode result")
		}
		if want := backendserver.Checksum([]byte(ex.payloads[i])); r.Sum != want || r.Kind != ex.kinds[i] {
			return eris.Errorf("task %d: got the answer to another request: %+v", i, r)
		}
		servers[r.Server]++
	}
	fmt.Fprintf(w, "  %-18s %2d tasks complete in %4d ms, ran on %s\n", ex.title, len(results), time.Since(began).Milliseconds(), spread(servers))
	return nil
}

// send sends an example as a call if it is one task without a batch, else as a job.
func send(client *caller.Client, service string, ex example) ([]json.RawMessage, error) {
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

// resubmit sends the first example again to another entry: the same answer
// must come and nothing may start again.
func resubmit(w io.Writer, c *cluster.Cluster, team string, shape cluster.Shape, ex example) error {
	before, _ := c.Journal.Total()
	if err := runExample(w, caller.New(c.Entries()[shape.Entries-1].Entry.Address(), team), shape.Service,
		example{title: ex.title + ", again", key: ex.key, kinds: ex.kinds, payloads: ex.payloads}); err != nil {
		return err
	}
	after, twice := c.Journal.Total()
	if after != before || twice != 0 {
		return eris.Errorf("%d tasks started again, %d twice", after-before, twice)
	}
	return nil
}

// spread lists how many tasks ran on each server.
func spread(servers map[string]int) string {
	names := make([]string, 0, len(servers))
	for name := range servers {
		names = append(names, name)
	}
	sort.Strings(names)
	text := ""
	for _, name := range names {
		text += fmt.Sprintf("%s×%d ", name[len("backend-"):], servers[name])
	}
	return text
}
