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
)

// answer is an endpoint's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	vm     string
}

// serve answers an accepted request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, req *request) {
	ctx, cancel := context.WithTimeoutCause(r.Context(), req.deadline.Sub(s.now()), errDeadline)
	defer cancel()
	defer func() { s.bodies.give(req.buffered) }()
	if req.route.Kind == catalog.Stream {
		s.serveStream(ctx, w, r, req)
		return
	}
	got, fault := s.fetch(ctx, req)
	switch {
	case r.Context().Err() != nil:
		s.count("caller gone")
	case got != nil:
		s.deliver(w, req, got)
	default:
		s.refuse(w, req.id, req, fault)
	}
}

// fetch returns the first good answer, else the last one that an endpoint
// made, else the problem.
func (s *Server) fetch(ctx context.Context, req *request) (*answer, *problem.Error) {
	var kept *answer
	for {
		got, fault := s.fetchOnce(ctx, req)
		if got != nil && got.status < http.StatusInternalServerError {
			return got, nil
		}
		if got != nil {
			kept = got
		}
		if !s.again(ctx, req) {
			return kept, fault
		}
	}
}

// again reports whether another attempt is worth making.
func (s *Server) again(ctx context.Context, req *request) bool {
	if req.final || ctx.Err() != nil || req.sends >= maxSends {
		return false
	}
	return !req.mayHaveRun || req.mayRepeat()
}

// fetchOnce makes one attempt and reads its whole answer.
func (s *Server) fetchOnce(ctx context.Context, req *request) (*answer, *problem.Error) {
	a, fault := s.attempt(ctx, req, "")
	if fault != nil {
		return nil, fault
	}
	if s.refusedByEndpoint(a.resp) {
		return nil, s.rejected(a, req)
	}
	body, err := s.readBody(a, req)
	if err == nil {
		err = s.checkAnswer(a)
	}
	if err != nil {
		req.exclude = append(req.exclude, a.ticket.Target.ID)
		return nil, s.broke(ctx, a, req, err)
	}
	req.ran()
	got := &answer{status: a.resp.Status, header: a.resp.Header, body: body, vm: a.ticket.Target.ID}
	outcome := dispatch.Succeeded
	if got.status >= http.StatusInternalServerError {
		outcome = dispatch.Neutral
		req.exclude = append(req.exclude, got.vm)
	}
	s.end(a, outcome)
	return got, nil
}

// readBody reads an endpoint's answer whole. The memory that it takes is given
// back with the end of the request.
func (s *Server) readBody(a *attempt, req *request) ([]byte, error) {
	body, taken, err := s.bodies.read(a.resp.Body)
	req.buffered += taken
	return body, err
}

// checkAnswer reports what shows that an answer isn't the endpoint's own.
func (s *Server) checkAnswer(a *attempt) error {
	if a.resp.Status/100 != 2 {
		return nil
	}
	if a.resp.Header.Get(s.proto.Seal) == "" {
		return errors.New("the answer bears no seal")
	}
	if a.resp.Header.Get("Content-Encoding") != "" {
		return errors.New("the answer is encoded, which was not asked for")
	}
	return nil
}

// rejected ends an attempt that the endpoint did not run.
func (s *Server) rejected(a *attempt, req *request) *problem.Error {
	status, faulty := a.resp.Status, a.resp.Header.Get(s.proto.Faulty)
	a.resp.Discard()
	if status == http.StatusMisdirectedRequest || faulty != "" {
		req.exclude = append(req.exclude, a.ticket.Target.ID)
	}
	req.sends++
	s.end(a, dispatch.Rejected)
	s.log.Info("endpoint did not run the request", "request", req.id, "endpoint", a.ticket.Target.ID,
		"status", status, "faulty", faulty, "after", s.now().Sub(a.sentAt))
	return s.fault(req, problem.New(problem.EndpointFailed, "the endpoint did not run the request", "retry").WithRetryAfter(time.Second/2))
}

// deliver brings an endpoint's answer to the caller.
func (s *Server) deliver(w http.ResponseWriter, req *request, got *answer) {
	copyHeader(w.Header(), got.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	w.WriteHeader(got.status)
	_, _ = w.Write(got.body) // the caller may have gone
	s.answered(req)
	if got.status >= http.StatusInternalServerError {
		s.log.Info("endpoint's failure delivered", "request", req.id, "endpoint", got.vm, "status", got.status, "sends", req.sends)
	}
}
