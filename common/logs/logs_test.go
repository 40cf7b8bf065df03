package logs

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// safeBuffer is a buffer that the goroutine of a sink's writer may write to.
type safeBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func TestLinesCarryTheirPart(t *testing.T) {
	is := is.New(t)
	var out safeBuffer
	sink := New(&out, zerolog.InfoLevel)
	log := sink.For(Route)
	log.Debug().Msg("dropped by its level")
	log.Info().Str("agent", "a").Msg("route: placed")
	is.NoErr(sink.Close())
	var line struct{ Part, Message string }
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line.Part, "route")
	is.Equal(line.Message, "route: placed")
}

// BenchmarkDecisionLine measures what logging one decision costs the goroutine that logs it.
func BenchmarkDecisionLine(b *testing.B) {
	sink := New(&safeBuffer{}, zerolog.InfoLevel)
	log := sink.For(Route)
	b.ReportAllocs()
	for b.Loop() {
		log.Info().Str("submission", "c/team/key").Uint32("task", 1).Uint32("attempt", 1).Str("agent", "agent-1").
			Dur("expected", 1).Str("runnerUp", "agent-2").Dur("runnerUpExpected", 2).Msg("route: placed")
	}
}
