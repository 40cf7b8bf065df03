package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAsksOneEntryAtATimeAndTheStoreFirst(t *testing.T) {
	is := is.New(t)
	var a asking
	now := time.Unix(100, 0)
	for range 26 { // all others say at once that they have the new version
		is.Equal(a.ask(now, 5, 6), false)
	}
	now = now.Add(storeFirst)
	asked := 0
	for range 26 {
		if a.ask(now, 5, 6) {
			asked++
		}
	}
	is.Equal(asked, 1)
	is.Equal(a.ask(now.Add(askAgain), 5, 6), true) // the one that was asked may be gone
	a.adopted()
	is.Equal(a.ask(now, 6, 6), false)
	is.Equal(a.ask(now, 6, 7), false)
}

func TestEntryWithoutConfigurationAsksAtOnce(t *testing.T) {
	is := is.New(t)
	var a asking
	is.True(a.ask(time.Unix(100, 0), 0, 3))
	is.Equal(a.ask(time.Unix(100, 0), 0, 3), false)
}
