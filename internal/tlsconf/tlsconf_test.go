package tlsconf

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/transport"
)

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// pemOf encodes DER data as a PEM block.
func pemOf(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{cert: cert, key: key, pem: pemOf("CERTIFICATE", der)}
}

// issue creates a certificate for an IP address and writes its files.
func (a *authority) issue(t *testing.T, files Files, name, ip string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(ip)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	for name, raw := range map[string][]byte{
		files.CA: a.pem, files.Cert: pemOf("CERTIFICATE", der), files.Key: pemOf("PRIVATE KEY", private),
	} {
		assert.NilError(t, os.WriteFile(name, raw, 0o600))
	}
}

func newFiles(t *testing.T) Files {
	dir := t.TempDir()
	return Files{CA: filepath.Join(dir, "ca.pem"), Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
}

// load issues a certificate and returns a store for it, whose clock is the
// returned time.
func (a *authority) load(t *testing.T, name, ip string) (*Store, Files, *time.Time) {
	t.Helper()
	files := newFiles(t)
	a.issue(t, files, name, ip)
	s, err := Load(files, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	now := s.lastCheck
	s.now = func() time.Time { return now }
	return s, files, &now
}

// startServer starts a server that responds with the common name of the client's
// certificate and returns its address.
func startServer(t *testing.T, s *Store) string {
	t.Helper()
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.TLS.PeerCertificates[0].Subject.CommonName)
	}))
	srv.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	srv.Listener = tls.NewListener(srv.Listener, s.Server())
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// get sends a request over a new connection and returns the body of the response.
func get(address string, client func() *tls.Config) (string, error) {
	c := transport.NewReloading(client)
	defer c.CloseIdleConnections()
	resp, err := c.Get(c.URL(address))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

func TestOnlyCertificatesOfTheAuthorityAreAccepted(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	server, _, _ := a.load(t, "server", "127.0.0.1")
	client, _, _ := a.load(t, "client", "127.0.0.1")
	stranger, _, _ := other.load(t, "stranger", "127.0.0.1")
	wrongAddress, _, _ := a.load(t, "elsewhere", "192.0.2.1")
	address := startServer(t, server)

	name, err := get(address, client.Client)
	assert.NilError(t, err)
	assert.Equal(t, name, "client")

	_, err = get(address, stranger.Client)
	assert.ErrorContains(t, err, "unknown authority")
	wrongCertificate := func() *tls.Config {
		config := client.Client().Clone()
		config.Certificates = stranger.Client().Certificates
		return config
	}
	_, err = get(address, wrongCertificate)
	assert.Assert(t, err != nil, "a client with a certificate of another authority was accepted")
	noCertificate := func() *tls.Config {
		config := client.Client().Clone()
		config.Certificates = nil
		return config
	}
	_, err = get(address, noCertificate)
	assert.ErrorContains(t, err, "certificate required")
	_, err = get(startServer(t, wrongAddress), client.Client)
	assert.ErrorContains(t, err, "192.0.2.1")

	resp, err := http.Get("http://" + address)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
}

func TestChangedFilesAreReloaded(t *testing.T) {
	a, next := newAuthority(t), newAuthority(t)
	server, serverFiles, serverNow := a.load(t, "server", "127.0.0.1")
	client, clientFiles, clientNow := a.load(t, "client", "127.0.0.1")
	address := startServer(t, server)

	next.issue(t, serverFiles, "server", "127.0.0.1")
	next.issue(t, clientFiles, "renewed", "127.0.0.1")
	name, err := get(address, client.Client)
	assert.NilError(t, err)
	assert.Equal(t, name, "client", "the files were read again within the interval")

	*serverNow = serverNow.Add(checkInterval)
	_, err = get(address, client.Client)
	assert.Assert(t, err != nil, "the server still accepts the old authority")
	*clientNow = clientNow.Add(checkInterval)
	name, err = get(address, client.Client)
	assert.NilError(t, err)
	assert.Equal(t, name, "renewed")
}

func TestUnusableFilesKeepTheCurrentCertificate(t *testing.T) {
	a := newAuthority(t)
	server, files, now := a.load(t, "server", "127.0.0.1")
	client, _, _ := a.load(t, "client", "127.0.0.1")
	address := startServer(t, server)
	var log bytes.Buffer
	server.log = slog.New(slog.NewTextHandler(&log, nil))
	assertServed := func() {
		t.Helper()
		*now = now.Add(checkInterval)
		name, err := get(address, client.Client)
		assert.NilError(t, err)
		assert.Equal(t, name, "client")
	}
	errorsLogged := func() int { return strings.Count(log.String(), "level=ERROR") }

	for i, name := range []string{files.CA, files.Cert, files.Key} {
		good, err := os.ReadFile(name)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(name, []byte("broken"), 0o600))
		assertServed()
		assertServed()
		assert.Equal(t, errorsLogged(), i+1, log.String())
		assert.NilError(t, os.WriteFile(name, good, 0o600))
		assertServed()
	}
	assert.NilError(t, os.Remove(files.Key))
	assertServed()
	assert.Equal(t, errorsLogged(), 4, log.String())
	_, err := Load(files, server.log)
	assert.ErrorContains(t, err, "check its name and permissions")
}
