package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/upstream"
)

// defaultTimeout bounds requests that name no time and whose route has none.
const defaultTimeout = 30 * time.Second

// request is a caller's request on its way.
type request struct {
	id      string
	started time.Time
	// deadline is when the caller or the route stops waiting.
	deadline time.Time
	route    *catalog.Route
	account  string
	service  *catalog.Service
	model    string
	prompt   int   // tokens
	version  int64 // of the catalog
	out      upstream.Request
	draw     uint64

	// attempts counts sends that may have run; sends counts all.
	attempts, sends int
	// mayHaveRun is whether some send may have run.
	mayHaveRun bool
	// begun is whether the caller has a part of the answer.
	begun bool
	// final is whether nothing more can be tried.
	final   bool
	exclude []string
	last    string // the endpoint of the newest send
	load    int    // predicted there when it was chosen
	// buffered is the memory that answers of endpoints take, in bytes.
	buffered int64
}

// hopByHop are headers that concern one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authorization", "Proxy-Authenticate", "Expect", "Content-Length",
}

// accept checks a caller's request against the catalog.
func (s *Server) accept(r *http.Request) (*request, *problem.Error) {
	now := s.now()
	id := r.Header.Get(s.proto.RequestID)
	if id == "" {
		return nil, problem.New(problem.MalformedRequest, "the request has no id", "send the header "+s.proto.RequestID)
	}
	view := s.state.View()
	if view == nil {
		return nil, problem.New(problem.NotReady, "no configuration is known yet", "retry shortly").WithRetryAfter(time.Second)
	}
	req := &request{id: id, started: now, version: view.Catalog.Version, draw: xxhash.Sum64String(id)}
	if fault := s.matchRoute(req, r, view); fault != nil {
		return nil, fault
	}
	req.deadline = s.deadline(req, r)
	req.service = view.Catalog.Service(req.route.PickService(req.draw))
	if req.service == nil {
		return nil, problem.New(problem.NoEndpoint, "the route's service is not in the configuration", "retry shortly").WithRetryAfter(time.Second)
	}
	if req.service.Engine != nil {
		req.model = r.Header.Get(s.proto.Model)
		prompt, _, _ := strings.Cut(r.Header.Get(s.proto.Tokens), ",")
		if n, err := strconv.Atoi(prompt); err == nil && n > 0 {
			req.prompt = n
		}
	}
	body, fault := readBody(r, view.Catalog.Limits.MaxBodyBytes)
	if fault != nil {
		return nil, fault
	}
	req.out = upstream.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Body: body, Header: s.forwardHeader(req, r.Header),
	}
	return req, nil
}

// matchRoute finds the request's route and account. A node that can't know
// whether its catalog is still in force refuses without saying so.
func (s *Server) matchRoute(req *request, r *http.Request, view *View) *problem.Error {
	age := req.started.Sub(view.AsOf)
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	req.route = view.Catalog.Match(host, path)
	if req.route == nil {
		if age > s.opts.UnknownAfter {
			return stale(age)
		}
		return problem.New(problem.NotFound, "no route matches "+host+path, "check the host and path")
	}
	if !view.Catalog.NeedsKey(req.route) {
		return nil
	}
	if age > s.opts.KeysValidFor {
		return stale(age)
	}
	scheme, key, _ := strings.Cut(r.Header.Get(s.proto.Authorization), " ")
	account := view.Catalog.Account(key)
	if account == nil || !strings.EqualFold(scheme, s.proto.KeyScheme) {
		if age > s.opts.UnknownAfter {
			return stale(age)
		}
		return problem.New(problem.Unauthorized, "the key belongs to no account", "send a valid key")
	}
	req.account = account.Name
	return nil
}

func stale(age time.Duration) *problem.Error {
	return problem.New(problem.PlatformDown,
		"the configuration was last read "+age.Round(time.Millisecond).String()+" ago",
		"retry, if possible through another data centre").WithRetryAfter(time.Second)
}

// keysValid reports whether keys may be trusted now.
func (s *Server) keysValid(req *request) bool {
	view := s.state.View()
	if req.account == "" {
		return true
	}
	return s.now().Sub(view.AsOf) <= s.opts.KeysValidFor
}

func (s *Server) deadline(req *request, r *http.Request) time.Time {
	d := defaultTimeout
	if req.route.Timeout > 0 {
		d = req.route.Timeout
	}
	ms, err := strconv.ParseInt(r.Header.Get(s.proto.Deadline), 10, 64)
	if err == nil && ms >= 0 {
		d = min(d, time.Duration(ms)*time.Millisecond)
	}
	return req.started.Add(d)
}

func readBody(r *http.Request, limit int64) ([]byte, *problem.Error) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = 4 << 20
	}
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	var over *http.MaxBytesError
	switch {
	case errors.As(err, &over):
		return nil, tooLarge(limit)
	case err != nil:
		return nil, problem.New(problem.MalformedRequest, "the body ended early: "+err.Error(), "send the whole body")
	}
	return body, nil
}

func tooLarge(limit int64) *problem.Error {
	return problem.New(problem.BodyTooLarge, "the body is over the limit", "send at most "+strconv.FormatInt(limit, 10)+" bytes")
}

// forwardHeader returns the headers for the endpoint.
func (s *Server) forwardHeader(req *request, in http.Header) http.Header {
	out := in.Clone()
	for _, field := range in.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	out.Del(s.proto.Account)
	out.Del(s.proto.ExpectVM)
	if req.account != "" {
		out.Del(s.proto.Authorization)
		out.Set(s.proto.Account, req.account)
	}
	return out
}
