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

func kindOf(err error) errkind.Kind {
	var failure *caller.Failure
	if errors.As(err, &failure) {
		return failure.Kind()
	}
	if err == nil {
		return errkind.OK
	}
	return errkind.Internal
}

// TestBadInput: every refusal names the field, and nothing runs.
func TestBadInput(t *testing.T) {
	c := startCluster(t, func(s *Shape) { s.Agents, s.Entries = 1, 1 })
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
			_, err := c.caller(0).RawKeyed(http.MethodPost, "/v1/jobs", "bad-"+strings.ReplaceAll(tc.name, " ", "-"), []byte(tc.body))
			is.Equal(kindOf(err), tc.want)
			var failure *caller.Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.Field, tc.field)
			is.Equal(failure.Ran, "not-run")
		})
	}
	starts, _ := c.Journal.Total()
	is.New(t).Equal(starts, 0)
}

// TestCredentials walks every route with missing, wrong, expired and other
// roles' tokens, on an entry that is not in development mode.
func TestCredentials(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, func(s *Shape) {
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
	try := func(route [2]string, token string) errkind.Kind {
		client := caller.NewWithToken(base, token)
		_, err := client.Raw(route[0], route[1], "", nil)
		return kindOf(err)
	}
	for _, route := range append(append(append([][2]string{}, callerRoutes...), readRoutes...), writeRoutes...) {
		for _, token := range []string{"", "wrong", "old"} {
			is.Equal(try(route, token), errkind.Unauthorized)
		}
	}
	for _, route := range callerRoutes {
		is.Equal(try(route, "op"), errkind.Forbidden)
		is.Equal(try(route, "ro"), errkind.Forbidden)
	}
	for _, route := range append(readRoutes, writeRoutes...) {
		is.Equal(try(route, "team-a"), errkind.Forbidden)
	}
	is.Equal(try(writeRoutes[0], "ro"), errkind.Forbidden)
	for _, route := range readRoutes {
		kind := try(route, "ro")
		is.True(kind == errkind.OK || kind == errkind.InvalidRequest) // an empty document is refused for what it is
	}
	// Teams do not see each other's jobs, and their keys do not clash.
	a, b := caller.NewWithToken(base, "team-a"), caller.NewWithToken(base, "team-b")
	_, err := a.Submit("shared", job("a", "shift-close", 1, 5))
	is.NoErr(err)
	_, _, err = b.Get("shared", 0)
	is.Equal(kindOf(err), errkind.NotFound)
	_, err = b.Cancel("shared")
	is.Equal(kindOf(err), errkind.NotFound)
	_, err = b.Submit("shared", job("b", "shift-close", 1, 5))
	is.NoErr(err)
}

// race lets 4 operators put n changes in all, each built on the version it
// names, and returns the accepted versions in the order of acceptance. accepted
// is called with each; may be nil.
func race(c *Cluster, n int, accepted func(version uint64)) []uint64 {
	var mu sync.Mutex
	var versions []uint64
	var all sync.WaitGroup
	const operators = 4
	for operator := range operators {
		all.Add(1)
		go func() {
			defer all.Done()
			for done := 0; done < n/operators; {
				version, ok := putOnce(c, operator, done)
				if !ok {
					continue // lost the race, or the answer: look again
				}
				done++
				mu.Lock()
				versions = append(versions, version)
				mu.Unlock()
				if accepted != nil {
					accepted(version)
				}
			}
		}()
	}
	all.Wait()
	return versions
}

// putOnce replaces the version in force by one with a team more.
func putOnce(c *Cluster, operator, n int) (uint64, bool) {
	base, ok := currentVersion(c, operator%3)
	if !ok {
		return 0, false
	}
	document := c.Shape.Document
	document.Teams = append([]config.Team{{Name: fmt.Sprintf("team-%d-%d", operator, n)}}, document.Teams...)
	body, err := json.Marshal(document)
	if err != nil {
		return 0, false
	}
	reply, err := c.caller(operator%3).Raw(http.MethodPut, "/v1/admin/config", fmt.Sprint(base), body)
	if err != nil {
		return 0, false
	}
	var v config.Version
	return v.Number, json.Unmarshal(reply.Body, &v) == nil
}

// TestRacingOperators: each change is built on the version it names, none is
// lost and none reverts.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, func(s *Shape) { s.Agents = 1 })
	faults := c.TableFaults()
	faults.LoseAnswers = 0.2
	c.Table.SetFaults(faults)
	versions := race(c, 20, nil)
	c.Table.SetFaults(c.TableFaults())
	is.Equal(len(versions), 20)
	seen := make(map[uint64]bool)
	for _, number := range versions {
		is.True(!seen[number]) // no version is accepted twice
		seen[number] = true
		_, err := c.caller(0).Raw(http.MethodGet, fmt.Sprintf("/v1/admin/config/history/%d", number), "", nil)
		is.NoErr(err) // an accepted change is never lost
	}
}

func currentVersion(c *Cluster, entry int) (uint64, bool) {
	reply, err := c.caller(entry).Raw(http.MethodGet, "/v1/admin/config", "", nil)
	if err != nil {
		return 0, false
	}
	var v config.Version
	return v.Number, json.Unmarshal(reply.Body, &v) == nil
}

// TestOpenAPI: the published document names exactly the routes that are served.
func TestOpenAPI(t *testing.T) {
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
