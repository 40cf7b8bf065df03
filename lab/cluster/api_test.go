package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"peridotpick.example/common/config"
	"peridotpick.example/common/errkind"
	"peridotpick.example/lab/caller"
)

// errorKind returns the error kind of a request: OK if err is nil, Internal if there was no answer.
func errorKind(err error) errkind.Kind {
	var failure *caller.Failure
	if errors.As(err, &failure) {
		return failure.Kind()
	}
	if err == nil {
		return errkind.OK
	}
	return errkind.Internal
}

// TestRefusalOfBadInputNamesField checks that every refusal of bad input has its error kind and names
// the field, and that no task starts.
func TestRefusalOfBadInputNamesField(t *testing.T) {
	c := startCluster(t, func(s *Spec) { s.Agents, s.Entries = 1, 1 })
	task := `{"service":"tally","kind":"tray-scan","payload":{}}`
	cases := []struct {
		name, body string
		want       errkind.Kind
		field      string
	}{
		{"not JSON", `{"tasks":`, errkind.InvalidRequest, "body"},
		{"wrong type", `{"tasks":7}`, errkind.InvalidRequest, "tasks"},
		{"unknown field", `{"taskz":[]}`, errkind.InvalidRequest, "taskz"},
		{"no tasks", `{"tasks":[]}`, errkind.InvalidRequest, "tasks"},
		{"too many tasks", `{"tasks":[` + strings.Repeat(task+",", 140) + task + `]}`, errkind.TooLarge, "tasks"},
		{"more follows", `{"tasks":[` + task + `]} {}`, errkind.InvalidRequest, "body"},
		{"bad deadline", `{"deadline":"-1s","tasks":[` + task + `]}`, errkind.InvalidRequest, "deadline"},
		{"unknown service", `{"tasks":[{"service":"x","kind":"y"}]}`, errkind.InvalidRequest, "tasks[0].service"},
		{"unknown kind", `{"tasks":[{"service":"tally","kind":"y"}]}`, errkind.InvalidRequest, "tasks[0].kind"},
		{"bad selector", `{"tasks":[{"service":"tally","kind":"tray-scan","selector":"a in ("}]}`, errkind.InvalidRequest, "tasks[0].selector"},
		{"never runnable", `{"tasks":[{"service":"tally","kind":"tray-scan","selector":"cores>999"}]}`, errkind.Infeasible, ""},
		{"too large", `{"tasks":[{"payload":"` + strings.Repeat("x", 9<<20) + `"}]}`, errkind.TooLarge, "body"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := c.clientOf(0).RawKeyed(http.MethodPost, "/v1/jobs", "bad-"+strings.ReplaceAll(tc.name, " ", "-"), []byte(tc.body))
			is.Equal(errorKind(err), tc.want)
			var failure *caller.Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.Field, tc.field)
			is.Equal(failure.Ran, "not-run")
		})
	}
	starts, _ := c.Journal.Total()
	is.New(t).Equal(starts, 0)
}

// TestCredentials sends a request to every route with a missing, a wrong and an expired token and with
// tokens of other roles, to an entry that is not in development mode.
func TestCredentials(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, func(s *Spec) {
		s.Agents, s.Entries, s.Credentials = 1, 1, true
		s.Document.Teams[0].Tokens = []config.Credential{{SHA256: config.HashToken("team-a")}, {SHA256: config.HashToken("old"), Expires: "2020-01-01T00:00:00Z"}}
		s.Document.Teams = append(s.Document.Teams, config.Team{Name: "team-b", Tokens: []config.Credential{{SHA256: config.HashToken("team-b")}}})
		s.Document.Operators = []config.Operator{
			{Name: "op", Role: config.RoleOperator, Tokens: []config.Credential{{SHA256: config.HashToken("op")}}},
			{Name: "ro", Role: config.RoleReadOnly, Tokens: []config.Credential{{SHA256: config.HashToken("ro")}}},
		}
	})
	base := "http://" + c.Entries()[0].Entry.Address()
	callerRoutes := [][2]string{{"POST", "/v1/jobs"}, {"GET", "/v1/jobs"}, {"GET", "/v1/jobs/x"}, {"DELETE", "/v1/jobs/x"}, {"POST", "/v1/calls/tally/tray-scan"}}
	readRoutes := [][2]string{{"GET", "/v1/admin/config"}, {"GET", "/v1/admin/config/history"}, {"GET", "/v1/admin/config/history/1"}, {"POST", "/v1/admin/config/validate"},
		{"GET", "/v1/admin/workers"}, {"GET", "/v1/admin/instances"}, {"GET", "/v1/admin/teams"}, {"GET", "/v1/admin/metrics"}, {"GET", "/"}}
	writeRoutes := [][2]string{{"PUT", "/v1/admin/config"}}
	requestAs := func(route [2]string, token string) errkind.Kind {
		client := caller.NewWithToken(base, token)
		_, err := client.Raw(route[0], route[1], "", nil)
		return errorKind(err)
	}
	for _, route := range append(append(append([][2]string{}, callerRoutes...), readRoutes...), writeRoutes...) {
		for _, token := range []string{"", "wrong", "old"} {
			is.Equal(requestAs(route, token), errkind.Unauthorized)
		}
	}
	for _, route := range callerRoutes {
		is.Equal(requestAs(route, "op"), errkind.Forbidden)
		is.Equal(requestAs(route, "ro"), errkind.Forbidden)
	}
	for _, route := range append(readRoutes, writeRoutes...) {
		is.Equal(requestAs(route, "team-a"), errkind.Forbidden)
	}
	is.Equal(requestAs(writeRoutes[0], "ro"), errkind.Forbidden)
	for _, route := range readRoutes {
		kind := requestAs(route, "ro")
		is.True(kind == errkind.OK || kind == errkind.InvalidRequest) // the empty document itself is not valid
	}
	// A team cannot see or cancel another team's job, and the same key of two teams is no conflict.
	a, b := caller.NewWithToken(base, "team-a"), caller.NewWithToken(base, "team-b")
	_, err := a.Submit("shared", newJob("a", "shift-close", 1, 5))
	is.NoErr(err)
	_, _, err = b.Get("shared", 0)
	is.Equal(errorKind(err), errkind.NotFound)
	_, err = b.Cancel("shared")
	is.Equal(errorKind(err), errkind.NotFound)
	_, err = b.Submit("shared", newJob("b", "shift-close", 1, 5))
	is.NoErr(err)
}

