package errkind

import (
	"testing"

	"github.com/matryer/is"
)

// TestProperties checks the properties of every kind: a unique name that Parse maps back to the
// kind, a valid HTTP status, an exit code of 0 for OK alone, a title, and Retry only with NotRun.
func TestProperties(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for _, k := range All() {
		p := Of(k)
		is.True(p.Name != "")
		is.True(!seen[p.Name])
		seen[p.Name] = true
		is.True(p.Status >= 200 && p.Status < 600)
		is.True((p.ExitCode == 0) == (k == OK))
		is.True(p.Title != "")
		if p.Retry {
			is.Equal(p.Ran, NotRun) // only work that certainly did not run may be repeated unconditionally
		}
		parsed, ok := Parse(p.Name)
		is.True(ok)
		is.Equal(parsed, k)
	}
	is.Equal(Of(kindCount+7).Name, "internal")
}

func TestFromKeepsTypedError(t *testing.T) {
	is := is.New(t)
	e := NewField(TooLarge, "tasks", "141 tasks, at most 140")
	is.Equal(From(e), e)
	is.Equal(e.Error(), "too-large: tasks: 141 tasks, at most 140")
}
