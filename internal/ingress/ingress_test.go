package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// site is a server behind Connections, in a bubble of package synctest.
type site struct {
	t      *testing.T
	opts   Options
	conns  *Connections
	memory *bodylimit.Memory
	mu     sync.Mutex
	limits Limits
	dialed chan net.Conn
	closed chan struct{}
	// runs are the paths of the requests that were served.
	runs []string
}

// testLimits are those of today's deployments.
var testLimits = Limits{IdleTimeout: 15 * time.Second, HeaderTimeout: 3 * time.Second, HeaderBytes: 16 << 10}

// inSite runs a test with a site whose Connections have at most limit connections.
func inSite(t *testing.T, limit int, test func(t *testing.T, s *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{t: t, memory: bodylimit.NewMemory(bodylimit.Sizes{}), limits: testLimits, dialed: make(chan net.Conn), closed: make(chan struct{})}
		s.opts = Options{
			Max: limit, Memory: s.memory.Requests, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
			Limits: func() Limits { s.mu.Lock(); defer s.mu.Unlock(); return s.limits },
		}
		s.conns = New(s.opts)
		protocols := &http.Protocols{}
		protocols.SetHTTP1(true)
		protocols.SetUnencryptedHTTP2(true)
		server := &http.Server{Handler: http.HandlerFunc(s.serve), Protocols: protocols}
		s.conns.Configure(server)
		go func() { _ = server.Serve(s.conns.Listen(s)) }() // ends with the test
		ctx, cancel := context.WithCancel(t.Context())
		go s.conns.Run(ctx)
		defer func() {
			server.Close()
			cancel()
			time.Sleep(time.Minute) // ends the connections
			synctest.Wait()
			assert.Check(t, is.Equal(s.conns.Len(), 0), "connections left")
			assert.Check(t, is.Equal(s.memory.Used(), int64(0)), "memory left")
		}()
		test(t, s)
	})
}

// serve reads the body, if any, and responds with as many bytes as the path says.
func (s *site) serve(w http.ResponseWriter, r *http.Request) {
	conn := FromContext(r.Context())
	if !conn.BeginRequest(r.ProtoMajor) {
		panic(http.ErrAbortHandler)
	}
	defer conn.EndRequest()
	if !conn.Claim(r.Header.Get("X-Holder")) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn.BeginBody(r.Header.Get("X-Holder"))
	_, err := io.Copy(io.Discard, r.Body)
	conn.EndBody()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.runs = append(s.runs, r.URL.Path)
	s.mu.Unlock()
	var size, seconds int
	_, _ = fmt.Sscanf(r.URL.Path, "/%d/%d", &size, &seconds) // 0 if there is none
	time.Sleep(time.Duration(seconds) * time.Second)
	_, _ = w.Write(bytes.Repeat([]byte("x"), size)) // the caller may have left
}

// Accept, Close and Addr implement net.Listener.
func (s *site) Accept() (net.Conn, error) {
	select {
	case c := <-s.dialed:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

func (s *site) Close() error {
	close(s.closed)
	return nil
}

func (s *site) Addr() net.Addr { return &net.TCPAddr{} }

// caller is a connection of a caller.
type caller struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (s *site) dial() *caller {
	client, server := net.Pipe()
	s.dialed <- server
	synctest.Wait()
	s.t.Cleanup(func() { client.Close() })
	return &caller{Conn: client, t: s.t, r: bufio.NewReader(client)}
}

// send sends text, and fails if the connection is closed.
func (c *caller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// status reads a response, and returns 0 if the connection was closed without one.
func (c *caller) status() int {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if err != nil {
		return -1
	}
	return resp.StatusCode
}

// isClosed reports whether the server has closed the connection.
func (c *caller) isClosed() bool {
	synctest.Wait()
	if err := c.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		return true // a pipe's deadline can't be set once it is closed
	}
	_, err := c.r.Peek(1)
	assert.NilError(c.t, c.SetReadDeadline(time.Time{}))
	return err == io.EOF
}

const get = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"

// closedFor returns how many connections were closed for a reason.
func (s *site) closedFor(reason Reason) int64 {
	return telemetry.Counter(s.opts.Metrics, "caller_connections_closed_total", "reason", string(reason)).Count()
}

// Guards against idle connections that use up the descriptors, and against closing
// those that callers still use.
func TestIdleConnectionsAreClosedAtTheConfiguredTime(t *testing.T) {
	inSite(t, 10, func(t *testing.T, s *site) {
		fresh, used := s.dial(), s.dial()
		for range 4 {
			used.send(get)
			assert.Equal(t, used.status(), http.StatusOK)
			time.Sleep(testLimits.IdleTimeout * 4 / 5)
		}
		assert.Assert(t, fresh.isClosed())
		assert.Assert(t, !used.isClosed())
		time.Sleep(testLimits.IdleTimeout/5 + 2*sweepInterval)
		assert.Assert(t, used.isClosed())
		assert.Equal(t, s.closedFor(IdleTimeout), int64(2))
	})
}

// Guards against limits that stay those of the configuration at the start.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	inSite(t, 10, func(t *testing.T, s *site) {
		c := s.dial()
		c.send(get)
		assert.Equal(t, c.status(), http.StatusOK)
		time.Sleep(4 * time.Second)
		assert.Assert(t, !c.isClosed())
		s.mu.Lock()
		s.limits.IdleTimeout = 3 * time.Second
		s.mu.Unlock()
		time.Sleep(2 * sweepInterval)
		assert.Assert(t, c.isClosed())
	})
}