// raceOperators lets 4 operators make n changes of the configuration in all, each built on the version
// that was in force when the operator read it. It returns the accepted versions in the order of their
// answers. accepted is called with each; may be nil.
func raceOperators(c *Cluster, n int, accepted func(version uint64)) []uint64 {
	var mu sync.Mutex
	var versions []uint64
	var operatorsDone sync.WaitGroup
	const operators = 4
	for operator := range operators {
		operatorsDone.Add(1)
		go func() {
			defer operatorsDone.Done()
			for changesDone := 0; changesDone < n/operators; {
				version, ok := addTeam(c, operator, changesDone)
				if !ok {
					continue // another change was accepted first, or the answer was lost: read and try again
				}
				changesDone++
				mu.Lock()
				versions = append(versions, version)
				mu.Unlock()
				if accepted != nil {
					accepted(version)
				}
			}
		}()
	}
	operatorsDone.Wait()
	return versions
}

// addTeam replaces the version in force, as read from an entry, by one with one more team. It returns
// the new version, and false if the change was not accepted or its answer was lost.
func addTeam(c *Cluster, operator, n int) (uint64, bool) {
	base, ok := currentVersion(c, operator%3)
	if !ok {
		return 0, false
	}
	document := c.Spec.Document
	document.Teams = append([]config.Team{{Name: fmt.Sprintf("team-%d-%d", operator, n)}}, document.Teams...)
	body, err := json.Marshal(document)
	if err != nil {
		return 0, false
	}
	reply, err := c.clientOf(operator%3).Raw(http.MethodPut, "/v1/admin/config", fmt.Sprint(base), body)
	if err != nil {
		return 0, false
	}
	var v config.Version
	return v.Number, json.Unmarshal(reply.Body, &v) == nil
}

// TestRacingOperatorsLoseNoChange guards against accepted configuration changes that are lost or that
// share a version when operators race and answers of the table service are lost.
func TestRacingOperatorsLoseNoChange(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, func(s *Spec) { s.Agents = 1 })
	faults := c.TableFaults()
	faults.LoseAnswers = 0.2
	c.Table.SetFaults(faults)
	versions := raceOperators(c, 20, nil)
	c.Table.SetFaults(c.TableFaults())
	is.Equal(len(versions), 20)
	seen := make(map[uint64]bool)
	for _, number := range versions {
		is.True(!seen[number]) // no version is accepted twice
		seen[number] = true
		_, err := c.clientOf(0).Raw(http.MethodGet, fmt.Sprintf("/v1/admin/config/history/%d", number), "", nil)
		is.NoErr(err) // an accepted change is never lost
	}
}

// currentVersion reads the number of the configuration version in force from an entry.
func currentVersion(c *Cluster, entry int) (uint64, bool) {
	reply, err := c.clientOf(entry).Raw(http.MethodGet, "/v1/admin/config", "", nil)
	if err != nil {
		return 0, false
	}
	var v config.Version
	return v.Number, json.Unmarshal(reply.Body, &v) == nil
}

// TestOpenAPIDescribesServedRoutes checks that the published document has exactly the routes that an
// entry serves, by a comparison with the source of package entry.
func TestOpenAPIDescribesServedRoutes(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/openapi.json")
	is.NoErr(err)
	var document struct {
		Paths map[string]map[string]json.RawMessage `json:"paths"`
	}
	is.NoErr(json.Unmarshal(data, &document))
	source, err := os.ReadFile("../../service/entry/api.go")
	is.NoErr(err)
	paths := make(map[string]string)
	for _, m := range regexp.MustCompile(`(route\w+)\s+= "([^"]+)"`).FindAllStringSubmatch(string(source), -1) {
		paths[m[1]] = m[2]
	}
	served := 0
	for _, m := range regexp.MustCompile(`r\.(GET|PUT|POST|DELETE)\((route\w+),`).FindAllStringSubmatch(string(source), -1) {
		served++
		if _, ok := document.Paths[paths[m[2]]][strings.ToLower(m[1])]; !ok {
			t.Errorf("%s %s is not in docs/openapi.json", m[1], paths[m[2]])
		}
	}
	described := 0
	for _, methods := range document.Paths {
		described += len(methods)
	}
	is.Equal(described, served)
}
