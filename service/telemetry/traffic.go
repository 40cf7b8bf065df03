package telemetry

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// Traffic counts the messages on all links of one kind.
type Traffic struct {
	name           string
	sent, received metrics.Counter
	// loggedAt is the time when the rates were last logged; loggedSent and loggedReceived are
	// the counts at that time.
	loggedAt                   time.Time
	loggedSent, loggedReceived int64
}

// trafficLogInterval is the interval at which the rates are logged.
const trafficLogInterval = 10 * time.Second

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

// Log logs the rates since the last log line and the number of links, if trafficLogInterval has
// passed. The first call only starts the interval. Calls must not overlap.
func (t *Traffic) Log(now time.Time, log zerolog.Logger, message string, links int) {
	if t.loggedAt.IsZero() {
		t.loggedAt = now
		return
	}
	elapsed := now.Sub(t.loggedAt)
	if elapsed < trafficLogInterval {
		return
	}
	sent, received := t.sent.Count(), t.received.Count()
	log.Info().Str("with", t.name).Int("links", links).
		Float64("sent_per_s", float64(sent-t.loggedSent)/elapsed.Seconds()).
		Float64("received_per_s", float64(received-t.loggedReceived)/elapsed.Seconds()).Msg(message)
	t.loggedAt, t.loggedSent, t.loggedReceived = now, sent, received
}