// Guards against headers that never end.
func TestSlowHeaderEndsItsConnection(t *testing.T) {
	inSite(t, 10, func(t *testing.T, s *site) {
		c := s.dial()
		time.Sleep(testLimits.HeaderTimeout * 2)
		c.send("GET / HTTP/1.1\r\n")
		for range 2 {
			time.Sleep(time.Second)
			c.send("X-A: b\r\n")
		}
		assert.Assert(t, !c.isClosed())
		time.Sleep(time.Second + 2*sweepInterval)
		assert.Assert(t, c.isClosed())
		assert.Equal(t, s.closedFor(HeaderTimeout), int64(1))
	})
}

// Guards against a header of a later request that takes longer than the limit,
// whether its first bytes come with the request before, while that is served, or
// later.
func TestSlowLaterHeaderEndsItsConnection(t *testing.T) {
	for name, send := range map[string]func(c *caller){
		"with the request before": func(c *caller) { c.send(get + "GET /2"); c.status() },
		"while that is served": func(c *caller) {
			c.send("GET /1/1 HTTP/1.1\r\nHost: h\r\n\r\n")
			time.Sleep(time.Second / 2)
			go c.send("GET /2") // the server reads no more than a byte yet
			c.status()
		},
		"later": func(c *caller) { c.send(get); c.status(); c.send("GET /2") },
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, 10, func(t *testing.T, s *site) {
				c := s.dial()
				send(c)
				time.Sleep(testLimits.HeaderTimeout - 10*time.Millisecond)
				assert.Assert(t, !c.isClosed())
				time.Sleep(2 * sweepInterval)
				assert.Assert(t, c.isClosed())
			})
		})
	}
}

// Guards against requests of a pipeline that are lost because their connection counts
// as idle, and against requests that are served though their connection was closed.
func TestPipelinedRequestsAreServed(t *testing.T) {
	inSite(t, 1, func(t *testing.T, s *site) {
		c := s.dial()
		c.send(strings.Repeat(get, 3))
		for range 3 {
			assert.Equal(t, c.status(), http.StatusOK)
		}
		assert.Equal(t, len(s.runs), 3)
	})
}

// Guards against a request that is served although its connection was chosen to be
// closed just before it was read.
func TestBytesOfAConnectionBeingClosedAreNotDelivered(t *testing.T) {
	inSite(t, 10, func(t *testing.T, s *site) {
		c := s.dial()
		s.conns.mu.Lock()
		for conn := range s.conns.conns {
			conn.mu.Lock()
			assert.Assert(t, conn.choose(IdleTimeout))
			conn.mu.Unlock()
		}
		s.conns.mu.Unlock()
		c.send(get)
		assert.Equal(t, c.status(), 0)
		assert.Equal(t, len(s.runs), 0)
	})
}

// Guards against headers over the limit, of few large or of many small lines.
func TestHeaderOverTheLimitIsRefused(t *testing.T) {
	for _, line := range []string{"A: b\r\n", "X-Long: " + strings.Repeat("x", 5000) + "\r\n"} {
		inSite(t, 10, func(t *testing.T, s *site) {
			c := s.dial()
			c.send("GET / HTTP/1.1\r\nHost: h\r\n")
			go func() {
				for {
					if _, err := io.WriteString(c, line); err != nil {
						return
					}
				}
			}()
			assert.Equal(t, c.status(), http.StatusRequestHeaderFieldsTooLarge)
			assert.Equal(t, s.closedFor(HeaderTooLarge), int64(1))
		})
	}
}

// Guards against small header lines, which take many times their size when parsed,
// from many connections.
func TestHeaderLinesNeedMemory(t *testing.T) {
	inSite(t, 10, func(t *testing.T, s *site) {
		held := s.memory.Requests.Hold("others", 64<<20)
		assert.NilError(t, held.Grow(64<<20-100_000))
		defer held.Release()
		ordinary := s.dial()
		ordinary.send("GET /1 HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X-Name: some value\r\n", 30) + "\r\n")
		assert.Equal(t, ordinary.status(), http.StatusOK)
		c := s.dial()
		go func() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("A: b\r\n", 2000)) }()
		assert.Equal(t, c.status(), http.StatusServiceUnavailable)
		assert.Equal(t, len(s.runs), 1)
	})
}

