package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/httpstatus"
)

// response is a complete response of an endpoint.
type response struct {
	status int
	header http.Header
	body   []byte
	vm     string
}

// serve handles an accepted request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, req *request) {
	ctx, cancel := context.WithTimeoutCause(r.Context(), req.deadline.Sub(s.now()), errDeadline)
	defer cancel()
	ctx, giveUp := context.WithCancelCause(ctx)
	defer context.AfterFunc(s.serving, func() { giveUp(context.Cause(s.serving)) })()
	defer func() { s.bodies.Release(req.buffered) }()
	if req.route.Kind == catalog.Stream {
		s.serveStream(ctx, w, r, req)
		return
	}
	got, fault := s.fetch(ctx, req)
	switch {
	case r.Context().Err() != nil:
		s.abortForCallerGone(req, 0)
	case got != nil:
		s.deliver(w, req, got)
	default:
		s.refuse(w, req.id, req, fault)
	}
}

// fetch returns the first response with a status below 500. Without one it
// returns the last response of an endpoint, if any, and otherwise the problem.
func (s *Server) fetch(ctx context.Context, req *request) (*response, *problem.Error) {
	var failed *response
	for {
		got, fault := s.fetchOnce(ctx, req)
		if got != nil && got.status < http.StatusInternalServerError {
			return got, nil
		}
		if got != nil {
			failed = got
		}
		if !s.canRetry(ctx, req) {
			return failed, fault
		}
	}
}

// canRetry reports whether another attempt may be made.
func (s *Server) canRetry(ctx context.Context, req *request) bool {
	if req.final || ctx.Err() != nil || req.sends >= maxSends {
		return false
	}
	return !req.mayHaveRun() || req.canRepeat()
}

// fetchOnce makes one attempt and reads the complete response.
func (s *Server) fetchOnce(ctx context.Context, req *request) (*response, *problem.Error) {
	a, fault := s.startAttempt(ctx, req, "")
	if fault != nil {
		return nil, fault
	}
	if s.isNotRun(a.resp) {
		return nil, s.endRejected(a, req)
	}
	body, err := s.readBody(a, req)
	if err == nil {
		err = s.checkResponse(a)
	}
	if err != nil {
		req.exclude = append(req.exclude, a.ticket.Target.ID)
		return nil, s.endBroken(ctx, a, req, err)
	}
	req.countRun()
	got := &response{status: a.resp.Status, header: a.resp.Header, body: body, vm: a.ticket.Target.ID}
	outcome := dispatch.Succeeded
	if got.status >= http.StatusInternalServerError {
		outcome = dispatch.Neutral
		req.exclude = append(req.exclude, got.vm)
		s.state.recordFailure(a.ticket)
	}
	s.endAttempt(a, outcome)
	return got, nil
}

// readBody reads an endpoint's complete response body. Its memory is released
// when the request ends.
func (s *Server) readBody(a *attempt, req *request) ([]byte, error) {
	body, reserved, err := s.bodies.Read(a.resp.Body)
	req.buffered += reserved
	return body, err
}

// checkResponse returns an error if a successful response lacks the endpoint's
// seal or was encoded on the way.
func (s *Server) checkResponse(a *attempt) error {
	if a.resp.Status/100 != 2 {
		return nil
	}
	if a.resp.Header.Get(s.proto.Seal) == "" {
		return errors.New("the response has no seal")
	}
	if a.resp.Header.Get("Content-Encoding") != "" {
		return errors.New("the response has a content encoding that was not requested")
	}
	return nil
}

// endRejected ends an attempt that the endpoint did not run and returns the
// problem.
func (s *Server) endRejected(a *attempt, req *request) *problem.Error {
	status, faulty := a.resp.Status, a.resp.Header.Get(s.proto.Faulty)
	a.resp.Discard()
	if status == http.StatusMisdirectedRequest || faulty != "" {
		req.exclude = append(req.exclude, a.ticket.Target.ID)
	}
	req.sends++
	s.endAttempt(a, dispatch.Rejected)
	s.log.Info("endpoint did not run the request", "request", req.id, "endpoint", a.ticket.Target.ID,
		"status", status, "faulty", faulty, "after", s.now().Sub(a.sentAt))
	return problem.New(problem.EndpointFailed, "the endpoint did not run the request", "retry").WithRetryAfter(time.Second / 2)
}

// deliver sends an endpoint's response to the caller, or a problem in its place if
// the status would promise that a request has not run that may have.
func (s *Server) deliver(w http.ResponseWriter, req *request, got *response) {
	if !req.route.Repeatable() && httpstatus.PromisesNotRun(got.status) {
		s.refuse(w, req.id, req, problem.New(problem.EndpointFailed,
			"the endpoint answered "+strconv.Itoa(got.status)+" and did not state that the request has not run", "check whether it took effect"))
		return
	}
	copyHeader(w.Header(), got.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	w.WriteHeader(got.status)
	_, _ = w.Write(got.body) // the caller may have disconnected
	s.recordAnswered(req)
	if got.status >= http.StatusInternalServerError {
		s.log.Info("delivered error response of endpoint", "request", req.id, "endpoint", got.vm, "status", got.status, "sends", req.sends)
	}
}
