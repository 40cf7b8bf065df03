package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const goodEntry = `{"id":"entry-1","region":"nordkyst","dataCentre":"hall-a","listen":"127.0.0.1:7001",
 "peerListen":"127.0.0.1:7101","platform":{"address":"127.0.0.1:7900"},"dev":true,"limits":{"maxBody":4096,"maxPayload":1024}}`

const goodAgent = `{"id":"agent-1","worker":"w","region":"nordkyst","dataCentre":"hall-a","rack":"r","service":"tally",
 "listen":"127.0.0.1:7200","backend":"127.0.0.1:8080","entries":["127.0.0.1:7101"],"platform":{"address":"127.0.0.1:7900"},"dev":true}`

func TestGoodSettings(t *testing.T) {
	is := is.New(t)
	e, err := ParseEntry([]byte(goodEntry))
	is.NoErr(err)
	is.Equal(e.PeerAddress, "127.0.0.1:7101")
	is.Equal(e.Limits.MaxTasks, 140) // a default
	a, err := ParseAgent([]byte(goodAgent))
	is.NoErr(err)
	is.Equal(a.Slots, 8)
}

// TestBadSettings: each mistake is found at its path. Those that a JSON Schema
// can express are found by the published schema alone.
func TestBadSettings(t *testing.T) {
	cases := []struct {
		name, from, to string
		path           string
		bySchema       bool
	}{
		{"unknown field", `"dev":true`, `"dev":true,"colour":"red"`, "/", true},
		{"wrong type", `"id":"entry-1"`, `"id":7`, "/id", true},
		{"zero limit", `"maxBody":4096`, `"maxBody":0`, "/limits/maxBody", true},
		{"negative limit", `"maxPayload":1024`, `"maxPayload":-1`, "/limits/maxPayload", true},
		{"bad duration", `"maxBody":4096`, `"maxBody":4096,"drainTimeout":"soon"`, "/limits/drainTimeout", true},
		{"missing", `"region":"nordkyst",`, ``, "/", true},
		{"host name", `"listen":"127.0.0.1:7001"`, `"listen":"localhost:7001"`, "/listen", false},
		{"clash", `"maxPayload":1024`, `"maxPayload":8192`, "/limits/maxPayload", false},
		{"zero duration", `"maxBody":4096`, `"maxBody":4096,"drainTimeout":"0s"`, "/limits/drainTimeout", false},
		{"not loopback", `"listen":"127.0.0.1:7001"`, `"listen":"192.0.2.1:7001"`, "/listen", false},
		{"no TLS", `"dev":true`, `"dev":false`, "/tls", false},
		{"same address", `"peerListen":"127.0.0.1:7101"`, `"peerListen":"127.0.0.1:7001"`, "/peerListen", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			bad := strings.Replace(goodEntry, c.from, c.to, 1)
			is.True(bad != goodEntry)
			_, err := ParseEntry([]byte(bad))
			var problems Problems
			is.True(errors.As(err, &problems))
			is.Equal(problems[0].Path, c.path)
			is.Equal(CheckSchema(entrySchema(), []byte(bad)) != nil, c.bySchema)
		})
	}
}

func TestAllMistakesAtOnce(t *testing.T) {
	is := is.New(t)
	bad := strings.NewReplacer(`"127.0.0.1:7200"`, `"host:1"`, `"127.0.0.1:8080"`, `"other"`, `"dev":true`, `"dev":true,"slots":9,"connections":3`).Replace(goodAgent)
	_, err := ParseAgent([]byte(bad))
	var problems Problems
	is.True(errors.As(err, &problems))
	is.Equal(len(problems), 4) // listen, address (which follows it), backend, connections
	is.Equal(problems[3].String(), "/connections: 3: allowed: at least /slots, which is 9")
}

// TestWrongTypeHidesNoOtherMistake: a value of the wrong type, an unknown field and
// what no schema can say are all named at the same time.
func TestWrongTypeHidesNoOtherMistake(t *testing.T) {
	is := is.New(t)
	bad := strings.NewReplacer(`"id":"entry-1"`, `"id":7,"colour":"red"`, `"127.0.0.1:7001"`, `"localhost:7001"`,
		`"127.0.0.1:7101"`, `"localhost:7001"`, `"maxBody":4096`, `"maxBody":"all"`).Replace(goodEntry)
	_, err := ParseEntry([]byte(bad))
	var problems Problems
	is.True(errors.As(err, &problems))
	paths := make(map[string]int)
	for _, p := range problems {
		paths[p.Path]++
	}
	is.Equal(paths["/"], 1)               // colour
	is.Equal(paths["/id"], 1)             // a number
	is.Equal(paths["/limits/maxBody"], 1) // a string
	is.Equal(paths["/listen"], 1)         // a host name
	is.Equal(paths["/peerListen"], 2)     // a host name, and the same address
}

// TestMissingIsNamedOnce: what is absent is not reported again as malformed.
func TestMissingIsNamedOnce(t *testing.T) {
	is := is.New(t)
	_, err := ParseEntry([]byte(strings.Replace(goodEntry, `"listen":"127.0.0.1:7001",`, ``, 1)))
	var problems Problems
	is.True(errors.As(err, &problems))
	is.Equal(len(problems), 1)
}

// TestDeployedSettings checks the committed settings of both users.
func TestDeployedSettings(t *testing.T) {
	is := is.New(t)
	for pattern, load := range map[string]func(string) error{
		"entry-*.json": func(path string) error { _, err := LoadEntry(path); return err },
		"agent-*.json": func(path string) error { _, err := LoadAgent(path); return err },
	} {
		paths, err := filepath.Glob("../../deploy/*/" + pattern)
		is.NoErr(err)
		is.True(len(paths) > 0)
		for _, path := range paths {
			is.NoErr(load(path))
		}
	}
	_, err := LoadEntry(filepath.Join(t.TempDir(), "absent.json"))
	is.True(errors.Is(err, os.ErrNotExist))
}

func FuzzParseEntry(f *testing.F) {
	f.Add([]byte(goodEntry))
	f.Add([]byte(`{"id":`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = ParseEntry(data)
	})
}
