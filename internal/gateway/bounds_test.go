package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
)

// patience is how long a test waits for what happens soon on an idle machine.
const patience = 30 * time.Second

// serveCallers serves the callers of a gateway over HTTP/1 and HTTP/2 without TLS.
func serveCallers(t *testing.T, s *Server) (address string) {
	t.Helper()
	srv := httptest.NewUnstartedServer(s.CallerHandler())
	srv.Config.Protocols = &http.Protocols{}
	srv.Config.Protocols.SetHTTP1(true)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context { return ConnContext(ctx) }
	srv.Start()
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.Listener.Addr().String()
}

// eventually fails the test if the condition doesn't become true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached within %s: %s", patience, what)
		}
	}
}

// rawCaller is a caller's HTTP/1 connection.
type rawCaller struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func dialCaller(t *testing.T, address string) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(patience)))
	return &rawCaller{Conn: conn, t: t, r: bufio.NewReader(conn)}
}

// send sends the head of a POST request and the beginning of its body.
func (c *rawCaller) send(path, body string, header ...string) {
	c.t.Helper()
	head := "POST " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret-key\r\n" + strings.Join(header, "\r\n") + "\r\n\r\n"
	_, err := io.WriteString(c.Conn, head+body)
	assert.NilError(c.t, err)
}

// receive reads a response.
func (c *rawCaller) receive() (*http.Response, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	assert.NilError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	return resp, string(body)
}

// awaitClose fails the test if the other side keeps the connection open.
func (c *rawCaller) awaitClose() {
	c.t.Helper()
	rest, err := io.ReadAll(c.r)
	if err != nil {
		assert.ErrorContains(c.t, err, "reset by peer")
	}
	assert.Equal(c.t, string(rest), "")
}

// newMemory returns the memory of a server of whose request bodies a few fit.
func newMemory() *bodylimit.Memory {
	return bodylimit.NewMemory(bodylimit.Sizes{Requests: 1 << 20, Responses: 64 << 20})
}

// newBoundedServer returns a server whose request bodies may together take the given
// memory.
func newBoundedServer(b Backend, memory *bodylimit.Memory) *Server {
	s := newTestServer(b, io.Discard)
	s.maxBody = 256 << 10
	s.bodies, s.answers = memory.Requests, memory.Responses
	return s
}

// panickingBackend fails while a request is admitted.
type panickingBackend struct{ fakeBackend }

func (*panickingBackend) Admit(context.Context, Requirements) (Admission, error) {
	panic(http.ErrAbortHandler)
}

// Guards against memory that stays reserved after its request, so that a node refuses
// all bodies in the end.
func TestRequestMemoryIsReleasedHoweverARequestEnds(t *testing.T) {
	body := strings.Repeat("x", 100<<10)
	announced := fmt.Sprint("Content-Length: ", len(body))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	good := newStatusTarget(t, http.StatusOK)
	for name, tc := range map[string]struct {
		backend Backend
		header  []string
		body    string
		abandon bool
	}{
		"served":         {&fakeBackend{targets: []Target{good}}, []string{announced}, body, false},
		"served chunked": {&fakeBackend{targets: []Target{good}}, []string{"Transfer-Encoding: chunked"}, chunk + "0\r\n\r\n", false},
		"refused":        {&fakeBackend{}, []string{announced}, body, false},
		"failed":         {&fakeBackend{targets: []Target{newAbortingTarget(t)}}, []string{announced}, body, false},
		"panic":          {&panickingBackend{}, []string{announced}, body, true},
		"too large":      {&fakeBackend{}, []string{"Transfer-Encoding: chunked"}, chunk + chunk + chunk + "0\r\n\r\n", false},
		"broken chunk":   {&fakeBackend{}, []string{"Transfer-Encoding: chunked"}, chunk + "no size\r\n", false},
		"deadline":       {&fakeBackend{}, []string{announced, "Request-Timeout: 0.2"}, body[:90<<10], false},
		"abandoned":      {&fakeBackend{}, []string{announced}, body[:90<<10], true},
	} {
		t.Run(name, func(t *testing.T) {
			memory := newMemory()
			c := dialCaller(t, serveCallers(t, newBoundedServer(tc.backend, memory)))
			c.send("/services/shop/orders", tc.body[:50<<10], tc.header...)
			eventually(t, "memory of the body", func() bool { return memory.Used() > 0 })
			_, err := io.WriteString(c, tc.body[50<<10:])
			assert.NilError(t, err)
			if tc.abandon {
				assert.NilError(t, c.Close())
			} else {
				c.receive()
			}
			eventually(t, "release of all memory", func() bool { return memory.Used() == 0 })
		})
	}
}

