package ordered

import (
	"testing"

	"github.com/matryer/is"
)

// TestIteratesInInsertionOrderDuringChanges changes the map during an iteration: the iteration
// skips deleted keys and ignores new ones.
func TestIteratesInInsertionOrderDuringChanges(t *testing.T) {
	is := is.New(t)
	var m Map[string, int]
	for i, k := range []string{"c", "a", "b", "d"} {
		m.Put(k, i)
	}
	m.Put("a", 10)
	var seen []string
	for k := range m.All() {
		seen = append(seen, k)
		m.Delete("b")
		m.Delete(k)
		m.Put("new-"+k, 0)
	}
	is.Equal(seen, []string{"c", "a", "d"})
	is.Equal(m.Len(), 3)
	is.True(m.Has("new-c"))
	is.Equal(m.Get("c"), 0)
}
