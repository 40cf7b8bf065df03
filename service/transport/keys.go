package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"peridotpick.example/common/settings"
)

// reloadEvery is how often the key files are looked at for changes.
const reloadEvery = 5 * time.Second

// Keys is a key pair and the authorities trusted, read again from their files
// when these change, so that certificates are replaced without a restart.
type Keys struct {
	files settings.TLS

	mu      sync.Mutex
	checked time.Time
	changed time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// LoadKeys reads the files.
func LoadKeys(files settings.TLS) (*Keys, error) {
	k := &Keys{files: files}
	if err := k.load(); err != nil {
		return nil, err
	}
	return k, nil
}

func (k *Keys) load() error {
	cert, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return eris.Wrap(err, "load key pair")
	}
	pem, err := os.ReadFile(k.files.Authorities)
	if err != nil {
		return eris.Wrap(err, "load authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return eris.Errorf("no certificate in %s", k.files.Authorities)
	}
	k.cert, k.pool = &cert, pool
	return nil
}

// current returns the newest readable key pair and authorities. Files that
// cannot be read leave the old ones in force.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checked) < reloadEvery {
		return k.cert, k.pool
	}
	k.checked = time.Now()
	if newest := k.newest(); newest.After(k.changed) && k.load() == nil {
		k.changed = newest
	}
	return k.cert, k.pool
}

// Reload looks at the files at the next use.
func (k *Keys) Reload() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checked = time.Time{}
}

func (k *Keys) newest() time.Time {
	var newest time.Time
	for _, name := range []string{k.files.Certificate, k.files.Key, k.files.Authorities} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// ServerConfig returns the configuration of a listener; mutual ones demand a
// certificate of the peer.
func (k *Keys) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := k.current()
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}}
			if mutual {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = pool
			}
			return config, nil
		},
	}
}

// ClientConfig returns the configuration to dial a peer. Peers are known by IP
// number and by the authority that signed their certificate, not by host name.
func (k *Keys) ClientConfig() *tls.Config {
	cert, pool := k.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*cert},
		InsecureSkipVerify: true, // replaced by VerifyConnection below
		VerifyConnection:   func(state tls.ConnectionState) error { return verify(state, pool) },
	}
}

// verify checks the chain of a peer's certificate against the authorities.
func verify(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return eris.Wrap(err, "peer certificate")
}
