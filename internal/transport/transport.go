// Package transport provides the HTTP clients for connections between entry VMs
// and to endpoints. They count bytes and connections, so that the cost of control
// traffic can be measured.
package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/httpstatus"
)

const (
	dialTimeout = 500 * time.Millisecond
	// handshakeTimeout is the timeout of a TLS handshake.
	handshakeTimeout = 1 * time.Second
	idleTimeout      = 60 * time.Second
	maxIdlePerHost   = 64
	// An HTTP/2 connection on which nothing was received for pingAfter is pinged,
	// and closed if there is no response within pingTimeout.
	pingAfter   = 15 * time.Second
	pingTimeout = 2 * time.Second
	// protocolHTTP2 is the ALPN name of HTTP/2.
	protocolHTTP2 = "h2"
)

// ConfigFunc returns the TLS configuration for a new connection.
type ConfigFunc func() *tls.Config

// Client is an HTTP client that counts its connections and their bytes. It doesn't
// follow redirects and is safe for concurrent use.
type Client struct {
	http.Client
	scheme    string
	protocol  string // requested in TLS handshakes by ALPN; empty means HTTP/1.1
	transport *http.Transport
	bytes     atomic.Int64
	conns     atomic.Int64
}

// New returns a client that keeps connections open between calls. A nil TLS
// configuration means plain TCP.
func New(config *tls.Config) *Client {
	if config == nil {
		return newClient(nil)
	}
	return NewReloading(func() *tls.Config { return config })
}

// NewReloading returns a client that calls config for each new connection, so that
// new certificates are used without a restart. The server's certificate is
// verified against the host in the address.
func NewReloading(config ConfigFunc) *Client { return newClient(config) }

// NewHTTP2 returns a client that uses only HTTP/2. Calls to one address share a
// connection with compressed headers. A nil config means plain TCP.
func NewHTTP2(config ConfigFunc) *Client {
	c := newClient(config)
	c.protocol = protocolHTTP2
	t := c.transport
	t.Protocols = &http.Protocols{}
	t.Protocols.SetHTTP2(true)
	t.Protocols.SetUnencryptedHTTP2(config == nil)
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout}
	c.Transport = noRetryTransport{t}
	return c
}

// noRetryTransport keeps net/http from resending a request's body on another
// connection, which under HTTP/2 races with the first attempt. The caller gets an
// error for a request that was lost.
type noRetryTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t noRetryTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	copied := req.WithContext(req.Context())
	copied.GetBody = nil
	return t.RoundTripper.RoundTrip(copied)
}

func newClient(config ConfigFunc) *Client {
	c := &Client{scheme: "http"}
	c.transport = &http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: bodylimit.MaxHead,
	}
	if config != nil {
		c.scheme = "https"
		c.transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.dialTLS(ctx, network, address, config())
		}
	}
	c.Transport = c.transport
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

// Do sends a request as http.Client does. An answer whose head is none of the protocol
// is an *httpstatus.InvalidError.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	resp, err := c.Client.Do(req)
	if err != nil {
		return nil, err
	}
	if err := httpstatus.Check(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.conns.Add(1)
	return &countingConn{Conn: conn, bytes: &c.bytes}, nil
}

// dialTLS opens a TLS connection and verifies the server's certificate against the
// host in the address.
func (c *Client) dialTLS(ctx context.Context, network, address string, config *tls.Config) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	config = config.Clone()
	config.ServerName = host
	if c.protocol != "" {
		config.NextProtos = []string{c.protocol}
	}
	tlsConn := tls.Client(conn, config)
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// LimitBodies bounds the bodies of responses, for a client whose callers read them
// whole: each, and all whose responses are not closed, in bytes. It must be called
// before the first request.
func (c *Client) LimitBodies(each, together int64) *Client {
	c.Transport = bodylimit.NewTransport(c.Transport, each, together)
	return c
}

// URL returns the base URL of an address: its scheme is https if the client uses
// TLS, http otherwise.
func (c *Client) URL(address string) string { return c.scheme + "://" + address }

// Bytes returns the total number of bytes sent and received on all connections.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// Conns returns the number of connections opened so far.
func (c *Client) Conns() int64 { return c.conns.Load() }

// countingConn adds the bytes that it reads and writes to bytes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
