package gateway

import (
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// callService serves plain services. Calls that may not be repeated are
// dispatched at most once; with an Idempotency-Key, repeats of the call get
// the first one's answer through any entry VM.
func (s *Server) callService(c echo.Context) error {
	req, cancel, p := s.open(c)
	if p != nil {
		return writeProblem(c, p)
	}
	defer cancel()
	s.setTarget(c, c.Param("service"))
	service, ok := s.backend.Service(c.Param("service"))
	if !ok {
		return writeProblem(c, problem.New(problem.UnknownService, "the service does not exist", "check the path /services/{service}/"))
	}
	path := "/" + c.Param("*")
	sc := &serviceCall{server: s, req: req, service: service, path: path}
	if !sc.idempotent() {
		defer req.detach(s.now())()
	}
	key := c.Request().Header.Get(headerIdempotencyKey)
	if sc.idempotent() || key == "" || req.claimed {
		_, res := sc.run()
		return res.answer(c)
	}
	return sc.runOnce(key)
}

// serviceCall is one call of a plain service.
type serviceCall struct {
	server  *Server
	req     *request
	service inventory.Service
	path    string
}

func (sc *serviceCall) idempotent() bool {
	return idempotentCall(sc.service, sc.req.echo.Request().Method, sc.path)
}

// matchRoute finds the service's route of the longest matching prefix.
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

// idempotentCall reports whether a call may be repeated: by its route, else
// by its method (RFC 9110).
func idempotentCall(service inventory.Service, method, path string) bool {
	if r, ok := matchRoute(service, method, path); ok {
		return r.Idempotent
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// result is a service's answer or the error that stands for it.
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

// run admits and dispatches the call and reads its answer whole.
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
	outcome, res.err = s.try(req, need, func() call { return c }, sc.idempotent(), deliver)
	if res.err != nil && !outcome.mayHaveRun() {
		res.err = notRun(res.err)
	}
	return outcome, res
}

func (sc *serviceCall) newCall() call {
	return newCall(sc.req.echo.Request(), sc.path, "/services/"+sc.service.Name+sc.path, sc.req.body)
}

// read takes in the service's answer.
func (sc *serviceCall) read(ans *answer) (StoredAnswer, *problem.Error) {
	route, _ := matchRoute(sc.service, sc.req.echo.Request().Method, sc.path)
	if slices.Contains(route.NotRunStatuses, ans.resp.StatusCode) {
		return StoredAnswer{}, problem.New(problem.Overloaded, "the service refused the call", "retry later").WithRetryAfter(retryDelay)
	}
	body, err := io.ReadAll(ans.resp.Body)
	if err != nil {
		return StoredAnswer{}, endpointFailed("the service's answer broke off")
	}
	return StoredAnswer{Status: ans.resp.StatusCode, Header: sc.server.answerHeader(ans), Body: body}, nil
}

// notRun corrects an error after attempts that all certainly did not run.
func notRun(err *problem.Error) *problem.Error {
	c := *err
	c.Ran = problem.RanNo
	return &c
}
