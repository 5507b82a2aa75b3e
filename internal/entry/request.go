package entry

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/coord/quarantine"
	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/ingress"
	"github.com/pimentoshore/pimentoshore/internal/upstream"
)

// defaultTimeout applies to requests without a deadline on routes without a
// timeout.
const defaultTimeout = 30 * time.Second

// request is a caller's request that is being served.
type request struct {
	id      string
	started time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline     time.Time
	route        *catalog.Route
	account      string
	service      *catalog.Service
	rank         catalog.Rank
	model        string
	promptTokens int
	// parts are the parts of the prompt that others may share, and last the one that
	// identifies the request.
	parts []quarantine.Part
	// prefix is the beginning of the prompt that other requests may share, or nil.
	prefix         *dispatch.Prefix
	catalogVersion int64
	outgoing       upstream.Request
	draw           uint64

	// attempts is the number of sends that may have run, sends the number of
	// all.
	attempts, sends int
	// unansweredBreaks is the number of endpoints that broke the request off
	// without an event of its answer.
	unansweredBreaks int
	// runs is the number of sends that may have run, at endpoints that have ended
	// since too.
	runs int
	// responseBegun reports whether part of the response was sent to the caller.
	responseBegun bool
	// final reports whether further attempts are ruled out.
	final         bool
	exclude       []string
	lastEndpoint  string // endpoint of the latest send
	predictedLoad int    // load predicted for lastEndpoint when it was chosen
	// doubted is called when the answer of one of its attempts may not go on, or
	// nil.
	doubted func(*attempt, *dispatch.Ticket, dispatch.LossReason)
	// placed is called with each attempt before it is sent, and hasStandby reports
	// whether another attempt is made meanwhile. Both may be nil.
	placed     func(*attempt)
	hasStandby func() bool
	// buffered is the memory reserved for buffered responses, in bytes, and held that
	// for the request's body.
	buffered int64
	held     bodylimit.Reservation
}

// hopByHop lists the headers that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authorization", "Proxy-Authenticate", "Expect", "Content-Length",
}

// accept validates a caller's request against the catalog and reads its body.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (*request, *problem.Error) {
	now := s.now()
	id := r.Header.Get(s.proto.RequestID)
	if id == "" {
		return nil, problem.New(problem.MalformedRequest, "the request has no ID", "send the header "+s.proto.RequestID)
	}
	view := s.state.View()
	if view == nil {
		return nil, problem.New(problem.NotReady, "no configuration has been read yet", "retry shortly").WithRetryAfter(time.Second)
	}
	if fault := checkHeaderSize(r, view.Catalog.Limits.MaxHeaderBytes); fault != nil {
		return nil, fault
	}
	req := &request{id: id, started: now, catalogVersion: view.Catalog.Version, draw: xxhash.Sum64String(id)}
	if fault := s.matchRoute(req, r, view); fault != nil {
		return nil, fault
	}
	if !ingress.FromContext(r.Context()).Claim(holderOf(r, req)) {
		return nil, problem.New(problem.Overloaded, "the account has half of this entry VM's connections, which are short", "send fewer requests at once").WithRetryAfter(time.Second)
	}
	req.deadline = s.deadline(req, r)
	req.service = view.Catalog.Service(req.route.PickService(req.draw))
	if req.service == nil {
		return nil, problem.New(problem.NoEndpoint, "the route's service is not in the configuration", "retry shortly").WithRetryAfter(time.Second)
	}
	req.rank = view.Catalog.Rank(req.service.Name, req.route, req.account)
	if req.service.Engine != nil {
		req.model = r.Header.Get(s.proto.Model)
		req.parts = sharedParts(r.Header.Get(s.proto.PromptParts))
		prompt, _, _ := strings.Cut(r.Header.Get(s.proto.Tokens), ",")
		if n, err := strconv.Atoi(prompt); err == nil && n > 0 {
			req.promptTokens = n
		}
		req.prefix = prefixOf(r.Header.Get(s.proto.PromptParts), req.promptTokens)
	}
	body, fault := s.readRequestBody(w, r, req, view.Catalog.Limits.MaxBodyBytes)
	if fault != nil {
		return nil, fault
	}
	identity := quarantine.Request{Account: req.account, Method: r.Method, Host: r.Host, Target: r.RequestURI, Body: body}
	req.parts = append(req.parts, identity.Part())
	req.outgoing = upstream.Request{
		ID: id, Method: r.Method, Target: r.RequestURI, Host: r.Host, Body: body, Header: s.forwardHeader(req, r.Header),
	}
	return req, nil
}

// matchRoute sets the request's route and client account. If the catalog may be
// outdated, it returns staleCatalog instead of NotFound or Unauthorized.
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
			return staleCatalog(age)
		}
		return problem.New(problem.NotFound, "no route matches "+host+path, "check the host and path")
	}
	return s.authenticate(req, r, view)
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

// forwardHeader returns the headers to send to the endpoint. Callers' credentials are
// for this entry VM, which may not know yet whose they are or that they are needed:
// no endpoint gets them.
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
	out.Del(s.proto.Authorization)
	if req.account != "" {
		out.Set(s.proto.Account, req.account)
	}
	if req.rank.Ranked {
		out.Set(s.proto.Priority, req.rank.String())
	}
	return out
}
