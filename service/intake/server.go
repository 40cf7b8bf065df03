package intake

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	core "peridotpick.example/core/intake"
)

const (
	// headerReadTimeout is the time limit for reading the header of a request.
	headerReadTimeout = 10 * time.Second
	// maxHeaderBytes is the greatest size of a header.
	maxHeaderBytes = 16 << 10
	// requestBytes is the memory that a request takes besides its target, once its header was read.
	requestBytes = 2 << 10
)

// ProbeLimits are the limits of a server for a few programs of the operator, such as health checkers.
var ProbeLimits = core.Limits{Connections: 64, RequestBytes: 4 << 20}

// connKey is the context key of a request's connection.
type connKey struct{}

// WithConn returns a context with the connection of a request.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request's context; nil if it has none.
func ConnOf(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// connOf returns the connection if a Listener has accepted it, otherwise nil.
func connOf(ctx context.Context) *Conn {
	c, _ := ConnOf(ctx).(*Conn)
	return c
}

// NewServer returns a server for connections of a Listener. Only the named fields of headers are kept
// for the handler, since a field may take many times its bytes.
func NewServer(handler http.Handler, fields ...string) *http.Server {
	return &http.Server{
		ConnContext: WithConn, ConnState: OnStateChange, ReadHeaderTimeout: headerReadTimeout, MaxHeaderBytes: maxHeaderBytes,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			keepFields(req, fields)
			c := connOf(req.Context())
			if c == nil {
				handler.ServeHTTP(w, req)
				return
			}
			defer c.answered()
			err := c.headerRead(requestBytes + int64(len(req.Host)+2*len(req.RequestURI)))
			if err == nil && req.ContentLength == 0 {
				err = c.whole()
			}
			if err != nil {
				w.Header().Set("Connection", "close")
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			handler.ServeHTTP(w, req)
		}),
	}
}

// OnStateChange takes the new state of a connection of a server.
func OnStateChange(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.idle()
	}
}

// keepFields drops all fields of a request's header but the named ones.
func keepFields(req *http.Request, names []string) {
	kept := make(http.Header, len(names))
	for _, name := range names {
		if value := req.Header.Get(name); value != "" {
			kept.Set(name, strings.Clone(value))
		}
	}
	req.Header = kept
}
