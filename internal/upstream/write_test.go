package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// countingConn counts the writes to a connection.
type countingConn struct {
	net.Conn
	writes *atomic.Int32
}

// Write implements io.Writer.
func (c countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// startEarlyServer starts a server that answers each request before it reads the
// body, and then sends the body to the channel.
func startEarlyServer(t *testing.T) (address string, bodies chan []byte) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	bodies = make(chan []byte, 1)
	serve := func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, completeResponse) // an error shows as a failed request in the test
			body, _ := io.ReadAll(req.Body)               // a truncated body shows in the test
			bodies <- body
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String(), bodies
}

// Guards against a body that is cut off because the response came first, and against
// a second write for small requests.
func TestWholeBodyIsSentToAnEndpointThatRespondsEarly(t *testing.T) {
	for _, size := range []int{0, 1, maxCopiedBody, maxCopiedBody + 1, 8 << 20} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			address, bodies := startEarlyServer(t)
			var writes atomic.Int32
			c := New(func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := dialPatiently(ctx, address)
				return countingConn{conn, &writes}, err
			})
			body := bytes.Repeat([]byte("0123456789abcde\n"), size/16+1)[:size]
			for n := range int32(2) {
				resp, err := c.Send(t.Context(), address, &Request{Method: http.MethodPost, Target: "/", Host: "h", Body: body})
				assert.NilError(t, err)
				resp.Discard()
				resp.Close()
				assert.Assert(t, bytes.Equal(<-bodies, body))
				want := int32(1)
				if size > maxCopiedBody {
					want = 2
				}
				assert.Equal(t, writes.Load(), (n+1)*want)
			}
		})
	}
}

// Guards against a copy of the body for each send: 80 bodies of 4 MiB ended a VM of
// 414 MB.
func TestLargeBodyIsNotCopied(t *testing.T) {
	const sends, size = 8, 1 << 20
	body := make([]byte, size)
	client := New(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			r := bufio.NewReaderSize(far, 4<<10)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = r.Discard(int(req.ContentLength)) // an error shows as a failed request in the test
				_, _ = io.WriteString(far, completeResponse)
			}
		}()
		return near, nil
	})
	send := func() {
		resp, err := client.Send(t.Context(), "h", &Request{Method: http.MethodPost, Target: "/", Host: "h", Body: body})
		assert.NilError(t, err)
		resp.Discard()
		resp.Close()
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range sends {
		send()
	}
	runtime.ReadMemStats(&after)
	perSend := (after.TotalAlloc - before.TotalAlloc) / sends
	assert.Assert(t, perSend < size/8, "a send allocated %d bytes", perSend)
}
