package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// problemOf returns the problem of a request for which no endpoint was chosen.
func problemOf(r *dispatch.Refusal) *problem.Error {
	kind, remedy := problem.Overloaded, "retry later"
	switch r.Reason {
	case dispatch.NoTarget:
		kind = problem.NoEndpoint
	case dispatch.Quarantined:
		kind, remedy = problem.Quarantined, "leave out the part or change the request, or retry later"
	}
	message := string(r.Reason)
	if r.Detail != "" {
		message += ": " + r.Detail
	}
	return problem.New(kind, message, remedy).WithRetryAfter(r.RetryAfter)
}

// endProblem returns the problem of a request whose context has ended: the message
// and remedy if its deadline has passed, or that this entry VM stops.
func endProblem(ctx context.Context, message, remedy string) *problem.Error {
	if errors.Is(context.Cause(ctx), errStopped) {
		return problem.New(problem.Stopping, errStopped.Error(), "retry if the request may run twice").WithRetryAfter(time.Second)
	}
	return problem.New(problem.DeadlineExceeded, message, remedy)
}

// finalFault rules out further attempts and returns the problem.
func finalFault(req *request, p *problem.Error) *problem.Error {
	req.final = true
	return p
}

// markRan returns the problem, marked if the request may have run.
func (req *request) markRan(p *problem.Error) *problem.Error {
	if req.mayHaveRun() {
		return p.WithRanUnknown()
	}
	return p
}

// statusByKind contains the status codes of problems with requests that
// certainly did not run; kinds not listed map to 503. A request that may have
// run gets 502 or 504.
var statusByKind = map[problem.Kind]int{
	problem.MalformedRequest: http.StatusBadRequest,
	problem.Unauthorized:     http.StatusUnauthorized,
	problem.NotFound:         http.StatusNotFound,
	problem.BodyTooLarge:     http.StatusRequestEntityTooLarge,
	problem.BodyTimeout:      http.StatusRequestTimeout,
	problem.HeaderTooLarge:   http.StatusRequestHeaderFieldsTooLarge,
}

func statusOf(p *problem.Error) int {
	switch {
	case p.Ran == problem.RanUnknown && p.Kind == problem.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case p.Ran == problem.RanUnknown:
		return http.StatusBadGateway
	}
	if status, ok := statusByKind[p.Kind]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}
