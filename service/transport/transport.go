// Package transport opens and accepts the connections between entries and agents: TCP between IP
// addresses, with mutual TLS unless the process runs in development mode on loopback.
package transport

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// maxMessage is the largest size of a message from a peer, in bytes.
const maxMessage = 32 << 20

// keepAlive is the interval of TCP keep-alive probes, which detect peers that are lost without
// closing the connection.
const keepAlive = 15 * time.Second

// managerOptions returns the options of all drpc connections.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage}}
}

// Transport dials and listens with the key pair of the process.
type Transport struct {
	keys *Keys
}

// New returns a transport; keys is nil in development mode.
func New(keys *Keys) *Transport { return &Transport{keys: keys} }

// Listen listens for peers, who must present a certificate, on an IP:port.
func (t *Transport) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	if t.keys == nil {
		return l, nil
	}
	return tls.NewListener(l, t.keys.ServerConfig(true)), nil
}

// ListenCallers listens for callers, who present no certificate, on an IP:port.
func (t *Transport) ListenCallers(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	if t.keys == nil {
		return l, nil
	}
	return tls.NewListener(l, t.keys.ServerConfig(false)), nil
}

// Dial opens a drpc connection to a peer at an IP:port.
func (t *Transport) Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := net.Dialer{KeepAlive: keepAlive}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	var conn net.Conn = raw
	if t.keys != nil {
		secure := tls.Client(raw, t.keys.ClientConfig())
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, eris.Wrapf(err, "TLS to %s", address)
		}
		conn = secure
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// Serve serves drpc connections on l until ctx ends.
func Serve(ctx context.Context, l net.Listener, handler drpc.Handler) error {
	server := drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: managerOptions()})
	return server.Serve(ctx, l)
}
