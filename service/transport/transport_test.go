package transport

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/settings"
	"peridotpick.example/wire"
)

// authority is a certificate authority for the tests.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	der  []byte
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{key: key, cert: template, der: der}
}

// issue writes a key pair with a certificate signed by a, and the certificate of a, into dir.
func (a *authority) issue(t *testing.T, dir string, until time.Time) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "node"},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := settings.TLS{Certificate: filepath.Join(dir, "crt"), Key: filepath.Join(dir, "key"), Authorities: filepath.Join(dir, "ca")}
	for path, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: der}, files.Key: {Type: "EC PRIVATE KEY", Bytes: keyDER},
		files.Authorities: {Type: "CERTIFICATE", Bytes: a.der},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// transport returns a transport with a new key pair signed by a.
func (a *authority) transport(t *testing.T, until time.Time) *Transport {
	keys, err := LoadKeys(a.issue(t, t.TempDir(), until))
	if err != nil {
		t.Fatal(err)
	}
	return New(keys)
}

// emptyEntryServer answers all requests with empty replies.
type emptyEntryServer struct{}

func (emptyEntryServer) Announce(context.Context, *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	return &wire.AnnounceReply{}, nil
}

func (emptyEntryServer) Await(context.Context, *wire.AwaitRequest) (*wire.AwaitReply, error) {
	return &wire.AwaitReply{}, nil
}

// announce calls Announce at the address over a new connection.
func announce(t *Transport, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := t.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = wire.Announce(ctx, conn, &wire.AnnounceRequest{})
	return err
}

func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	ca, other := newAuthority(t), newAuthority(t)
	valid := time.Now().Add(time.Hour)
	listening := ca.transport(t, valid)
	l, err := listening.Listen("127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = Serve(ctx, l, wire.EntryHandler{Server: emptyEntryServer{}}) }()
	address := l.Addr().String()

	is.NoErr(announce(ca.transport(t, valid), address))
	is.True(announce(other.transport(t, valid), address) != nil)                   // another authority
	is.True(announce(ca.transport(t, time.Now().Add(-time.Hour)), address) != nil) // expired
	is.True(announce(New(nil), address) != nil)                                    // no TLS
}

func TestChangedKeyFilesAreReloaded(t *testing.T) {
	is := is.New(t)
	ca, next := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	keys, err := LoadKeys(ca.issue(t, dir, time.Now().Add(time.Hour)))
	is.NoErr(err)
	l, err := New(keys).Listen("127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = Serve(ctx, l, wire.EntryHandler{Server: emptyEntryServer{}}) }()
	is.NoErr(announce(ca.transport(t, time.Now().Add(time.Hour)), l.Addr().String()))
	next.issue(t, dir, time.Now().Add(time.Hour))
	keys.ForceRecheck()
	is.NoErr(announce(next.transport(t, time.Now().Add(time.Hour)), l.Addr().String()))
	is.True(announce(ca.transport(t, time.Now().Add(time.Hour)), l.Addr().String()) != nil)
}
