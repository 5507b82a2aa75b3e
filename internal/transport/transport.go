// Package transport makes the HTTP clients of connections between entry VMs
// and to endpoints. They count what they carry, so that the cost of control
// can be measured.
package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 500 * time.Millisecond
	// handshakeTimeout bounds the handshake of a TLS connection.
	handshakeTimeout = 1 * time.Second
	idleTimeout      = 60 * time.Second
	maxIdlePerHost   = 64
	// An HTTP/2 connection that brought nothing for pingAfter is checked, and
	// closed if it does not answer within pingTimeout.
	pingAfter   = 15 * time.Second
	pingTimeout = 2 * time.Second
	// protocolHTTP2 is the name of HTTP/2 in TLS handshakes.
	protocolHTTP2 = "h2"
)

// Config returns the TLS configuration of a new connection.
type Config func() *tls.Config

// Client is an HTTP client whose connections count their bytes. It follows no
// redirects and is safe for concurrent use.
type Client struct {
	http.Client
	scheme    string
	protocol  string // asked for in TLS handshakes; empty means HTTP/1.1
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

// NewReloading returns a client that asks for the TLS configuration of each
// new connection and verifies the server's certificate by the host that it
// calls.
func NewReloading(config Config) *Client { return newClient(config) }

// NewHTTP2 returns a client that calls over HTTP/2 only. Calls to one address
// share a connection, whose headers are compressed. A nil configuration means
// plain TCP.
func NewHTTP2(config Config) *Client {
	c := newClient(config)
	c.protocol = protocolHTTP2
	t := c.transport
	t.Protocols = &http.Protocols{}
	t.Protocols.SetHTTP2(true)
	t.Protocols.SetUnencryptedHTTP2(config == nil)
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout}
	c.Transport = oneTry{t}
	return c
}

// oneTry keeps net/http from sending a request's body a second time on
// another connection, which under HTTP/2 races with the first one. A message
// that was lost is an error to its sender.
type oneTry struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t oneTry) RoundTrip(req *http.Request) (*http.Response, error) {
	once := req.WithContext(req.Context())
	once.GetBody = nil
	return t.RoundTripper.RoundTrip(once)
}

func newClient(config Config) *Client {
	c := &Client{scheme: "http"}
	c.transport = &http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
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

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.conns.Add(1)
	return &countingConn{Conn: conn, bytes: &c.bytes}, nil
}

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
	secured := tls.Client(conn, config)
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secured, nil
}

// URL returns the base URL of an address that this client calls.
func (c *Client) URL(address string) string { return c.scheme + "://" + address }

// Bytes returns how many bytes the client has sent and received.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// Conns returns how many connections the client has opened.
func (c *Client) Conns() int64 { return c.conns.Load() }

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
