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

// recheckInterval is the shortest pause between checks of the key files for changes.
const recheckInterval = 5 * time.Second

// Keys is a key pair and the trusted certificate authorities. They are reloaded when their files
// change, so that certificates can be replaced without a restart.
type Keys struct {
	files settings.TLS

	mu           sync.Mutex
	lastCheck    time.Time
	lastModified time.Time
	cert         *tls.Certificate
	pool         *x509.CertPool
}

// LoadKeys loads the key pair and the authorities from their files.
func LoadKeys(files settings.TLS) (*Keys, error) {
	k := &Keys{files: files}
	if err := k.load(); err != nil {
		return nil, err
	}
	return k, nil
}

// load loads the files. After an error the previous key pair and authorities stay.
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
		return eris.Errorf("no PEM certificate in %s", k.files.Authorities)
	}
	k.cert, k.pool = &cert, pool
	return nil
}

// current returns the key pair and the authorities, after reloading them if their files have changed.
// If the files cannot be loaded, the previous ones stay in use.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.lastCheck) < recheckInterval {
		return k.cert, k.pool
	}
	k.lastCheck = time.Now()
	if newest := k.newestModTime(); newest.After(k.lastModified) && k.load() == nil {
		k.lastModified = newest
	}
	return k.cert, k.pool
}

// ForceRecheck makes the next use check the files, whenever they were checked last.
func (k *Keys) ForceRecheck() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastCheck = time.Time{}
}

// newestModTime returns the newest modification time of the files.
func (k *Keys) newestModTime() time.Time {
	var latest time.Time
	for _, name := range []string{k.files.Certificate, k.files.Key, k.files.Authorities} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// ServerConfig returns the TLS configuration of a listener. If mutual is set, peers must present a
// certificate of a trusted authority.
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

// ClientConfig returns the TLS configuration to dial a peer. Peers have IP addresses and no host
// names, so only the authority that signed their certificate is verified.
func (k *Keys) ClientConfig() *tls.Config {
	cert, pool := k.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*cert},
		InsecureSkipVerify: true, // VerifyConnection verifies the certificate instead
		VerifyConnection:   func(state tls.ConnectionState) error { return verify(state, pool) },
	}
}

// verify verifies the chain of a peer's certificate against the authorities.
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
	return eris.Wrap(err, "verify peer certificate")
}
