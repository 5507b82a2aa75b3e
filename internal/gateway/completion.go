package gateway

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// serveCompletion serves completions and chat completions. A completion has no
// effect other than its response, so it is idempotent.
func (s *Server) serveCompletion(c echo.Context) error {
	req, cancel, p := s.openRequest(c)
	if p != nil {
		return writeProblem(c, p)
	}
	defer cancel()
	head, p := parseCompletion(req.body)
	model := string(head.Model)
	s.setRecordTarget(c, model)
	if p == nil {
		p = s.checkModel(model)
	}
	if p != nil {
		return writeProblem(c, p)
	}
	need := Requirements{
		Kind: ModelEndpoint, Name: model, Account: req.account, Deadline: req.deadline,
		Prefix: head.prefixHashes(), Forwarded: req.forwarded, Exclude: req.excluded(),
	}
	adm, err := s.backend.Admit(req.ctx(), need)
	if err != nil {
		return writeProblem(c, problem.As(err))
	}
	defer adm.Release()
	req.admission = adm
	path := strings.TrimPrefix(c.Path(), ForwardPrefix)
	if head.Stream {
		return s.stream(req, need, path)
	}
	return s.answerBuffered(req, need, path)
}

// answerBuffered reads the complete response before it answers the caller, so
// that a truncated response can be retried.
func (s *Server) answerBuffered(req *request, need Requirements, path string) error {
	c := newCall(req.echo.Request(), path, path, req.body)
	var rec StoredAnswer
	_, p := s.dispatchAttempts(req, need, func() call { return c }, true, func(ans *answer) *problem.Error {
		body, p := s.readWhole(req, ans.resp, "the endpoint")
		if p != nil {
			return p
		}
		rec = StoredAnswer{Status: ans.resp.StatusCode, Header: s.answerHeader(ans), Body: body}
		return nil
	})
	if p != nil {
		return writeProblem(req.echo, p)
	}
	return rec.write(req.echo)
}

// answerHeader returns the headers of the response to the caller.
func (s *Server) answerHeader(ans *answer) http.Header {
	h := proxiedAnswerHeader(ans.resp)
	h.Set(headerHops, s.hops(ans))
	return h
}

func proxiedAnswerHeader(resp *http.Response) http.Header {
	h := http.Header{}
	for _, name := range []string{"Content-Type", "Location", "Retry-After"} {
		if v := resp.Header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	return h
}

// hops returns the VMs on the request's path, from this one to the endpoint.
func (s *Server) hops(ans *answer) string {
	t := ans.attempt.Target()
	next := t.Endpoint
	if t.Peer {
		next = ans.resp.Header.Get(headerHops)
	}
	return s.vm + hopSeparator + next
}

// write sends the stored response to the caller, or a problem in its place if its
// status would make a false promise.
func (r StoredAnswer) write(c echo.Context) error {
	if p := falsePromise(c, r.Status); p != nil {
		return writeProblem(c, p)
	}
	h := c.Response().Header()
	for name, values := range r.Header {
		h[name] = values
	}
	c.Response().WriteHeader(r.Status)
	_, err := c.Response().Write(r.Body)
	return err
}
