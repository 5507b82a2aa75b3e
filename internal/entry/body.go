package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/ingress"
)

const (
	// defaultMaxBody limits a request's body, in bytes, if the configuration doesn't.
	defaultMaxBody = 4 << 20
	// maxUnreadBody is the size of a refused request's body, in bytes, that is read so
	// that its connection can be kept, and unreadBodyTimeout how long that may take.
	maxUnreadBody     = 16 << 10
	unreadBodyTimeout = 100 * time.Millisecond
)

// checkHeaderSize returns a problem if a request's header is over the limit.
func checkHeaderSize(r *http.Request, limit int) *problem.Error {
	limit = ingress.Limits{HeaderBytes: limit}.WithDefaults().HeaderBytes
	if ingress.HeaderSize(r) <= limit {
		return nil
	}
	return problem.New(problem.HeaderTooLarge, "the header exceeds the limit", "send at most "+strconv.Itoa(limit)+" bytes")
}

// readRequestBody reads the body of a request until the request's deadline at most.
// Its memory is held until the request ends.
func (s *Server) readRequestBody(w http.ResponseWriter, r *http.Request, req *request, limit int64) ([]byte, *problem.Error) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultMaxBody
	}
	holder := holderOf(r, req)
	conn := ingress.FromContext(r.Context())
	conn.BeginBody(holder)
	defer conn.EndBody()
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(req.deadline.Sub(s.now()))) // not supported by every writer
	body, held, err := s.requests.ReadRequest(r.Body, bodylimit.Request{
		Holder: holder, Length: r.ContentLength, Limit: limit, Relieve: s.closeStalledBody,
	})
	if err != nil {
		return nil, bodyProblem(err, limit)
	}
	_ = controller.SetReadDeadline(time.Time{}) // not supported by every writer
	req.held = held
	return body, nil
}

// closeStalledBody closes a connection to free the memory of its request's body.
func (s *Server) closeStalledBody(holder string) { s.opts.Connections.CloseStalledBody(holder) }

// holderOf returns who holds the memory of a request's body: its client account, or
// the caller's address if it has none.
func holderOf(r *http.Request, req *request) string {
	if req.account != "" {
		return req.account
	}
	return ingress.RemoteIP(r)
}

// bodyProblem returns the problem of a body that could not be read, of a request that
// has not been sent to any endpoint.
func bodyProblem(err error, limit int64) *problem.Error {
	var oversize *bodylimit.OversizeError
	var short *bodylimit.ShortageError
	switch {
	case errors.As(err, &oversize):
		return problem.New(problem.BodyTooLarge, "the body exceeds the limit", "send at most "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.As(err, &short):
		return problem.New(problem.MemoryShort, short.Error(), "retry later").WithRetryAfter(time.Second)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return problem.New(problem.BodyTimeout, "the body was not complete at the request's deadline", "send it faster or allow more time")
	}
	return problem.New(problem.MalformedRequest, "the body is truncated: "+err.Error(), "send the complete body")
}

// endUnreadBody ends the body of a request that is refused. A small one is read, if it
// arrives at once. Otherwise the connection is closed after the response: the server
// would keep it open to read the rest.
func endUnreadBody(w http.ResponseWriter, r *http.Request, fault *problem.Error) {
	if r.Body == nil || r.ContentLength == 0 {
		return
	}
	controller := http.NewResponseController(w)
	if mayReadRest(r, fault) && controller.SetReadDeadline(time.Now().Add(unreadBodyTimeout)) == nil {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_ = controller.SetReadDeadline(time.Time{}) // has been supported before
			return
		}
	}
	ingress.CloseAfterResponse(w)
	_ = controller.SetReadDeadline(time.Unix(1, 0)) // not supported by every writer
}

// mayReadRest reports whether the body of a refused request is small and has not been
// read from.
func mayReadRest(r *http.Request, fault *problem.Error) bool {
	if r.ContentLength < 0 || r.ContentLength > maxUnreadBody || r.Header.Get("Expect") != "" {
		return false
	}
	switch fault.Kind {
	case problem.Unauthorized, problem.NotFound, problem.PlatformDown, problem.NotReady, problem.NoEndpoint:
		return true
	}
	return false
}
