package gateway

import (
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
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
	service, ok := s.backend.Service(c.Param("service"))
	if !ok {
		return writeProblem(c, problem.New(problem.UnknownService, "the service does not exist", "check the path /services/{service}/"))
	}
	path := "/" + c.Param("*")
	need := Need{
		Kind: ServiceEndpoint, Name: service.Name, Account: req.account,
		Deadline: req.deadline, Forwarded: req.forwarded,
	}
	adm, err := s.backend.Admit(req.ctx(), need)
	if err != nil {
		return writeProblem(c, problem.As(err))
	}
	defer adm.Release()
	req.admission = adm
	idempotent := idempotentCall(service, c.Request().Method, path)
	if !idempotent {
		defer req.detach(s.now())()
	}
	key := c.Request().Header.Get(headerIdempotencyKey)
	if idempotent || key == "" || req.forwarded {
		_, res := s.call(req, need, service, path)
		return res.answer(c)
	}
	return s.callOnce(req, need, service, path, key)
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
	recorded Recorded
	err      *problem.Error
}

func (r result) answer(c echo.Context) error {
	if r.err != nil {
		return writeProblem(c, r.err)
	}
	return r.recorded.write(c)
}

// call runs a call and reads its answer whole.
func (s *Server) call(req *request, need Need, service inventory.Service, path string) (Outcome, result) {
	r := req.echo.Request()
	route, _ := matchRoute(service, r.Method, path)
	c := newCall(r, path, "/services/"+service.Name+path, req.body)
	var res result
	deliver := func(ans *answer) *problem.Error {
		if slices.Contains(route.NotRunStatuses, ans.resp.StatusCode) {
			return problem.New(problem.Overloaded, "the service refused the call", "retry later").After(retryDelay)
		}
		body, err := io.ReadAll(ans.resp.Body)
		if err != nil {
			return endpointFailed("the service's answer broke off")
		}
		res.recorded = Recorded{Status: ans.resp.StatusCode, Header: s.answerHeader(ans), Body: body}
		return nil
	}
	var outcome Outcome
	outcome, res.err = s.try(req, need, func() call { return c }, idempotentCall(service, r.Method, path), deliver)
	if res.err != nil && outcome != Failed && outcome != Cancelled {
		res.err = notRun(res.err)
	}
	return outcome, res
}

// notRun corrects an error after attempts that all certainly did not run.
func notRun(err *problem.Error) *problem.Error {
	c := *err
	c.Ran = problem.RanNo
	return &c
}

// callOnce runs a keyed call under a claim.
func (s *Server) callOnce(req *request, need Need, service inventory.Service, path, key string) error {
	if len(key) > maxKeyBytes {
		return writeProblem(req.echo, problem.New(problem.MalformedRequest, "the Idempotency-Key is too long", "use at most 255 bytes"))
	}
	claim, recorded, err := s.backend.Claim(req.ctx(), ClaimRequest{
		Account: req.account.Name, Key: key, Deadline: req.deadline,
		Fingerprint: s.fingerprint(req, need, path),
	})
	if err != nil {
		return writeProblem(req.echo, problem.As(err))
	}
	if recorded != nil {
		return recorded.write(req.echo)
	}
	outcome, res := s.call(req, need, service, path)
	switch {
	case res.err == nil && int64(len(res.recorded.Body)) <= s.maxAnswer:
		claim.Record(res.recorded)
	case res.err != nil && (outcome == NotSent || outcome == Refused):
		claim.Release()
	default:
		claim.Unknown()
	}
	return res.answer(req.echo)
}

// fingerprint identifies the content of a keyed call, so that a key used for
// another one is found out.
func (s *Server) fingerprint(req *request, need Need, path string) uint64 {
	d := xxhash.New()
	for _, part := range []string{req.echo.Request().Method, need.Name, path, req.echo.Request().URL.RawQuery} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.body)
	return d.Sum64()
}
