package endpoint

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/transport"
)

// closingServer answers the first request on each connection and closes the
// connection on the second one without a response. It counts the requests.
func closingServer(t *testing.T) (address string, requests *atomic.Int32) {
	t.Helper()
	requests = &atomic.Int32{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(conn, requests)
		}
	}()
	return l.Addr().String(), requests
}

func serveConn(conn net.Conn, requests *atomic.Int32) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		requests.Add(1)
		if i > 0 {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

func post(t *testing.T, do func(*http.Request, []byte) (*http.Response, error), address string) error {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/orders", nil)
	assert.NilError(t, err)
	req.Header.Set("Idempotency-Key", "order-1")
	resp, err := do(req, nil)
	if resp != nil {
		resp.Body.Close()
	}
	return err
}

func TestDoNeverResends(t *testing.T) {
	address, requests := closingServer(t)
	c := NewClient(transport.New(nil))
	assert.NilError(t, post(t, c.Do, address))
	err := post(t, c.Do, address)
	assert.Assert(t, err != nil)
	assert.Equal(t, requests.Load(), int32(2))

	var notSent *NotSentError
	assert.Assert(t, !errors.As(err, &notSent), "a request that was sent was reported as not sent")
}

func TestPlainClientResendsKeyedPost(t *testing.T) {
	address, requests := closingServer(t)
	c := NewClient(transport.New(nil))
	plain := func(req *http.Request, _ []byte) (*http.Response, error) { return c.http.Do(req) }
	assert.NilError(t, post(t, plain, address))
	assert.NilError(t, post(t, plain, address))
	assert.Equal(t, requests.Load(), int32(3), "net/http no longer resends; nonReplayableBody can be removed")
}

func TestDoReturnsNotSentError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	l.Close()
	err = post(t, NewClient(transport.New(nil)).Do, address)
	var notSent *NotSentError
	assert.Assert(t, errors.As(err, &notSent))
}
