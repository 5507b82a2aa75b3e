package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a caller that closes its sending side and gets an answer that no endpoint gave.
func TestCallerThatClosesItsSendingSideGetsNoFalseAnswer(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/", "/stream/begun"} {
		t.Run(path, func(t *testing.T) {
			s := newHarness(t)
			s.add(func(w http.ResponseWriter, r *http.Request) {
				if path == "/stream/begun" {
					fmt.Fprintf(w, "id: 1\ndata: piece-1\n\n")
					_ = http.NewResponseController(w).Flush()
				}
				select {
				case <-time.After(300 * time.Millisecond):
				case <-r.Context().Done():
					return
				}
				writeEvents(w, 2, 5, true)
			})
			conn, err := net.Dial("tcp", strings.TrimPrefix(s.front.URL, "http://"))
			assert.NilError(t, err)
			defer conn.Close()
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: i\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n", path)
			time.Sleep(100 * time.Millisecond)
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return // the connection ended without an answer
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				return // the answer doesn't look complete
			}
			assert.Assert(t, strings.Contains(string(body), "piece-5"), "status %d, seal %q, complete with the body %q", resp.StatusCode, resp.Header.Get("X-Seal"), body)
		})
	}
}
