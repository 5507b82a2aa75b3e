package entry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// repeater is an endpoint that refuses the first request on a connection and, at
// the next request there, writes that refusal once more before it runs it.
type repeater struct {
	mu sync.Mutex
	// refusals is the number of requests that are refused on connections of
	// their own; after these, all requests run.
	refusals int
	runs     atomic.Int32
}

func (e *repeater) serve(t *testing.T, s *harness) {
	t.Helper()
	l := s.network.listen(t)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				e.answer(conn)
			}()
		}
	}()
	s.list("vm-repeater", l.Addr().String())
}

func (e *repeater) answer(conn io.ReadWriter) {
	r := bufio.NewReader(conn)
	earlier := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // an error shows at the next request
		head := "X-Id: " + req.Header.Get("X-Id") + "\r\nContent-Length: 0\r\n"
		if earlier == "" && e.refuse() {
			earlier = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n" + head + "\r\n"
			_, _ = io.WriteString(conn, earlier) // an error shows at the next request
			continue
		}
		e.runs.Add(1)
		_, _ = io.WriteString(conn, earlier+"HTTP/1.1 200 OK\r\nX-Seal: s\r\n"+head+"\r\n") // an error shows at the next request
		earlier = ""
	}
}

// refuse reports whether to refuse a request.
func (e *repeater) refuse() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusals--
	return e.refusals >= 0
}

// A repeated copy of an earlier refusal was taken for the response to the next
// send of the same request, so that it ran twice, or was refused though it ran.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	for _, refusals := range []int{1, maxSends} {
		t.Run(fmt.Sprint(refusals, " refusals"), func(t *testing.T) {
			s := newHarness(t)
			e := &repeater{refusals: refusals}
			e.serve(t, s)
			status, body, _, err := s.do(s.request("POST", "/once/a"))
			assert.NilError(t, err)
			if refusals == 1 {
				assert.Equal(t, e.runs.Load(), int32(1))
				assert.Equal(t, status, http.StatusOK, body)
				return
			}
			assert.Equal(t, e.runs.Load(), int32(0))
			assert.Equal(t, status, http.StatusServiceUnavailable, strings.TrimSpace(body))
		})
	}
}
