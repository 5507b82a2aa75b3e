package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/ingress"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// streamsKey is the key of a connection's number of open streams, an *atomic.Int32,
// in the context of its requests.
type streamsKey struct{}

// ConnContext returns the context of a new connection. Servers that allow HTTP/2 use it
// for the callers' listener, so that the streams of a connection can be counted.
func ConnContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, streamsKey{}, &atomic.Int32{})
}

// serveOpen returns a handler that serves no requests of connections that were chosen
// to be closed.
func serveOpen(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := ingress.FromContext(r.Context())
		if !conn.BeginRequest(r.ProtoMajor) {
			panic(http.ErrAbortHandler)
		}
		defer conn.EndRequest()
		h.ServeHTTP(w, r)
	})
}

// limitStreams refuses HTTP/2 requests beyond the limit on further streams, and those
// for whose header there is no memory. The first stream of a connection always has
// room: it takes what a connection counts for. Each further one takes about as much
// memory as a connection of its own would.
func (s *Server) limitStreams(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		if r.ProtoMajor != 2 {
			return next(c) // the listener counts the connection and its header
		}
		if streams, ok := r.Context().Value(streamsKey{}).(*atomic.Int32); ok {
			defer streams.Add(-1)
			if streams.Add(1) > 1 {
				defer s.furtherStreams.Add(-1)
				if used := s.furtherStreams.Add(1); s.maxStreams > 0 && used > s.maxStreams {
					return writeProblem(c, s.refuseStream(c, used-1))
				}
			}
		}
		header := s.bodies.Hold(ingress.RemoteIP(r), 0)
		defer header.Release()
		var short *bodylimit.ShortageError
		if err := header.Grow(headerMemory(r.Header)); errors.As(err, &short) {
			return writeProblem(c, s.refuseForMemory(c, "header", short))
		}
		return next(c)
	}
}

func (s *Server) refuseStream(c echo.Context, used int64) *problem.Error {
	telemetry.Counter(s.registry, "requests_refused_streams_total").Inc(1)
	s.log.Info("too many streams for a request", "request_id", requestID(c), "caller", ingress.RemoteIP(c.Request()),
		"further_streams", used, "limit", s.maxStreams)
	return problem.New(problem.Overloaded,
		"the callers' connections have too many HTTP/2 streams together", "retry later").WithRetryAfter(retryDelay)
}

// refuseForMemory returns the problem of a request for whose header or body there is
// no memory.
func (s *Server) refuseForMemory(c echo.Context, part string, short *bodylimit.ShortageError) *problem.Error {
	telemetry.Counter(s.registry, "requests_refused_memory_total").Inc(1)
	s.log.Info("no memory for a request", "request_id", requestID(c), "caller", ingress.RemoteIP(c.Request()), "part", part,
		"length", c.Request().ContentLength, "wanted", short.Wanted, "used", short.Used, "limit", short.Limit, "holder", short.Holder)
	return problem.New(problem.MemoryShort, "there is no memory for the request's "+part+" now", "retry later").WithRetryAfter(retryDelay)
}

// headerMemory returns how much of a header's memory counts, in bytes.
func headerMemory(h http.Header) int64 {
	size, lines := 0, 0
	for name, values := range h {
		lines += len(values)
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return ingress.HeaderMemory(size, lines)
}
