package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/settings"
)

const validDocument = `{"teams":[{"name":"a","tokens":[{"sha256":"HASH","expires":"2030-01-01T00:00:00Z"}]}],
 "services":[{"name":"tally","selector":"cores>4","kinds":[{"name":"scan","repeatable":true,"class":"batch","maxRun":"5s"}]}],"policy":{"responseWeight":0.5}}`

// document returns validDocument with the first occurrence of from replaced, and the hash of the
// token "secret" filled in.
func document(from, to string) []byte {
	text := strings.Replace(validDocument, from, to, 1)
	return []byte(strings.Replace(text, "HASH", HashToken("secret"), 1))
}

func TestValidDocumentIsCompiled(t *testing.T) {
	is := is.New(t)
	c, err := Parse(document("", ""))
	is.NoErr(err)
	kind := c.Kind("tally", "scan")
	is.Equal(*kind, CompiledKind{Repeatable: true, Class: 2, MaxRun: 5 * time.Second, ServiceSelector: "cores>4"})
	is.True(c.Kind("tally", "other") == nil)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	holder, ok := c.Authenticate("secret", now)
	is.True(ok)
	is.Equal(holder.Name, "a")
	_, ok = c.Authenticate("wrong", now)
	is.True(!ok)
	_, ok = c.Authenticate("secret", now.AddDate(10, 0, 0)) // expired
	is.True(!ok)
}

// TestInvalidDocuments checks that each mistake rejects the document and is reported at its path.
func TestInvalidDocuments(t *testing.T) {
	cases := []struct{ name, from, to, path string }{
		{"unknown field", `"policy"`, `"colour":1,"policy"`, "/"},
		{"weight out of range", `0.5`, `1.5`, "/policy/responseWeight"},
		{"invalid selector", `cores>4`, `cores>>4`, "/services/0/selector"},
		{"duplicate kind", `"kinds":[`, `"kinds":[{"name":"scan"},`, "/services/0/kinds/1/name"},
		{"duplicate team", `"teams":[`, `"teams":[{"name":"a"},`, "/teams/1/name"},
		{"invalid expiry", `2030-01-01T00:00:00Z`, `soon`, "/teams/0/tokens/0/expires"},
		{"data centre without a name", `"policy"`, `"drained":[""],"policy"`, "/drained/0"},
		{"short retention", `"policy"`, `"retention":"1s","policy"`, "/retention"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(document(c.from, c.to))
			var problems settings.Problems
			is.True(errors.As(err, &problems))
			is.Equal(problems[0].Path, c.path)
		})
	}
}

// TestDeployedConfigurations checks the configurations of the deployments in this repository.
func TestDeployedConfigurations(t *testing.T) {
	is := is.New(t)
	paths, err := filepath.Glob("../../deploy/*/config.json")
	is.NoErr(err)
	is.Equal(len(paths), 2)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		is.NoErr(err)
		_, err = Parse(data)
		is.NoErr(err)
	}
}
