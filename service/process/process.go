// Package process sets up the log and the transport of an entry or agent process.
package process

import (
	"os"

	"github.com/rs/zerolog"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/logs"
	"peridotpick.example/common/settings"
	"peridotpick.example/service/transport"
)

// Setup opens the log on standard error at the given level and loads the keys of the transport; tls
// is nil in development mode. The caller closes the sink. Errors name the offending setting.
func Setup(level string, tls *settings.TLS) (*logs.Sink, *transport.Transport, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return nil, nil, errkind.NewField(errkind.InvalidRequest, "/log/level", err.Error())
	}
	var keys *transport.Keys
	if tls != nil {
		if keys, err = transport.LoadKeys(*tls); err != nil {
			return nil, nil, errkind.NewField(errkind.InvalidRequest, "/tls", err.Error())
		}
	}
	return logs.New(os.Stderr, parsed), transport.New(keys), nil
}
