package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// startScriptedServer starts a server that answers the n-th request of each
// connection with the n-th of the given responses and then closes the connection.
// conns counts the connections.
func startScriptedServer(t *testing.T, responses ...string) (address string, conns *atomic.Int32) {
	t.Helper()
	conns = &atomic.Int32{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go serveScript(conn, responses)
		}
	}()
	return l.Addr().String(), conns
}

func serveScript(conn net.Conn, responses []string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for _, response := range responses {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // an error shows as a failed request in the test
		_, _ = conn.Write([]byte(response))
	}
}

func post(c *Client, address string) (string, error) {
	resp, err := c.Send(context.Background(), address, &Request{Method: http.MethodPost, Target: "/", Host: "h", Body: []byte("x")})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// dialPatiently opens a TCP connection however long that takes, so that a busy
// machine doesn't turn a request into one that wasn't sent.
func dialPatiently(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionsAreReused(t *testing.T) {
	address, conns := startScriptedServer(t, completeResponse, completeResponse)
	c := New(dialPatiently)
	for range 2 {
		body, err := post(c, address)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, conns.Load(), int32(1))
}

// Bytes after a response belong to no request, so the connection must not be
// reused.
func TestConnectionWithExtraBytesIsClosed(t *testing.T) {
	address, conns := startScriptedServer(t, completeResponse+completeResponse, completeResponse)
	c := New(dialPatiently)
	for range 2 {
		_, err := post(c, address)
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond) // lets the extra bytes arrive
	}
	assert.Equal(t, conns.Load(), int32(2))
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	address, conns := startScriptedServer(t, completeResponse)
	c := New(dialPatiently)
	for range 3 {
		_, err := post(c, address)
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond) // lets the close arrive
	}
	assert.Equal(t, conns.Load(), int32(3))
}

func TestErrorTypeShowsWhetherTheRequestWasSent(t *testing.T) {
	_, err := post(New(dialPatiently), "127.0.0.1:1")
	var notSent *NotSentError
	assert.Assert(t, errors.As(err, &notSent), "%v", err)

	address, _ := startScriptedServer(t, "")
	_, err = post(New(dialPatiently), address)
	var broken *BrokenError
	assert.Assert(t, errors.As(err, &broken), "%v", err)
}

func TestTruncatedResponsesAreErrors(t *testing.T) {
	for name, response := range map[string]string{
		"short":   "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		address, _ := startScriptedServer(t, response)
		_, err := post(New(dialPatiently), address)
		assert.Assert(t, err != nil, name)
	}
}

func TestCancelEndsTheRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	ctx, cancel := context.WithCancelCause(context.Background())
	cause := errors.New("the caller left")
	go func() {
		conn, err := l.Accept()
		if !assert.Check(t, err) {
			return
		}
		defer conn.Close()
		_, err = http.ReadRequest(bufio.NewReader(conn))
		assert.Check(t, err)
		cancel(cause)
		_, _ = io.Copy(io.Discard, conn) // returns when the client closes the connection
	}()
	_, err = New(dialPatiently).Send(ctx, l.Addr().String(), &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	assert.Assert(t, errors.Is(err, cause), "%v", err)
}

func TestConnectionsHaveAUserTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	dialer := tcpDialer
	dialer.Timeout = 0
	nc, err := dialer.DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	defer nc.Close()
	raw, err := nc.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) {
		milliseconds, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		assert.Check(t, err)
		assert.Check(t, is.Equal(int64(milliseconds), tcpUserTimeout.Milliseconds()))
	}))
}

func TestKeepAlive(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                 defaultIdleTimeout,
		"timeout=5":        5*time.Second - idleTimeoutMargin,
		"timeout=5, max=9": 5*time.Second - idleTimeoutMargin,
		"timeout=x":        defaultIdleTimeout,
		"max=9, timeout=5": 5*time.Second - idleTimeoutMargin,
		"max=9,timeout=5":  5*time.Second - idleTimeoutMargin,
		"max=9, Timeout=5": 5*time.Second - idleTimeoutMargin,
		"max=9":            defaultIdleTimeout,
		"xtimeout=5":       defaultIdleTimeout,
		"timeout":          defaultIdleTimeout,
	} {
		assert.Check(t, is.Equal(keepAliveTimeout(http.Header{"Keep-Alive": {value}}), want), value)
	}
	twoLines := http.Header{"Keep-Alive": {"max=9", "timeout=5"}}
	assert.Check(t, is.Equal(keepAliveTimeout(twoLines), 5*time.Second-idleTimeoutMargin))
}

// A refusal that was repeated on a kept connection was taken for the response to
// the request's second send there, which the endpoint ran.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	address, conns := startScriptedServer(t, completeResponse, completeResponse, completeResponse)
	c := New(dialPatiently)
	for _, id := range []string{"a", "b", "a", "b", "c"} {
		resp, err := c.Send(t.Context(), address, &Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h"})
		assert.NilError(t, err)
		resp.Discard()
		resp.Close()
	}
	assert.Equal(t, conns.Load(), int32(2), "a and b on one connection, then again on another")
}

func TestIDsThatAConnectionRemembersAreBounded(t *testing.T) {
	responses := slices.Repeat([]string{completeResponse}, 2*maxIDsPerConn)
	address, conns := startScriptedServer(t, responses...)
	c := New(dialPatiently)
	for i := range maxIDsPerConn + 1 {
		resp, err := c.Send(t.Context(), address, &Request{ID: strconv.Itoa(i), Method: http.MethodGet, Target: "/", Host: "h"})
		assert.NilError(t, err)
		resp.Discard()
		resp.Close()
	}
	assert.Equal(t, conns.Load(), int32(2))
}
