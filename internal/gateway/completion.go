package gateway

import (
	"io"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// complete serves both completion calls. A completion has no effect besides
// its answer, so it's idempotent.
func (s *Server) complete(c echo.Context) error {
	req, cancel, p := s.open(c)
	if p != nil {
		return writeProblem(c, p)
	}
	defer cancel()
	head, p := parseCompletion(req.body)
	s.setTarget(c, head.Model)
	if p == nil {
		p = s.checkModel(head.Model)
	}
	if p != nil {
		return writeProblem(c, p)
	}
	need := Requirements{
		Kind: ModelEndpoint, Name: head.Model, Account: req.account, Deadline: req.deadline,
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
	return s.answerWhole(req, need, path)
}

// answerWhole delivers an answer only once it has been read whole, so that a
// broken one can be had anew.
func (s *Server) answerWhole(req *request, need Requirements, path string) error {
	c := newCall(req.echo.Request(), path, path, req.body)
	var rec StoredAnswer
	_, p := s.try(req, need, func() call { return c }, true, func(ans *answer) *problem.Error {
		body, err := io.ReadAll(ans.resp.Body)
		if err != nil {
			return endpointFailed("the endpoint's answer broke off")
		}
		rec = StoredAnswer{Status: ans.resp.StatusCode, Header: s.answerHeader(ans), Body: body}
		return nil
	})
	if p != nil {
		return writeProblem(req.echo, p)
	}
	return rec.write(req.echo)
}

// answerHeader picks the headers that the caller sees of an answer.
func (s *Server) answerHeader(ans *answer) http.Header {
	h := passedAnswerHeader(ans.resp)
	h.Set(headerHops, s.hops(ans))
	return h
}

func passedAnswerHeader(resp *http.Response) http.Header {
	h := http.Header{}
	for _, name := range []string{"Content-Type", "Location", "Retry-After"} {
		if v := resp.Header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	return h
}

// hops lists the VMs that a request passed, from this one on.
func (s *Server) hops(ans *answer) string {
	t := ans.attempt.Target()
	rest := t.Endpoint
	if t.Peer {
		rest = ans.resp.Header.Get(headerHops)
	}
	return s.vm + hopSeparator + rest
}

// write answers the caller.
func (r StoredAnswer) write(c echo.Context) error {
	h := c.Response().Header()
	for name, values := range r.Header {
		h[name] = values
	}
	c.Response().WriteHeader(r.Status)
	_, err := c.Response().Write(r.Body)
	return err
}