// Guards against bodies that hold a handler and memory without end since the request's
// deadline doesn't apply to them.
func TestStalledBodyEndsAtTheDeadline(t *testing.T) {
	memory := newMemory()
	b := &fakeBackend{}
	address := serveCallers(t, newBoundedServer(b, memory))
	for name, tc := range map[string]struct{ body, header string }{
		"announced":    {"{", "Content-Length: 200000"},
		"chunked":      {"186a0\r\n{", "Transfer-Encoding: chunked"},
		"nothing sent": {"", "Content-Length: 2"},
	} {
		t.Run(name, func(t *testing.T) {
			c := dialCaller(t, address)
			c.send("/services/shop/orders", tc.body, tc.header, "Request-Timeout: 0.2")
			resp, answer := c.receive()
			assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout, answer)
			assert.Assert(t, strings.Contains(answer, `"ran":"no"`), answer)
			assert.Assert(t, resp.Close, "the connection should end")
			c.awaitClose()
		})
	}
	t.Run("HTTP/2", func(t *testing.T) {
		r, w := io.Pipe()
		defer w.Close()
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/services/shop/orders", r)
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer secret-key")
		req.Header.Set(headerTimeout, "0.2")
		resp, err := newHTTP2Client(t).Do(req)
		assert.NilError(t, err)
		defer resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	})
	assert.Equal(t, len(b.needs), 0)
	eventually(t, "release of all memory", func() bool { return memory.Used() == 0 })
}

// newHTTP2Client returns a client that uses HTTP/2 without TLS.
func newHTTP2Client(t *testing.T) *http.Client {
	tr := &http.Transport{Protocols: &http.Protocols{}, DisableCompression: true}
	tr.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

// Guards against a body that is read although it is certain to be refused.
func TestAnnouncedBodyWithoutRoomIsRefusedBeforeItIsRead(t *testing.T) {
	memory := newMemory()
	b := &fakeBackend{targets: []Target{newStatusTarget(t, http.StatusOK)}}
	address := serveCallers(t, newBoundedServer(b, memory))
	other := memory.Requests.Hold("other", 1<<20)
	assert.NilError(t, other.Grow(1000<<10))
	for name, tc := range map[string]struct {
		length     int
		status     int
		retryAfter string
	}{
		"no memory":      {200 << 10, http.StatusServiceUnavailable, "1"},
		"over the limit": {257 << 10, http.StatusRequestEntityTooLarge, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := dialCaller(t, address)
			// A server that begins to read the body sends 100 first.
			c.send("/services/shop/orders", "", fmt.Sprint("Content-Length: ", tc.length), "Expect: 100-continue")
			resp, answer := c.receive()
			assert.Equal(t, resp.StatusCode, tc.status, answer)
			assert.Equal(t, resp.Header.Get("Retry-After"), tc.retryAfter)
			assert.Assert(t, strings.Contains(answer, `"ran":"no"`), answer)
			c.awaitClose()
		})
	}
	assert.Equal(t, len(b.needs), 0)

	small := dialCaller(t, address)
	small.send("/services/shop/orders", strings.Repeat("x", 8<<10), "Content-Length: 8192")
	resp, answer := small.receive()
	assert.Equal(t, resp.StatusCode, http.StatusOK, "a small body needs no room: %s", answer)
	other.Release()
	assert.Equal(t, memory.Used(), int64(0))
}

// Guards against a refusal that is lost since the connection closes while the caller
// is still sending its body.
func TestCallerThatIsSendingReceivesTheRefusal(t *testing.T) {
	memory := newMemory()
	server := newBoundedServer(&fakeBackend{}, memory)
	server.maxBody = 4 << 20 // more than the buffers of a connection hold
	address := serveCallers(t, server)
	other := memory.Requests.Hold("other", 1<<20)
	assert.NilError(t, other.Grow(1000<<10))
	for length, status := range map[int]int{1 << 20: http.StatusServiceUnavailable, 4 << 20: http.StatusServiceUnavailable, 8 << 20: http.StatusRequestEntityTooLarge} {
		for range 3 {
			req, err := http.NewRequest(http.MethodPost, "http://"+address+"/services/shop/orders", bytes.NewReader(make([]byte, length)))
			assert.NilError(t, err)
			req.Header.Set("Authorization", "Bearer secret-key")
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			resp.Body.Close()
			assert.Equal(t, resp.StatusCode, status)
		}
	}
}

