package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// requestsNow is request without the offset, while the store is not delivering a document.
func (f *configFetch) requestsNow(now time.Time, ownVersion, remoteVersion uint64) bool {
	want, _ := f.request(now, ownVersion, remoteVersion, false)
	return want
}

func TestRequestsFromOneEntryAtATimeAfterTheStore(t *testing.T) {
	is := is.New(t)
	var f configFetch
	now := time.Unix(100, 0)
	for range 26 { // all other entries announce the new version at once
		is.Equal(f.requestsNow(now, 5, 6), false)
	}
	now = now.Add(storeHeadStart)
	asked := 0
	for range 26 {
		if f.requestsNow(now, 5, 6) {
			asked++
		}
	}
	is.Equal(asked, 1)
	is.Equal(f.requestsNow(now.Add(requestTimeout), 5, 6), true) // the entry that was asked may be gone
	f.reset()
	is.Equal(f.requestsNow(now, 6, 6), false)
	is.Equal(f.requestsNow(now, 6, 7), false)
}

func TestEntryWithoutConfigurationRequestsAtOnce(t *testing.T) {
	is := is.New(t)
	var f configFetch
	is.True(f.requestsNow(time.Unix(100, 0), 0, 3))
	is.Equal(f.requestsNow(time.Unix(100, 0), 0, 3), false)
}

// TestNoSecondCopyWhileTheStoreAnswers guards against two copies at the same time, which would both
// be too late over a slow link.
func TestNoSecondCopyWhileTheStoreAnswers(t *testing.T) {
	is := is.New(t)
	var f configFetch
	now := time.Unix(100, 0)
	f.requestsNow(now, 5, 6)
	for ms := 0; ms < 3000; ms += 100 {
		want, _ := f.request(now.Add(time.Duration(ms)*time.Millisecond), 5, 6, true)
		is.True(!want)
	}
	is.True(f.requestsNow(now.Add(3*time.Second), 5, 6))
}

// TestChunksOfADocument checks that chunks come in order from whichever entry is asked, and that
// chunks of another version are not mixed with them.
func TestChunksOfADocument(t *testing.T) {
	is := is.New(t)
	var f configFetch
	now := time.Unix(100, 0)
	is.True(f.requestsNow(now, 0, 6))
	is.Equal(f.addChunk(6, 0, 4, []byte("ab")), nil)
	want, from := f.request(now, 0, 6, false)
	is.True(want)
	is.Equal(from, 2)
	is.Equal(f.addChunk(6, 0, 4, []byte("ab")), nil) // repeated
	is.Equal(f.addChunk(5, 2, 4, []byte("xx")), nil) // older
	is.Equal(string(f.addChunk(6, 2, 4, []byte("cd"))), "abcd")
	is.True(f.requestsNow(now, 0, 6)) // the document may be invalid, so it is requested again from the start
	f.addChunk(6, 0, 4, []byte("ab"))
	want, from = f.request(now, 0, 7, false)
	is.True(want)
	is.Equal(from, 0)
}
