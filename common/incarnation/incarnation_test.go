package incarnation

import (
	"testing"

	"github.com/matryer/is"
)

// TestNumbersOfSimultaneousStartsDiffer guards against two processes that get the same number
// because they start at the same time.
func TestNumbersOfSimultaneousStartsDiffer(t *testing.T) {
	is := is.New(t)
	seen := make(map[uint64]bool)
	for range 1000 {
		for _, address := range []string{"127.0.0.1:1", "127.0.0.2:1"} {
			number := New(address)
			is.True(number != 0)
			is.True(!seen[number])
			seen[number] = true
		}
	}
}
