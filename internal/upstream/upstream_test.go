package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// script answers the requests of each connection with the given bytes, one
// element a request, and then closes the connection.
func script(t *testing.T, answers ...string) (address string, conns *atomic.Int32) {
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
			go serve(conn, answers)
		}
	}()
	return l.Addr().String(), conns
}

func serve(conn net.Conn, answers []string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for _, answer := range answers {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // a test's request
		_, _ = conn.Write([]byte(answer))
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

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionsAreKept(t *testing.T) {
	address, conns := script(t, whole, whole)
	c := New(nil)
	for range 2 {
		body, err := post(c, address)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, conns.Load(), int32(1))
}

// Bytes that come after an answer belong to no request.
func TestConnectionWithExtraBytesIsClosed(t *testing.T) {
	address, conns := script(t, whole+whole, whole)
	c := New(nil)
	for range 2 {
		_, err := post(c, address)
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond) // lets late bytes arrive
	}
	assert.Equal(t, conns.Load(), int32(2))
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address, conns := script(t, whole)
	c := New(nil)
	for range 3 {
		_, err := post(c, address)
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond) // lets the close arrive
	}
	assert.Equal(t, conns.Load(), int32(3))
}

func TestWhatIsKnownOfAFailure(t *testing.T) {
	_, err := post(New(nil), "127.0.0.1:1")
	var notSent *NotSentError
	assert.Assert(t, errors.As(err, &notSent), "%v", err)

	address, _ := script(t, "")
	_, err = post(New(nil), address)
	var cut *BrokenError
	assert.Assert(t, errors.As(err, &cut), "%v", err)
}

func TestCutAnswersAreErrors(t *testing.T) {
	for name, answer := range map[string]string{
		"short":   "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		address, _ := script(t, answer)
		_, err := post(New(nil), address)
		assert.Assert(t, err != nil, name)
	}
}

func TestCancelEndsTheRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	ctx, cancel := context.WithCancelCause(context.Background())
	cause := errors.New("the caller left")
	time.AfterFunc(30*time.Millisecond, func() { cancel(cause) })
	_, err = New(nil).Send(ctx, l.Addr().String(), &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	assert.Assert(t, errors.Is(err, cause), "%v", err)
}

func TestKeepAlive(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                 idleDefault,
		"timeout=5":        5*time.Second - idleMargin,
		"timeout=5, max=9": 5*time.Second - idleMargin,
		"timeout=x":        idleDefault,
	} {
		assert.Equal(t, keepAlive(http.Header{"Keep-Alive": {value}}), want, value)
	}
}
