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
	dialTimeout    = 500 * time.Millisecond
	idleTimeout    = 60 * time.Second
	maxIdlePerHost = 64
	// An HTTP/2 connection that brought nothing for pingAfter is checked, and
	// closed if it does not answer within pingTimeout.
	pingAfter   = 15 * time.Second
	pingTimeout = 2 * time.Second
)

// Client is an HTTP client whose connections count their bytes. It follows no
// redirects and is safe for concurrent use.
type Client struct {
	http.Client
	scheme string
	bytes  atomic.Int64
	conns  atomic.Int64
}

// New returns a client that keeps connections open between calls. A nil TLS
// configuration means plain TCP.
func New(config *tls.Config) *Client {
	c, _ := newClient(config)
	return c
}

// NewHTTP2 returns a client that calls over HTTP/2 only. Calls to one address
// share a connection, whose headers are compressed.
func NewHTTP2(config *tls.Config) *Client {
	c, t := newClient(config)
	t.Protocols = &http.Protocols{}
	t.Protocols.SetHTTP2(true)
	t.Protocols.SetUnencryptedHTTP2(config == nil)
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout}
	return c
}

func newClient(config *tls.Config) (*Client, *http.Transport) {
	c := &Client{scheme: "http"}
	if config != nil {
		c.scheme = "https"
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c.conns.Add(1)
			return &countingConn{Conn: conn, bytes: &c.bytes}, nil
		},
		TLSClientConfig:     config,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	c.Transport = t
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c, t
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
