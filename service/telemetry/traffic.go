package telemetry

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// Traffic counts the messages of one kind of link.
type Traffic struct {
	name           string
	sent, received metrics.Counter
	// loggedAt is when the rates were last logged, for the counts of then.
	loggedAt                   time.Time
	loggedSent, loggedReceived int64
}

// trafficEvery is the time between two lines of the log with the rates.
const trafficEvery = 10 * time.Second

// NewTraffic returns counters that the registry serves as messages.NAME.sent and
// messages.NAME.received.
func NewTraffic(name string, registry metrics.Registry) *Traffic {
	return &Traffic{
		name:     name,
		sent:     metrics.GetOrRegisterCounter("messages."+name+".sent", registry),
		received: metrics.GetOrRegisterCounter("messages."+name+".received", registry),
	}
}

// Sent counts a message that was sent.
func (t *Traffic) Sent() { t.sent.Inc(1) }

// Received counts a message that was received.
func (t *Traffic) Received() { t.received.Inc(1) }

// Log writes the rates now and then, with the number of links. Calls must not overlap.
func (t *Traffic) Log(now time.Time, log zerolog.Logger, message string, links int) {
	if t.loggedAt.IsZero() {
		t.loggedAt = now
		return
	}
	passed := now.Sub(t.loggedAt)
	if passed < trafficEvery {
		return
	}
	sent, received := t.sent.Count(), t.received.Count()
	log.Info().Str("with", t.name).Int("links", links).
		Float64("sent_per_s", float64(sent-t.loggedSent)/passed.Seconds()).
		Float64("received_per_s", float64(received-t.loggedReceived)/passed.Seconds()).Msg(message)
	t.loggedAt, t.loggedSent, t.loggedReceived = now, sent, received
}
