package wire

import (
	"testing"

	"github.com/matryer/is"
)

func TestCodecRoundTrip(t *testing.T) {
	is := is.New(t)
	sent := &ToAgent{Starts: []*StartBatch{{
		Submission: "c/association/scan-1", Epoch: 2, Remaining: 5,
		Tasks: []TaskStart{{Index: 3, Attempt: 1, Kind: "tray-scan", Payload: []byte("pan"), Checksum: Checksum([]byte("pan"))}},
	}}}
	data, err := Encoding.Marshal(sent)
	is.NoErr(err)
	got := new(ToAgent)
	is.NoErr(Encoding.Unmarshal(data, got))
	is.Equal(got, sent)
}

// FuzzUnmarshal checks that arbitrary bytes on a link cannot panic the decoder at either end.
func FuzzUnmarshal(f *testing.F) {
	seed, err := Encoding.Marshal(&ToEntry{Results: []*Result{{Submission: "c/t/k", Payload: []byte("x")}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = Encoding.Unmarshal(data, new(ToAgent))
		_ = Encoding.Unmarshal(data, new(ToEntry))
	})
}
