package errkind

import (
	"testing"

	"github.com/matryer/is"
)

// TestTable walks the whole table: each kind has a unique name, a status that
// agrees with its retry flag, and a "not run" that no 5xx "unknown" contradicts.
func TestTable(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for _, k := range All() {
		e := Of(k)
		is.True(e.Name != "")
		is.True(!seen[e.Name])
		seen[e.Name] = true
		is.True(e.Status >= 200 && e.Status < 600)
		is.True((e.Exit == 0) == (k == OK))
		is.True(e.Title != "")
		if e.Retry {
			is.Equal(e.Ran, NotRun) // only work that provably did not run may be repeated blindly
		}
		back, ok := Parse(e.Name)
		is.True(ok)
		is.Equal(back, k)
	}
	is.Equal(Of(kindCount+7).Name, "internal")
}

func TestFromKeepsTypedError(t *testing.T) {
	is := is.New(t)
	e := NewField(TooLarge, "tasks", "141 tasks, at most 140")
	is.Equal(From(e), e)
	is.Equal(e.Error(), "too-large: tasks: 141 tasks, at most 140")
}
