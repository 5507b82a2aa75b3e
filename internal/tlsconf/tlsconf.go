// Package tlsconf provides the mutual TLS configuration of connections between
// entry VMs and from operators. Certificates are read from PEM files, and changed
// files are reloaded without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// checkInterval is the minimum time between two reads of the files.
const checkInterval = time.Second

// Files holds the names of the PEM files.
type Files struct {
	CA   string // certificate authority that signs all certificates
	Cert string // own certificate
	Key  string // private key of the certificate
}

// Store holds the TLS configurations made of the newest usable files. It is safe
// for concurrent use.
type Store struct {
	files Files
	log   *slog.Logger
	now   func() time.Time

	mu        sync.Mutex
	lastCheck time.Time
	current   fileContents // contents of the files in use
	lastError string       // last error logged, empty if the files are usable
	server    *tls.Config
	client    *tls.Config
}

// fileContents holds the contents of the PEM files.
type fileContents struct{ ca, cert, key string }

// Load reads the files and returns an error if they can't be used. Errors of later
// reads are only logged.
func Load(files Files, log *slog.Logger) (*Store, error) {
	s := &Store{files: files, log: log, now: time.Now}
	s.lastCheck = s.now()
	loaded, err := files.read()
	if err == nil {
		err = s.apply(loaded)
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	return s, nil
}

// read returns the contents of the files.
func (f Files) read() (fileContents, error) {
	var c fileContents
	for _, file := range []struct {
		name string
		dst  *string
	}{{f.CA, &c.ca}, {f.Cert, &c.cert}, {f.Key, &c.key}} {
		raw, err := os.ReadFile(file.name)
		if err != nil {
			return c, errors.Annotate(err, "reading a TLS file; check its name and permissions")
		}
		*file.dst = string(raw)
	}
	return c, nil
}

// apply replaces the configurations for new connections. The old ones are dropped
// together with their session tickets, so that no session of theirs is resumed.
func (s *Store) apply(c fileContents) error {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM([]byte(c.ca)) {
		return errors.NotValidf("%s contains no certificate (name the PEM file of the authority): CA file", s.files.CA)
	}
	pair, err := tls.X509KeyPair([]byte(c.cert), []byte(c.key))
	if err != nil {
		return errors.Annotatef(err, "parsing %s and %s; they must hold a certificate and its key", s.files.Cert, s.files.Key)
	}
	s.current = c
	s.server = &tls.Config{
		NextProtos: []string{"h2", "http/1.1"},
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: roots,
	}
	s.client = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: roots}
	return nil
}

// refresh reloads the files if they have changed, at most once per checkInterval.
// Files that can't be used leave the current configurations in place. The caller
// holds mu.
func (s *Store) refresh() {
	now := s.now()
	if now.Sub(s.lastCheck) < checkInterval {
		return
	}
	s.lastCheck = now
	loaded, err := s.files.read()
	switch {
	case err != nil:
		s.logFailure(err)
	case loaded == s.current:
		s.lastError = ""
	default:
		if err = s.apply(loaded); err != nil {
			s.logFailure(err)
			return
		}
		s.lastError = ""
		s.log.Info("TLS files reloaded", "cert", s.files.Cert)
	}
}

// logFailure logs an error unless it is the same as the last one.
func (s *Store) logFailure(err error) {
	if s.lastError == err.Error() {
		return
	}
	s.lastError = err.Error()
	s.log.Error("TLS files cannot be used; keeping the certificates read before", "error", err)
}

// Server returns the configuration of a listener. It requires a client certificate
// signed by the authority, and uses the newest files at each handshake.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.refresh()
			return s.server, nil
		},
	}
}

// Client returns the configuration for the next outgoing connection. The caller
// must not modify it.
func (s *Store) Client() *tls.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	return s.client
}