// Guards against the same for a body without an announced length, at a caller that
// sends it slowly.
func TestCallerThatIsSendingChunksReceivesTheRefusal(t *testing.T) {
	server := newBoundedServer(&fakeBackend{}, newMemory())
	server.maxBody = 8 << 10
	c := dialCaller(t, serveCallers(t, server))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 4<<10, make([]byte, 4<<10))
	c.send("/services/shop/orders", chunk, "Transfer-Encoding: chunked")
	for range 20 {
		_, err := io.WriteString(c, chunk)
		assert.NilError(t, err)
		time.Sleep(10 * time.Millisecond) // lets the refusal arrive in between
	}
	resp, answer := c.receive()
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge, answer)
}

// Guards against a node whose memory one client account uses up.
func TestOneAccountHoldsHalfOfTheMemory(t *testing.T) {
	memory := newMemory()
	address := serveCallers(t, newBoundedServer(&fakeBackend{}, memory))
	statuses := make(chan int, 4)
	for range 4 {
		c := dialCaller(t, address)
		c.send("/services/shop/orders", "{", fmt.Sprint("Content-Length: ", 256<<10), "Request-Timeout: 2")
		go func() {
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- resp.StatusCode
		}()
	}
	first := <-statuses
	assert.Equal(t, first, http.StatusServiceUnavailable)
	assert.Assert(t, memory.Used() <= 512<<10, "%d", memory.Used())
}

// Guards against bodies of forwarded requests beyond the budget.
func TestBodyOfAForwardedRequestCounts(t *testing.T) {
	memory := newMemory()
	release := make(chan struct{})
	target := newStreamTarget(t, false, func(http.ResponseWriter, *http.Request) { <-release })
	server := newBoundedServer(&fakeBackend{targets: []Target{target}}, memory)
	done := make(chan int)
	forward := func() *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodPost, ForwardPrefix+"/services/shop/orders", bytes.NewReader(make([]byte, 200<<10)))
		r.Header.Set(headerAccount, "archive")
		r.Header.Set(headerForward, forwardAttempt)
		w := httptest.NewRecorder()
		server.ForwardHandler().ServeHTTP(w, r)
		return w
	}
	go func() { done <- forward().Code }()
	eventually(t, "memory of the body", func() bool { return memory.Used() == 184<<10 })
	other := memory.Requests.Hold("other", 1<<20)
	assert.NilError(t, other.Grow(800<<10))
	refused := forward()
	assert.Equal(t, refused.Code, http.StatusServiceUnavailable, refused.Body)
	assert.Assert(t, strings.Contains(refused.Body.String(), `"ran":"no"`), refused.Body)
	other.Release()
	close(release)
	assert.Equal(t, <-done, http.StatusOK)
	assert.Equal(t, memory.Used(), int64(0))
}

// Guards against a deadline of a body that ends the connection after its request, or
// the requests that follow there.
func TestConnectionGoesOnAfterAServedBody(t *testing.T) {
	good := newStatusTarget(t, http.StatusOK)
	silent := newStreamTarget(t, false, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	c := dialCaller(t, serveCallers(t, newTestServer(&fakeBackend{targets: []Target{good, silent, good, good}}, io.Discard)))
	for _, request := range []struct {
		body, header string
		status       int
	}{
		{"{}", "Content-Length: 2", http.StatusOK},
		{"{}", "Content-Length: 2", http.StatusGatewayTimeout},
		{"2\r\n{}\r\n0\r\n\r\n", "Transfer-Encoding: chunked", http.StatusOK},
		{"{}", "Content-Length: 2", http.StatusOK},
	} {
		c.send("/services/shop/orders", request.body, request.header, "Request-Timeout: 0.5")
		resp, answer := c.receive()
		assert.Equal(t, resp.StatusCode, request.status, answer)
		assert.Assert(t, !resp.Close)
		time.Sleep(600 * time.Millisecond) // lets the deadline pass
	}
}

// Guards against a deadline of the body that also ends the request while it is served.
func TestDeadlineOfTheBodyEndsNoServedRequest(t *testing.T) {
	slow := newStreamTarget(t, false, func(_ http.ResponseWriter, _ *http.Request) { time.Sleep(unreadTimeout + 200*time.Millisecond) })
	c := dialCaller(t, serveCallers(t, newTestServer(&fakeBackend{targets: []Target{slow}}, io.Discard)))
	c.send("/services/shop/orders", "{}", "Content-Length: 2")
	resp, answer := c.receive()
	assert.Equal(t, resp.StatusCode, http.StatusOK, answer)
}

// Guards against a handler that waits without end for the body of a request that has
// been refused.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	address := serveCallers(t, newTestServer(&fakeBackend{}, io.Discard))
	for _, header := range []string{"Content-Length: 10", "Content-Length: 1000000000", "Transfer-Encoding: chunked"} {
		for path, status := range map[string]int{"/nothing": http.StatusNotFound, "/v1/idempotency-keys": http.StatusCreated} {
			t.Run(header+path, func(t *testing.T) {
				c := dialCaller(t, address)
				c.send(path, "1", header)
				resp, answer := c.receive()
				assert.Equal(t, resp.StatusCode, status, answer)
				c.awaitClose()
			})
		}
	}
}

