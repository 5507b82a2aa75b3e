package gateway

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/httpstatus"
)

// runsOnce reports whether the request in echo's context must not run twice, so that
// a status that promises that it has not run must be true.
func runsOnce(c echo.Context) bool {
	once, _ := c.Get(onceKey).(bool)
	return once
}

// isForwarded reports whether another entry VM sent the request. That VM answers the
// caller.
func isForwarded(c echo.Context) bool { return c.Get(forwardedKey) != nil }

// problemStatus returns the status of a problem's answer: that of its kind, unless
// that would promise that a request has not run that may have. The problem of a call
// with an idempotency key says whether an earlier call with the key may have run;
// this one was not dispatched if its kind has such a status.
func problemStatus(c echo.Context, e *problem.Error) int {
	status := StatusOf(e.Kind)
	keyed := c.Request().Header.Get(headerIdempotencyKey) != ""
	if runsOnce(c) && !keyed && e.Ran != problem.RanNo && httpstatus.PromisesNotRun(status) {
		return http.StatusBadGateway
	}
	return status
}

// falsePromise returns the problem that replaces a service's answer whose status
// would promise that a call has not run that did, or nil if it may be sent.
func falsePromise(c echo.Context, status int) *problem.Error {
	if !httpstatus.IsStatus(status) {
		return problem.New(problem.EndpointFailed, "the stored answer has the status "+strconv.Itoa(status), "check whether the call took effect").WithRanUnknown()
	}
	if !runsOnce(c) || isForwarded(c) || !httpstatus.PromisesNotRun(status) {
		return nil
	}
	return problem.New(problem.EndpointFailed,
		"the service answered "+strconv.Itoa(status)+", and not_run_statuses does not say that the call has not run then",
		"check whether it took effect").WithRanUnknown()
}
