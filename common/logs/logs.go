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
	logger  zerolog.Logger
	ring    io.Closer
	dropped atomic.Int64
}

// ringLines bounds the lines that wait for the writer; pollInterval is how
// often the writer looks for lines.
const (
	ringLines    = 16384
	pollInterval = 10 * time.Millisecond
)

// New returns a sink that writes JSON lines of at least the given level to w.
func New(w io.Writer, level zerolog.Level) *Sink {
	s := new(Sink)
	ring := diode.NewWriter(w, ringLines, pollInterval, func(missed int) { s.dropped.Add(int64(missed)) })
	s.ring = ring
	s.logger = zerolog.New(ring).Level(level).With().Timestamp().Logger()
	return s
}

// Discard returns a sink that drops everything.
func Discard() *Sink { return &Sink{logger: zerolog.Nop()} }

// For returns the logger of one part.
func (s *Sink) For(part Part) zerolog.Logger {
	return s.logger.With().Str("part", string(part)).Logger()
}

// Dropped returns how many lines were lost because the writer fell behind.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what is left.
func (s *Sink) Close() error {
	if s.ring == nil {
		return nil
	}
	return s.ring.Close()
}
