package gateway

import (
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// serveService serves plain services. Calls that are not idempotent run at most
// once. With an Idempotency-Key, repeated calls get the response to the first one
// from any entry VM.
func (s *Server) serveService(c echo.Context) error {
	req, cancel, p := s.openRequest(c)
	if p != nil {
		return writeProblem(c, p)
	}
	defer cancel()
	s.setRecordTarget(c, c.Param("service"))
	service, ok := s.backend.Service(c.Param("service"))
	if !ok {
		return writeProblem(c, problem.New(problem.UnknownService, "the service does not exist", "check the path /services/{service}/"))
	}
	path := "/" + c.Param("*")
	sc := &serviceCall{server: s, req: req, service: service, path: path}
	if !sc.isIdempotent() {
		c.Set(onceKey, true)
		defer req.detach(s.now())()
	}
	key := c.Request().Header.Get(headerIdempotencyKey)
	if sc.isIdempotent() || key == "" || req.claimed {
		_, res := sc.run()
		return res.answer(c)
	}
	return sc.runOnce(key)
}

// serviceCall is one call to a plain service.
type serviceCall struct {
	server  *Server
	req     *request
	service inventory.Service
	path    string
}

func (sc *serviceCall) isIdempotent() bool {
	return isIdempotentCall(sc.service, sc.req.echo.Request().Method, sc.path)
}

// matchRoute returns the service's route with the longest matching prefix.
func matchRoute(service inventory.Service, method, path string) (inventory.Route, bool) {
	var best inventory.Route
	found := false
	for _, r := range service.Routes {
		if r.Method != method || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if !found || len(r.Prefix) > len(best.Prefix) {
			best = r
			found = true
		}
	}
	return best, found
}

// isIdempotentCall reports whether a call may be repeated, according to its route
// or, if none matches, to its method (RFC 9110).
func isIdempotentCall(service inventory.Service, method, path string) bool {
	if r, ok := matchRoute(service, method, path); ok {
		return r.Idempotent
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// result is a service's response, or the error that replaces it.
type result struct {
	recorded StoredAnswer
	err      *problem.Error
}

func (r result) answer(c echo.Context) error {
	if r.err != nil {
		return writeProblem(c, r.err)
	}
	return r.recorded.write(c)
}

// run admits and dispatches the call and reads the complete response.
func (sc *serviceCall) run() (Outcome, result) {
	s, req := sc.server, sc.req
	need := Requirements{
		Kind: ServiceEndpoint, Name: sc.service.Name, Account: req.account,
		Deadline: req.deadline, Forwarded: req.forwarded, Exclude: req.excluded(),
	}
	adm, err := s.backend.Admit(req.ctx(), need)
	if err != nil {
		return NotSent, result{err: problem.As(err)}
	}
	defer adm.Release()
	req.admission = adm
	c := sc.newCall()
	var res result
	deliver := func(ans *answer) (p *problem.Error) {
		res.recorded, p = sc.read(ans)
		return p
	}
	var outcome Outcome
	outcome, res.err = s.dispatchAttempts(req, need, func() call { return c }, sc.isIdempotent(), deliver)
	if res.err != nil && !outcome.mayHaveRun() {
		res.err = markNotRun(res.err)
	}
	return outcome, res
}

func (sc *serviceCall) newCall() call {
	return newCall(sc.req.echo.Request(), sc.path, "/services/"+sc.service.Name+sc.path, sc.req.body)
}

// read returns the service's response, or an error if its status means that the
// call did not run.
func (sc *serviceCall) read(ans *answer) (StoredAnswer, *problem.Error) {
	route, _ := matchRoute(sc.service, sc.req.echo.Request().Method, sc.path)
	if slices.Contains(route.NotRunStatuses, ans.resp.StatusCode) {
		return StoredAnswer{}, problem.New(problem.Overloaded, "the service refused the call", "retry later").WithRetryAfter(retryDelay)
	}
	body, p := sc.server.readWhole(sc.req, ans.resp, "the service")
	if p != nil {
		return StoredAnswer{}, p
	}
	return StoredAnswer{Status: ans.resp.StatusCode, Header: sc.server.answerHeader(ans), Body: body}, nil
}

// markNotRun returns a copy of the error that reports the call as not run. The
// caller must be certain that no attempt ran.
func markNotRun(err *problem.Error) *problem.Error {
	c := *err
	c.Ran = problem.RanNo
	return &c
}
