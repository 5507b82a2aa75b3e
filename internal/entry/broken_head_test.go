package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writeRaw returns a handler that writes the bytes as they are and closes the
// connection. %ID% stands for the request's ID.
func writeRaw(t *testing.T, raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		assert.Check(t, err)
		_, _ = io.WriteString(conn, strings.ReplaceAll(raw, "%ID%", r.Header.Get("X-Id"))) // the node may have closed it
		conn.Close()
	}
}

// brokenHeads are heads of successes, without the empty line that ends them.
var brokenHeads = map[string]string{
	"length":  "HTTP/1.1 200 OK\r\nX-Id: %ID%\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n",
	"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\nX-Id: %ID%\r\nX-Seal: s\r\n",
	"none":    "HTTP/1.1 200 OK\r\nX-Id: %ID%\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n",
	"interim": "HTTP/1.1 103 Early Hints\r\nX-Id: %ID%\r\nX-Seal: s\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %ID%\r\nX-Seal: s\r\nContent-Length: 5\r\n",
}

// An endpoint stops within its head, after any byte, and closes.
func TestBrokenHeadIsNoSuccess(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/fixed/"} {
		for name, head := range brokenHeads {
			t.Run(name+path, func(t *testing.T) {
				for n := range len(head) + 1 {
					inBubble(t, func(t *testing.T) {
						s := newHarnessWith(t, newPipes(), 0)
						for range 3 {
							s.add(writeRaw(t, head[:n]))
						}
						status, body, _, err := s.do(s.request(http.MethodPost, path))
						assert.NilError(t, err)
						assert.Assert(t, status >= http.StatusInternalServerError, "%d after %q: %q", status, head[:n], body)
					})
				}
			})
		}
	}
}

// A stream has begun and breaks off, and the next endpoint stops within its head.
func TestBrokenHeadCompletesNoResumedStream(t *testing.T) {
	for name, head := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			for n := range len(head) + 1 {
				inBubble(t, func(t *testing.T) {
					s := newHarnessWith(t, newPipes(), 0)
					s.add(func(w http.ResponseWriter, _ *http.Request) {
						fmt.Fprint(w, "id: 1\ndata: a\n\n")
						_ = http.NewResponseController(w).Flush()
						time.Sleep(10 * time.Millisecond)
						panic(http.ErrAbortHandler)
					})
					s.state.Locked(func(st LockedState) { st.Targets.SetNodes(st.Now, 1, 0) })
					time.AfterFunc(5*time.Millisecond, func() { s.add(writeRaw(t, head[:n])) })
					_, body, _, err := s.do(s.request(http.MethodPost, "/stream/"))
					assert.Assert(t, err != nil, "complete after %q: %q", head[:n], body)
				})
			}
		})
	}
}
