package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validEntry = `{"id":"entry-1","region":"nordkyst","dataCentre":"hall-a","listen":"127.0.0.1:7001",
 "peerListen":"127.0.0.1:7101","platform":{"address":"127.0.0.1:7900"},"dev":true,"limits":{"maxBody":4096,"maxPayload":1024}}`

const validAgent = `{"id":"agent-1","worker":"w","region":"nordkyst","dataCentre":"hall-a","rack":"r","service":"tally",
 "listen":"127.0.0.1:7200","backend":"127.0.0.1:8080","entries":["127.0.0.1:7101"],"platform":{"address":"127.0.0.1:7900"},"dev":true}`

func TestValidSettings(t *testing.T) {
	is := is.New(t)
	e, err := ParseEntry([]byte(validEntry))
	is.NoErr(err)
	is.Equal(e.PeerAddress, "127.0.0.1:7101")
	is.Equal(e.Limits.MaxTasks, 140) // a default
	a, err := ParseAgent([]byte(validAgent))
	is.NoErr(err)
	is.Equal(a.Slots, 8)
}

// TestInvalidSettings checks that each mistake is reported at its path, and that the published
// schema alone finds those that a JSON Schema can express.
func TestInvalidSettings(t *testing.T) {
	cases := []struct {
		name, from, to string
		path           string
		bySchema       bool
	}{
		{"unknown field", `"dev":true`, `"dev":true,"colour":"red"`, "/", true},
		{"wrong type", `"id":"entry-1"`, `"id":7`, "/id", true},
		{"zero limit", `"maxBody":4096`, `"maxBody":0`, "/limits/maxBody", true},
		{"negative limit", `"maxPayload":1024`, `"maxPayload":-1`, "/limits/maxPayload", true},
		{"invalid duration", `"maxBody":4096`, `"maxBody":4096,"drainTimeout":"soon"`, "/limits/drainTimeout", true},
		{"missing", `"region":"nordkyst",`, ``, "/", true},
		{"host name", `"listen":"127.0.0.1:7001"`, `"listen":"localhost:7001"`, "/listen", false},
		{"contradicting limits", `"maxPayload":1024`, `"maxPayload":8192`, "/limits/maxPayload", false},
		{"zero duration", `"maxBody":4096`, `"maxBody":4096,"drainTimeout":"0s"`, "/limits/drainTimeout", false},
		{"not loopback", `"listen":"127.0.0.1:7001"`, `"listen":"192.0.2.1:7001"`, "/listen", false},
		{"no TLS", `"dev":true`, `"dev":false`, "/tls", false},
		{"same address", `"peerListen":"127.0.0.1:7101"`, `"peerListen":"127.0.0.1:7001"`, "/peerListen", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			invalid := strings.Replace(validEntry, c.from, c.to, 1)
			is.True(invalid != validEntry)
			_, err := ParseEntry([]byte(invalid))
			var problems Problems
			is.True(errors.As(err, &problems))
			is.Equal(problems[0].Path, c.path)
			is.Equal(CheckSchema(entrySchema(), []byte(invalid)) != nil, c.bySchema)
		})
	}
}

func TestAllMistakesAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	invalid := strings.NewReplacer(`"127.0.0.1:7200"`, `"host:1"`, `"127.0.0.1:8080"`, `"other"`, `"dev":true`, `"dev":true,"slots":9,"connections":3`).Replace(validAgent)
	_, err := ParseAgent([]byte(invalid))
	var problems Problems
	is.True(errors.As(err, &problems))
	is.Equal(len(problems), 4) // listen, address (by default that of listen), backend, connections
	is.Equal(problems[3].String(), "/connections: 3: allowed: at least /slots, which is 9")
}

// TestWrongTypeHidesNoOtherMistake checks that values of a wrong type, an unknown field and
// mistakes that no schema can express are reported together.
func TestWrongTypeHidesNoOtherMistake(t *testing.T) {
	is := is.New(t)
	invalid := strings.NewReplacer(`"id":"entry-1"`, `"id":7,"colour":"red"`, `"127.0.0.1:7001"`, `"localhost:7001"`,
		`"127.0.0.1:7101"`, `"localhost:7001"`, `"maxBody":4096`, `"maxBody":"all"`).Replace(validEntry)
	_, err := ParseEntry([]byte(invalid))
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

// TestMissingValueIsReportedOnce checks that a missing value is not reported as malformed too.
func TestMissingValueIsReportedOnce(t *testing.T) {
	is := is.New(t)
	_, err := ParseEntry([]byte(strings.Replace(validEntry, `"listen":"127.0.0.1:7001",`, ``, 1)))
	var problems Problems
	is.True(errors.As(err, &problems))
	is.Equal(len(problems), 1)
}

// TestDeployedSettings checks the settings files of the deployments in this repository.
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
	f.Add([]byte(validEntry))
	f.Add([]byte(`{"id":`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = ParseEntry(data)
	})
}
