package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/internal/ingress"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// inBodySite runs a test in a bubble with an entry VM that allows bodies of 200,000
// bytes, and an endpoint that echoes them. No memory may be left afterwards.
func inBodySite(t *testing.T, test func(t *testing.T, s *harness, e *endpoint)) {
	inBubble(t, func(t *testing.T) {
		s := newHarnessWith(t, newPipes(), 0)
		s.limits = catalog.Limits{MaxBodyBytes: 200_000, MaxHeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
		s.configure()
		e := s.add(func(w http.ResponseWriter, r *http.Request) {
			raw, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write(raw) // the entry VM may have left
		})
		defer func() {
			time.Sleep(time.Minute) // ends all requests
			synctest.Wait()
			assert.Check(t, is.Equal(s.server.opts.Memory.Used(), int64(0)), "memory left")
		}()
		test(t, s, e)
	})
}

// rawCaller is a caller that writes its requests itself.
type rawCaller struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (s *harness) connect(t *testing.T) *rawCaller {
	conn, err := s.network.dial(t.Context(), strings.TrimPrefix(s.front.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &rawCaller{Conn: conn, t: t, r: bufio.NewReader(conn)}
}

// begin sends the header of a request with a body.
func (c *rawCaller) begin(path, key, header string) {
	c.t.Helper()
	c.send(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Id: i\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", path, key, header))
}

func (c *rawCaller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// response reads a response whole. Its status is 0 if the connection was closed.
func (c *rawCaller) response() (status int, header http.Header, body string) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, nil, ""
	}
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	return resp.StatusCode, resp.Header, string(raw)
}

// assertClosed asserts that the connection is closed within a second.
func (c *rawCaller) assertClosed() {
	c.t.Helper()
	time.Sleep(time.Second)
	if c.SetReadDeadline(time.Now().Add(time.Millisecond)) != nil {
		return // a closed pipe takes no deadline
	}
	_, err := c.r.Peek(1)
	assert.Assert(c.t, errors.Is(err, io.EOF), err)
}

// body has about the size of the largest allowed body.
var body = strings.Repeat("x", 190_000)

// Guards against bodies that fill the memory, and against refusing small requests
// because of them: callers with bodies that stop short of their end use up their half
// each.
func TestBodiesShareTheMemoryForRequests(t *testing.T) {
	inBodySite(t, func(t *testing.T, s *harness, e *endpoint) {
		for _, key := range []string{"key", "key-2"} {
			for range 2 {
				c := s.connect(t)
				c.begin("/once/", key, "Content-Length: 200000")
				c.send(body)
			}
		}
		for range 2 {
			s.connect(t).begin("/open/", "none\r\nAuthorization: x", "Transfer-Encoding: chunked")
		}
		held := s.server.requests.Hold("others", requestBytes)
		assert.NilError(t, held.Grow(requestBytes-s.server.requests.Used()-100_000))
		defer held.Release()
		c := s.connect(t)
		c.begin("/once/", "key", "Content-Length: 190000")
		status, header, _ := c.response() // none of the body was sent
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, header.Get("Retry-After"), "1.00")
		c.assertClosed()
		assert.Equal(t, e.runs.Load(), int32(0))
		assert.Equal(t, telemetry.Counter(s.server.opts.Metrics, "requests_refused_memory_total").Count(), int64(1))
		small := s.connect(t)
		small.begin("/once/", "key", "Content-Length: 16000")
		small.send(body[:16000])
		status, _, got := small.response()
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, got == body[:16000], "%d bytes", len(got))
	})
}

// Guards against bodies without progress, of a byte a second too, that keep others
// from being served.
func TestBodyWithoutProgressIsClosedForAnother(t *testing.T) {
	inBodySite(t, func(t *testing.T, s *harness, e *endpoint) {
		var slow []*rawCaller
		for range 4 { // two of each account, as its half of the memory has room for
			c := s.connect(t)
			c.begin("/patient/", []string{"key", "key-2"}[len(slow)%2], "Content-Length: 200000")
			slow = append(slow, c)
			time.Sleep(time.Millisecond) // so that the first one is closed first
		}
		for range 3 {
			time.Sleep(time.Second)
			for _, c := range slow {
				c.send("x")
			}
		}
		c := s.connect(t)
		c.begin("/once/", "key", "Content-Length: 190000")
		c.send(body)
		status, _, got := c.response()
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, got == body, "%d bytes", len(got))
		assert.Equal(t, e.runs.Load(), int32(1))
		status, _, _ = slow[0].response()
		assert.Equal(t, status, 0, "its connection was closed")
	})
}

