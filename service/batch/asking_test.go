package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// asks is ask without the byte, while nothing arrives from the store.
func (a *asking) asks(now time.Time, own, theirs uint64) bool {
	want, _ := a.ask(now, own, theirs, false)
	return want
}

func TestAsksOneEntryAtATimeAndTheStoreFirst(t *testing.T) {
	is := is.New(t)
	var a asking
	now := time.Unix(100, 0)
	for range 26 { // all others say at once that they have the new version
		is.Equal(a.asks(now, 5, 6), false)
	}
	now = now.Add(storeFirst)
	asked := 0
	for range 26 {
		if a.asks(now, 5, 6) {
			asked++
		}
	}
	is.Equal(asked, 1)
	is.Equal(a.asks(now.Add(askAgain), 5, 6), true) // the one that was asked may be gone
	a.adopted()
	is.Equal(a.asks(now, 6, 6), false)
	is.Equal(a.asks(now, 6, 7), false)
}

func TestEntryWithoutConfigurationAsksAtOnce(t *testing.T) {
	is := is.New(t)
	var a asking
	is.True(a.asks(time.Unix(100, 0), 0, 3))
	is.Equal(a.asks(time.Unix(100, 0), 0, 3), false)
}

// TestNoSecondCopyWhileTheStoreAnswers: over a narrow link two copies at the same time
// would both come too late.
func TestNoSecondCopyWhileTheStoreAnswers(t *testing.T) {
	is := is.New(t)
	var a asking
	now := time.Unix(100, 0)
	a.asks(now, 5, 6)
	for ms := 0; ms < 3000; ms += 100 {
		want, _ := a.ask(now.Add(time.Duration(ms)*time.Millisecond), 5, 6, true)
		is.True(!want)
	}
	is.True(a.asks(now.Add(3*time.Second), 5, 6))
}

// TestPartsOfADocument: parts come from whoever is asked, in order; those of another
// version do not mix with them.
func TestPartsOfADocument(t *testing.T) {
	is := is.New(t)
	var a asking
	now := time.Unix(100, 0)
	is.True(a.asks(now, 0, 6))
	is.Equal(a.took(6, 0, 4, []byte("ab")), nil)
	want, from := a.ask(now, 0, 6, false)
	is.True(want)
	is.Equal(from, 2)
	is.Equal(a.took(6, 0, 4, []byte("ab")), nil) // repeated
	is.Equal(a.took(5, 2, 4, []byte("xx")), nil) // older
	is.Equal(string(a.took(6, 2, 4, []byte("cd"))), "abcd")
	is.True(a.asks(now, 0, 6)) // it was not valid: once more from the start
	a.took(6, 0, 4, []byte("ab"))
	want, from = a.ask(now, 0, 7, false)
	is.True(want)
	is.Equal(from, 0)
}
