// Package logs sets up structured logs that never block a request.
//
// Every line carries the fixed prefix of its part in the field "part" and a
// short sentence as the message. Lines go through a bounded ring; when the
// writer falls behind, lines are dropped and the number is reported.
package logs

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// Part is the fixed prefix of one part of the system.
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

// Sink is where the lines of a process go.
type Sink struct {
	logger zerolog.Logger
	ring   io.WriteCloser
	// lines handed to the ring, written, and dropped by it.
	accepted, written, dropped atomic.Int64
}

// ringLines bounds the lines that wait for the writer.
const ringLines = 16384

// waitForLines makes the ring's writer sleep until there is a line; any other
// value is an interval at which it looks, which costs a process at rest most of
// its processor time.
const waitForLines = time.Duration(0)

// timeFormat tells lines of several processes apart to the microsecond.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a sink that writes JSON lines of at least the given level to w.
func New(w io.Writer, level zerolog.Level) *Sink {
	s := new(Sink)
	out := counted{w, &s.written}
	s.ring = diode.NewWriter(out, ringLines, waitForLines, func(missed int) { s.dropped.Add(int64(missed)) })
	s.logger = zerolog.New(counted{s.ring, &s.accepted}).Level(level).With().Timestamp().Logger()
	return s
}

// counted counts the lines written through it.
type counted struct {
	io.Writer
	lines *atomic.Int64
}

// Write implements io.Writer.
func (c counted) Write(line []byte) (int, error) {
	c.lines.Add(1)
	return c.Writer.Write(line)
}

// Discard returns a sink that drops everything.
func Discard() *Sink { return &Sink{logger: zerolog.Nop()} }

// For returns the logger of one part.
func (s *Sink) For(part Part) zerolog.Logger {
	return s.logger.With().Str("part", string(part)).Logger()
}

// Dropped returns how many lines were lost because the writer fell behind.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Times of closing: the ring drops what it holds when it is closed, so its
// writer is given some time to catch up first.
const (
	closeWithin = time.Second
	closePoll   = time.Millisecond
)

// Close writes what is left.
func (s *Sink) Close() error {
	if s.ring == nil {
		return nil
	}
	for end := time.Now().Add(closeWithin); time.Now().Before(end) && s.pending() > 0; {
		time.Sleep(closePoll)
	}
	return s.ring.Close()
}

func (s *Sink) pending() int64 { return s.accepted.Load() - s.written.Load() - s.dropped.Load() }