// Guards against bodies that hold their memory and handler for as long as their
// connection lives, and against a refusal that waits for the rest of the body.
func TestBodyIsReadUntilTheDeadline(t *testing.T) {
	for _, header := range []string{"Content-Length: 1000", "Content-Length: 190000", "Transfer-Encoding: chunked"} {
		inBodySite(t, func(t *testing.T, s *harness, e *endpoint) {
			c := s.connect(t)
			began := time.Now()
			c.begin("/once/", "key", header)
			c.send("1\r\nx\r\n")
			status, _, _ := c.response()
			assert.Equal(t, status, http.StatusRequestTimeout)
			assert.Equal(t, time.Since(began), time.Second)
			c.assertClosed()
			assert.Equal(t, e.runs.Load(), int32(0))
		})
	}
}

// Guards against the deadline of one body that ends a later request on the connection,
// or the response to it.
func TestDeadlineOfABodyEndsWithIt(t *testing.T) {
	inBodySite(t, func(t *testing.T, s *harness, e *endpoint) {
		c := s.connect(t)
		for i := range 3 {
			s.configure() // so that it is recent
			c.begin("/once/", "key", "Content-Length: 50000")
			time.Sleep(500 * time.Millisecond)
			c.send(body[:50000])
			status, _, got := c.response()
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, got == body[:50000], "%d bytes", len(got))
			assert.Equal(t, e.runs.Load(), int32(i+1))
			time.Sleep(s.limits.IdleTimeout * 4 / 5)
		}
	})
}

// Guards against refusals for which the server reads on, or whose connection is used
// for another request though its body was not read.
func TestRefusalOfAnUnreadBodyEndsItsConnection(t *testing.T) {
	for name, want := range map[string]struct {
		key, header, sent string
		status            int
	}{
		"announced over the limit":   {"key", "Content-Length: 300000", "", http.StatusRequestEntityTooLarge},
		"over the limit":             {"key", "Transfer-Encoding: chunked", "30d41\r\n" + strings.Repeat("x", 200_001), http.StatusRequestEntityTooLarge},
		"unknown key, large":         {"none", "Content-Length: 100000", "", http.StatusUnauthorized},
		"unknown key, small, absent": {"none", "Content-Length: 100", "", http.StatusUnauthorized},
		"unknown key, chunked":       {"none", "Transfer-Encoding: chunked", "1\r\nx\r\n", http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			inBodySite(t, func(t *testing.T, s *harness, e *endpoint) {
				c := s.connect(t)
				began := time.Now()
				c.begin("/once/", want.key, want.header)
				go func() { _, _ = io.WriteString(c, want.sent) }() // the connection may be closed
				status, _, _ := c.response()
				assert.Equal(t, status, want.status)
				assert.Assert(t, time.Since(began) <= unreadBodyTimeout)
				c.assertClosed()
				assert.Equal(t, e.runs.Load(), int32(0))
			})
		})
	}
}

// Guards against a new connection for each request that is refused.
func TestRefusalOfASmallBodyKeepsItsConnection(t *testing.T) {
	inBodySite(t, func(t *testing.T, s *harness, _ *endpoint) {
		c := s.connect(t)
		for range 3 {
			c.begin("/once/", "none", "Content-Length: 100")
			c.send(body[:100])
			status, _, _ := c.response()
			assert.Equal(t, status, http.StatusUnauthorized)
			time.Sleep(time.Second)
		}
	})
}

// Guards against headers over the configured limit that arrive at once.
func TestHeaderOverTheConfiguredLimitIsRefused(t *testing.T) {
	inBodySite(t, func(t *testing.T, s *harness, e *endpoint) {
		for _, test := range []struct{ size, status int }{{16_000, http.StatusOK}, {16_384, http.StatusRequestHeaderFieldsTooLarge}} {
			c := s.connect(t)
			c.begin("/once/", "key", "Content-Length: 0\r\nX-Long: "+strings.Repeat("x", test.size))
			status, _, _ := c.response()
			assert.Equal(t, status, test.status)
		}
		assert.Equal(t, e.runs.Load(), int32(1))
	})
}

// Guards against requests without any bound where the configuration has no limits.
func TestRequestsAreBoundedWithoutConfiguredLimits(t *testing.T) {
	inBodySite(t, func(t *testing.T, s *harness, e *endpoint) {
		s.limits = catalog.Limits{}
		s.configure()
		for _, test := range []struct {
			header string
			status int
		}{
			{fmt.Sprint("Content-Length: ", defaultMaxBody+1), http.StatusRequestEntityTooLarge},
			{"Content-Length: 0\r\nX-Long: " + strings.Repeat("x", 64<<10), http.StatusRequestHeaderFieldsTooLarge},
		} {
			c := s.connect(t)
			c.begin("/once/", "key", test.header)
			status, _, _ := c.response()
			assert.Equal(t, status, test.status)
		}
		assert.Equal(t, e.runs.Load(), int32(0))
		for _, deadline := range []string{"", "-1", "soon"} {
			req := s.request(http.MethodPost, "/once/", testProtocol.Deadline, deadline)
			got := s.server.deadline(&request{route: &catalog.Route{}, started: time.Unix(100, 0)}, req)
			assert.Equal(t, got, time.Unix(100, 0).Add(defaultTimeout), deadline)
		}
	})
}

