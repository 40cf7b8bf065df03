// Package logs sets up structured logs that never block a request.
//
// Every line names the part of the system that wrote it in the field "part" and has a short
// sentence as its message. Lines go through a bounded buffer to a writer in a goroutine of its own;
// when the writer falls behind, lines are dropped and counted.
package logs

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// Part is the name of a part of the system, the value of the field "part".
type Part string

// Parts of the system.
const (
	Entry   Part = "entry"
	Agent   Part = "agent"
	Claims  Part = "claims"
	Members Part = "members"
	Config  Part = "config"
	Power   Part = "power"
	HTTP    Part = "http"
	Route   Part = "route"
	Load    Part = "load"
)

// Sink takes the log lines of a process and writes them in the background. It is safe for
// concurrent use.
type Sink struct {
	logger zerolog.Logger
	buffer io.WriteCloser
	// Numbers of lines that were put into the buffer, written from it, and dropped by it.
	accepted, written, dropped atomic.Int64
}

// bufferedLines is the number of lines that the buffer holds for the writer.
const bufferedLines = 16384

// bufferPollInterval of 0 makes the writer of the buffer sleep until there is a line. Any other
// value is the interval at which it polls, which takes most of the CPU time of an idle process.
const bufferPollInterval = time.Duration(0)

// timeFormat has microseconds, so that the lines of several processes can be merged in order.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a sink that writes JSON lines of at least the given level to w.
func New(w io.Writer, level zerolog.Level) *Sink {
	s := new(Sink)
	out := countingWriter{w, &s.written}
	s.buffer = diode.NewWriter(out, bufferedLines, bufferPollInterval, func(missed int) { s.dropped.Add(int64(missed)) })
	s.logger = zerolog.New(countingWriter{s.buffer, &s.accepted}).Level(level).With().Timestamp().Logger()
	return s
}

// countingWriter counts the lines written through it; each Write is a line.
type countingWriter struct {
	io.Writer
	lines *atomic.Int64
}

// Write implements io.Writer.
func (w countingWriter) Write(line []byte) (int, error) {
	w.lines.Add(1)
	return w.Writer.Write(line)
}

// Discard returns a sink that discards all lines.
func Discard() *Sink { return &Sink{logger: zerolog.Nop()} }

// For returns the logger of a part.
func (s *Sink) For(part Part) zerolog.Logger {
	return s.logger.With().Str("part", string(part)).Logger()
}

// Dropped returns how many lines were dropped because the writer fell behind.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// closeTimeout is how long Close waits for the writer to catch up, because the buffer drops the
// lines that it holds when it is closed; closePollInterval is how often Close checks.
const (
	closeTimeout      = time.Second
	closePollInterval = time.Millisecond
)

// Close waits, for at most closeTimeout, until the buffered lines are written, and ends the writer.
func (s *Sink) Close() error {
	if s.buffer == nil {
		return nil
	}
	for end := time.Now().Add(closeTimeout); time.Now().Before(end) && s.pending() > 0; {
		time.Sleep(closePollInterval)
	}
	return s.buffer.Close()
}

// pending returns the number of lines in the buffer.
func (s *Sink) pending() int64 { return s.accepted.Load() - s.written.Load() - s.dropped.Load() }