// Guards against HTTP/2 callers that open many requests on few connections, whose
// memory the limit on connections doesn't bound.
func TestStalledStreamsStayWithinTheirBounds(t *testing.T) {
	for name, length := range map[string]int64{"bodies that count": 64 << 10, "bodies that don't": 8 << 10} {
		t.Run(name, func(t *testing.T) { testStalledStreams(t, length) })
	}
}

func testStalledStreams(t *testing.T, length int64) {
	const streams, maxFurther, conns = 24, 8, 2
	memory := newMemory()
	server := newBoundedServer(&fakeBackend{targets: []Target{newStatusTarget(t, http.StatusOK)}}, memory)
	server.maxStreams = maxFurther
	address := serveCallers(t, server)
	refused := make(chan int, conns*streams)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range conns {
		client := newHTTP2Client(t)
		stall := func() {
			r, w := io.Pipe()
			context.AfterFunc(ctx, func() { w.CloseWithError(ctx.Err()) })
			go func() { _, _ = w.Write(make([]byte, length/2)) }()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/services/shop/orders", r)
			assert.Check(t, err)
			req.Header.Set("Authorization", "Bearer secret-key")
			req.ContentLength = length
			resp, err := client.Do(req)
			if err != nil {
				return
			}
			resp.Body.Close()
			refused <- resp.StatusCode
		}
		for range streams {
			go stall()
		}
	}
	for range conns*streams - maxFurther - conns {
		assert.Equal(t, <-refused, http.StatusServiceUnavailable)
	}
	assert.Assert(t, server.furtherStreams.Load() <= maxFurther)
	assert.Assert(t, memory.Used() <= 512<<10, "%d", memory.Used())

	c := dialCaller(t, address)
	c.send("/services/shop/orders", "{}", "Content-Length: 2")
	resp, answer := c.receive()
	assert.Equal(t, resp.StatusCode, http.StatusOK, answer)

	cancel()
	eventually(t, "release of all streams and memory", func() bool {
		return server.furtherStreams.Load() == 0 && memory.Used() == 0
	})
}

// Guards against a caller that reads nothing and so blocks its handler, which holds
// the response, without a bound.
func TestCallerThatReadsNothingIsCutOff(t *testing.T) {
	const size = 12 << 20
	target := newStreamTarget(t, false, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, size))
	})
	for _, version := range []string{"HTTP/1", "HTTP/2"} {
		t.Run(version, func(t *testing.T) {
			memory := newMemory()
			server := newBoundedServer(&fakeBackend{targets: []Target{target}}, memory)
			server.stalledWrite = 300 * time.Millisecond
			address := serveCallers(t, server)
			if version == "HTTP/1" {
				c := dialCaller(t, address)
				assert.NilError(t, c.Conn.(*net.TCPConn).SetReadBuffer(4<<10))
				c.send("/services/shop/orders", "{}", "Content-Length: 2")
			} else {
				req, err := http.NewRequest(http.MethodPost, "http://"+address+"/services/shop/orders", strings.NewReader("{}"))
				assert.NilError(t, err)
				req.Header.Set("Authorization", "Bearer secret-key")
				resp, err := newHTTP2Client(t).Do(req)
				assert.NilError(t, err)
				defer resp.Body.Close()
			}
			eventually(t, "the response", func() bool { return memory.Used() > size/2 })
			eventually(t, "release of all memory", func() bool { return memory.Used() == 0 })
		})
	}
}

// Guards against a write deadline that resets an HTTP/2 stream between two events.
func TestStreamOutlivesAPauseBetweenEvents(t *testing.T) {
	target := newStreamTarget(t, false, func(w http.ResponseWriter, r *http.Request) {
		sendStream(pieces(1, 1))(w, r)
		time.Sleep(time.Second)
		sendStream(pieces(2, 2)+"data: [DONE]\n\n")(w, r)
	})
	server := newTestServer(&fakeBackend{targets: []Target{target}}, io.Discard)
	server.stalledWrite = 300 * time.Millisecond
	address := serveCallers(t, server)
	for _, client := range []*http.Client{newHTTP2Client(t), {Transport: &http.Transport{DisableKeepAlives: true}}} {
		server.backend = &fakeBackend{targets: []Target{target}}
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"p","stream":true}`))
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer secret-key")
		resp, err := client.Do(req)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		assert.NilError(t, err)
		assert.Equal(t, string(body), pieces(1, 2)+"data: [DONE]\n\n")
	}
}