// Guards against memory that stays reserved after requests that end in other ways than
// by a complete response.
func TestMemoryIsReleasedHoweverRequestsEnd(t *testing.T) {
	for name, end := range map[string]func(s *harness, c *rawCaller){
		"caller leaves while sending": func(_ *harness, c *rawCaller) { c.send(body[:50000]); c.Close() },
		"caller leaves while waiting": func(_ *harness, c *rawCaller) { c.send(body); time.Sleep(100 * time.Millisecond); c.Close() },
		"endpoint breaks off":         func(_ *harness, c *rawCaller) { c.send(body); c.response() },
		"body closed for another": func(s *harness, c *rawCaller) {
			c.send(body[:50000])
			time.Sleep(stalled)
			assert.Assert(c.t, s.conns.CloseStalledBody(""))
		},
	} {
		for _, path := range []string{"/once/", "/safe/", "/long/"} {
			t.Run(name+path, func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					s := newHarnessWith(t, newPipes(), 0)
					s.limits.MaxBodyBytes = 200_000
					s.routes[0].Timeout, s.routes[1].Timeout = 10*time.Second, 10*time.Second
					s.configure()
					s.add(func(_ http.ResponseWriter, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body) // the entry VM may have left
						time.Sleep(300 * time.Millisecond)
						panic(http.ErrAbortHandler)
					})
					c := s.connect(t)
					c.begin(path, "key", "Content-Length: 190000")
					synctest.Wait()
					assert.Assert(t, s.server.opts.Memory.Used() > 0)
					end(s, c)
					time.Sleep(time.Minute)
					synctest.Wait()
					assert.Equal(t, s.server.opts.Memory.Used(), int64(0))
				})
			})
		}
	}
}

// stalled is longer than a body may make no progress before it may be closed.
const stalled = 1500 * time.Millisecond

// Guards against limits that remain those of an earlier configuration.
func TestConnectionLimitsFollowTheConfiguration(t *testing.T) {
	inBodySite(t, func(t *testing.T, s *harness, _ *endpoint) {
		c := s.connect(t)
		c.begin("/once/", "key", "Content-Length: 0")
		status, _, _ := c.response()
		assert.Equal(t, status, http.StatusOK)
		time.Sleep(5 * time.Second)
		s.configure() // so that it is recent
		c.begin("/once/", "key", "Content-Length: 0")
		status, _, _ = c.response()
		assert.Equal(t, status, http.StatusOK)
		s.limits.IdleTimeout = 2 * time.Second
		s.configure()
		time.Sleep(2 * time.Second)
		c.assertClosed()
	})
}

// Guards against a connection that is reset before its caller, which is still sending,
// has read the refusal. Pipes aren't reset, so it uses TCP.
func TestRefusalReachesACallerThatIsSending(t *testing.T) {
	for _, header := range []string{"Content-Length: 8000000", "Transfer-Encoding: chunked"} {
		s := newHarness(t)
		c := s.connect(t)
		c.begin("/once/", "key", header)
		go func() { _, _ = io.WriteString(c, "7a1200\r\n"+strings.Repeat("x", 8_000_000)) }() // the connection is closed
		status, _, _ := c.response()
		assert.Equal(t, status, http.StatusRequestEntityTooLarge)
	}
}

// Guards against requests that are sent to an endpoint though their connection was
// chosen to be closed while the last bytes of their body, already received, waited for
// memory.
func TestRequestIsNotSentIfItsConnectionIsBeingClosed(t *testing.T) {
	for range 20 { // the server may notice the closed connection first
		inBodySite(t, func(t *testing.T, s *harness, e *endpoint) {
			others := s.server.requests.Hold("others", requestBytes)
			assert.NilError(t, others.Grow(requestBytes))
			c := s.connect(t)
			c.begin("/patient/", "key", "Transfer-Encoding: chunked")
			c.send("4006\r\n" + strings.Repeat("x", 16380)) // 4 bytes below the free 16 KB
			time.Sleep(2 * time.Second)
			c.send(strings.Repeat("x", 10) + "\r\n0\r\n\r\n")
			for !s.closedFor(ingress.StalledBody) {
				time.Sleep(time.Millisecond)
			}
			others.Release()
			time.Sleep(time.Second)
			assert.Equal(t, e.runs.Load(), int32(0), "runs of a request without a response")
		})
	}
}

// closedFor reports whether a connection was closed for a reason.
func (s *harness) closedFor(reason ingress.Reason) bool {
	return telemetry.Counter(s.server.opts.Metrics, "caller_connections_closed_total", "reason", string(reason)).Count() > 0
}
