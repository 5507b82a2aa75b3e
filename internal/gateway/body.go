package gateway

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/ingress"
)

// readBody reads the request's body until the deadline at most. Its memory is held
// until the request ends. The refusals close the connection, since the rest of the
// body is of no use.
func (s *Server) readBody(req *request) *problem.Error {
	r := req.echo.Request()
	if r.ContentLength == 0 {
		return nil
	}
	conn := ingress.FromContext(r.Context())
	conn.BeginBody(req.account.Name)
	defer conn.EndBody()
	control := http.NewResponseController(req.echo.Response())
	_ = control.SetReadDeadline(req.deadline) // recorders in tests have none
	var err error
	req.body, req.bodyMemory, err = s.bodies.ReadRequest(r.Body, bodylimit.Request{
		Holder: req.account.Name, Length: r.ContentLength, Limit: s.maxBody, Relieve: s.closeStalledBody,
	})
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return nil
	}
	closeAfterResponse(req.echo)
	if conn.Closing() {
		return closingProblem()
	}
	return s.bodyProblem(req, err)
}

// closingProblem returns the problem of a request whose connection was chosen to be
// closed while its body was being read.
func closingProblem() *problem.Error {
	return problem.New(problem.BodyTimeout, "the connection was closed while the body made no progress", "send the body faster")
}

// closeStalledBody closes a connection to free the memory of its request's body.
func (s *Server) closeStalledBody(holder string) { s.connections.CloseStalledBody(holder) }

// bodyProblem returns the problem of a body that could not be read. The request has
// not been sent to any endpoint.
func (s *Server) bodyProblem(req *request, err error) *problem.Error {
	var oversize *bodylimit.OversizeError
	var short *bodylimit.ShortageError
	switch {
	case errors.As(err, &oversize):
		return problem.New(problem.BodyTooLarge,
			"the body is larger than "+strconv.FormatInt(s.maxBody, 10)+" bytes", "send a smaller body")
	case errors.As(err, &short):
		return s.refuseForMemory(req.echo, "body", short)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return problem.New(problem.BodyTimeout, "the request's body was not complete by its deadline",
			"send the body faster, or allow more time in Request-Timeout")
	}
	return problem.New(problem.MalformedRequest, "the request body was truncated", "send the complete body")
}