// Guards against a limit of connections that turns new callers away while old ones do
// nothing, and against closing one that is in use.
func TestNewConnectionReplacesTheOneIdleLongest(t *testing.T) {
	inSite(t, 3, func(t *testing.T, s *site) {
		var all []*caller
		for i := range 3 {
			all = append(all, s.dial())
			time.Sleep(time.Duration(10*(i+1)) * time.Millisecond)
		}
		all[0].send("GET /1/10 HTTP/1.1\r\nHost: h\r\n\r\n") // served from now on
		all = append(all, s.dial())
		assert.Assert(t, all[1].isClosed())
		assert.Assert(t, !all[2].isClosed())
		assert.Assert(t, !s.conns.Full())
		assert.Equal(t, all[0].status(), http.StatusOK)
	})
}

// Guards against replacing a connection that makes progress, against one byte a second
// as progress, and against a node that is ready though it has no room.
func TestNewConnectionReplacesTheOneWithoutProgress(t *testing.T) {
	inSite(t, 3, func(t *testing.T, s *site) {
		trickle, steady, served := s.dial(), s.dial(), s.dial()
		post := "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"
		trickle.send(post)
		steady.send(post)
		served.send("GET /1/20 HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.Assert(t, s.dial().isClosed(), "there is none without progress for a second yet")
		assert.Assert(t, s.conns.Full())
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			trickle.send("x")
			steady.send(strings.Repeat("x", 200))
		}
		assert.Assert(t, !s.conns.Full(), "one can be replaced now")
		assert.Assert(t, !s.dial().isClosed())
		assert.Assert(t, trickle.isClosed())
		assert.Assert(t, !steady.isClosed())
		assert.Assert(t, !served.isClosed())
	})
}

// Guards against memory that bodies without progress keep from others, and against
// closing the body of another holder, whose memory doesn't help.
func TestStalledBodyIsClosedForAnother(t *testing.T) {
	inSite(t, 10, func(t *testing.T, s *site) {
		var all []*caller
		for _, holder := range []string{"a", "b", "b"} {
			c := s.dial()
			c.send("POST /1 HTTP/1.1\r\nHost: h\r\nX-Holder: " + holder + "\r\nContent-Length: 1000000\r\n\r\n")
			all = append(all, c)
			time.Sleep(300 * time.Millisecond)
		}
		assert.Assert(t, !s.conns.CloseStalledBody(""))
		time.Sleep(400 * time.Millisecond)
		assert.Assert(t, s.conns.CloseStalledBody("b"))
		assert.Assert(t, all[1].isClosed())
		assert.Assert(t, s.conns.CloseStalledBody(""))
		assert.Assert(t, all[0].isClosed())
		assert.Assert(t, !all[2].isClosed())
	})
}

// Guards against callers that read nothing of their response, and against closing
// those that read slowly.
func TestStalledWriteEndsItsConnection(t *testing.T) {
	inSite(t, 10, func(t *testing.T, s *site) {
		stalled, slow := s.dial(), s.dial()
		for _, c := range []*caller{stalled, slow} {
			c.send("GET /1000000 HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		total := 0
		buf := make([]byte, 8<<10)
		for total < 1_000_000 {
			n, err := slow.Read(buf)
			assert.NilError(t, err)
			total += n
			time.Sleep(time.Second)
		}
		assert.Equal(t, s.closedFor(StalledWrite), int64(1))
		_, err := io.Copy(io.Discard, stalled)
		assert.NilError(t, err)
	})
}

// Guards against defaults that a deployment's connections exceed.
// Guards against one account whose long requests take all connections, so that no
// other account gets one.
func TestHolderHasHalfOfTheConnectionsAtMost(t *testing.T) {
	inSite(t, 8, func(t *testing.T, s *site) {
		ask := func(holder string, seconds int) string {
			c := s.dial()
			fmt.Fprintf(c, "GET /1/%d HTTP/1.1\r\nHost: h\r\nX-Holder: %s\r\n\r\n", seconds, holder)
			synctest.Wait()
			if seconds > 0 {
				return ""
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			return resp.Status
		}
		for range 6 {
			ask("large", 60)
		}
		assert.Equal(t, ask("large", 0), "503 Service Unavailable")
		assert.Equal(t, ask("small", 0), "200 OK")
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, ask("large", 0), "200 OK")
		assert.Equal(t, len(s.conns.claims), 0, "claims left")
	})
}

func TestDefaultConnections(t *testing.T) {
	assert.Equal(t, DefaultConnections(2870, 414<<20), 1068)
	assert.Equal(t, DefaultConnections(12300, 112<<20), 597)
	assert.Equal(t, DefaultConnections(12300, 0), 4840)
	assert.Equal(t, DefaultConnections(100, 0), 1)
	assert.Equal(t, OpenFiles(10), int64(10))
}
