// Package tlsconf gives the mutual TLS of connections between entry VMs and
// from operators. Certificates are read from PEM files and follow them
// without a restart.
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

// checkInterval is the shortest time between two reads of the files.
const checkInterval = time.Second

// Files names the PEM files.
type Files struct {
	CA   string // authority that signs all certificates
	Cert string // own certificate
	Key  string // its key
}

// Store holds the newest pair and authority that could be read. It is safe
// for concurrent use.
type Store struct {
	files Files
	log   *slog.Logger
	now   func() time.Time

	mu      sync.Mutex
	checked time.Time
	read    contents // those in use
	failure string   // the last fault logged, empty if there is none
	server  *tls.Config
	client  *tls.Config
}

// contents are those of the files.
type contents struct{ ca, cert, key string }

// Load reads the files. Later faults of theirs are logged.
func Load(files Files, log *slog.Logger) (*Store, error) {
	s := &Store{files: files, log: log, now: time.Now}
	s.checked = s.now()
	read, err := files.read()
	if err == nil {
		err = s.use(read)
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	return s, nil
}

func (f Files) read() (contents, error) {
	var c contents
	for _, file := range []struct {
		name string
		dst  *string
	}{{f.CA, &c.ca}, {f.Cert, &c.cert}, {f.Key, &c.key}} {
		raw, err := os.ReadFile(file.name)
		if err != nil {
			return c, errors.Annotate(err, "TLS file; check its name and rights")
		}
		*file.dst = string(raw)
	}
	return c, nil
}

// use makes the configurations of new connections. Those of earlier ones and
// their session tickets are given up.
func (s *Store) use(c contents) error {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM([]byte(c.ca)) {
		return errors.NotValidf("%s: it holds no certificate; name a PEM file of the authority", s.files.CA)
	}
	pair, err := tls.X509KeyPair([]byte(c.cert), []byte(c.key))
	if err != nil {
		return errors.Annotatef(err, "%s and %s; put a certificate and its key there", s.files.Cert, s.files.Key)
	}
	s.read = c
	s.server = &tls.Config{
		NextProtos: []string{"h2", "http/1.1"},
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: roots,
	}
	s.client = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: roots}
	return nil
}

// refresh follows the files. mu is held.
func (s *Store) refresh() {
	now := s.now()
	if now.Sub(s.checked) < checkInterval {
		return
	}
	s.checked = now
	read, err := s.files.read()
	switch {
	case err != nil:
		s.fail(err)
	case read == s.read:
		s.failure = ""
	default:
		if err = s.use(read); err != nil {
			s.fail(err)
			return
		}
		s.failure = ""
		s.log.Info("TLS files are read anew", "cert", s.files.Cert)
	}
}

// fail logs a fault once for as long as it stays the same.
func (s *Store) fail(err error) {
	if s.failure == err.Error() {
		return
	}
	s.failure = err.Error()
	s.log.Error("TLS files cannot be used; those read before stay in use", "error", err)
}

// Server returns the configuration of a listener, which requires a client
// certificate of the authority and follows the files at each handshake.
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

// Client returns the configuration of the next connection. The caller must
// not change it.
func (s *Store) Client() *tls.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	return s.client
}
