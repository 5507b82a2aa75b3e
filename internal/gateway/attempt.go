package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/endpoint"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// call holds the parts of an HTTP request that attempts send.
type call struct {
	method string
	// path is the path at an endpoint and peerPath the one at another entry
	// VM; both include the query.
	path     string
	peerPath string
	header   http.Header
	body     []byte
	// exclude lists the endpoints that another entry VM must not select.
	exclude []string
	// lastEventID is the event after which a stream resumes; 0 starts it from
	// the beginning.
	lastEventID uint64
}

// proxiedHeaders are the headers of a caller's request that are sent to
// endpoints.
var proxiedHeaders = []string{"Accept", "Content-Type", headerIdempotencyKey}

func newCall(r *http.Request, path, peerPath string, body []byte) call {
	h := http.Header{}
	for _, name := range proxiedHeaders {
		if v := r.Header.Values(name); len(v) > 0 {
			h[http.CanonicalHeaderKey(name)] = v
		}
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
		peerPath += "?" + r.URL.RawQuery
	}
	return call{method: r.Method, path: path, peerPath: ForwardPrefix + peerPath, header: h, body: body}
}

// answer is an endpoint's response to one attempt, or the error if there is
// none.
type answer struct {
	attempt Attempt
	resp    *http.Response
	span    trace.Span
	// outcome is Succeeded until an error occurs.
	outcome Outcome
	// err is set unless the outcome is Succeeded.
	err *problem.Error
	// progressed is set once the caller has received a part of it.
	progressed bool
}

// finish closes the response and ends the attempt with the outcome.
func (a *answer) finish(outcome Outcome) {
	if a.resp != nil {
		a.resp.Body.Close()
	}
	if outcome != Succeeded {
		a.span.SetStatus(codes.Error, string(outcome))
	}
	a.span.End()
	a.attempt.Done(outcome)
}

// send dispatches one attempt and waits for the response headers.
func (s *Server) send(req *request, a Attempt, c call) *answer {
	t := a.Target()
	ctx, span := s.tracer.Start(req.ctx(), "dispatch "+t.Endpoint, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("attempt.id", a.ID()), attribute.Bool("peer", t.Peer)))
	ans := &answer{attempt: a, span: span, outcome: Succeeded}
	hr, err := s.newRequest(ctx, req, a, c)
	if err != nil {
		ans.fail(NotSent, problem.New(problem.Internal, err.Error(), "report it with the request id"))
		return ans
	}
	resp, err := s.do(t, hr, c.body)
	if err != nil {
		s.classify(ans, ctx, err)
		return ans
	}
	ans.resp = resp
	ans.validate()
	return ans
}

// do sends the request of an attempt. The response of an endpoint is certain to
// belong to the request.
func (s *Server) do(t Target, hr *http.Request, body []byte) (*http.Response, error) {
	if t.Peer {
		return s.peers.Do(hr, body)
	}
	return s.endpoints.DoVerified(hr, body)
}

func (s *Server) clientFor(t Target) *endpoint.Client {
	if t.Peer {
		return s.peers
	}
	return s.endpoints
}

func (s *Server) newRequest(ctx context.Context, req *request, a Attempt, c call) (*http.Request, error) {
	t := a.Target()
	path := c.path
	if t.Peer {
		path = c.peerPath
	}
	hr, err := http.NewRequestWithContext(ctx, c.method, s.clientFor(t).URL(t.Address)+path, nil)
	if err != nil {
		return nil, err
	}
	hr.Header = c.header.Clone()
	h := hr.Header
	h.Set(endpoint.HeaderAttempt, a.ID())
	if c.lastEventID > 0 {
		h.Set(endpoint.HeaderLastEventID, strconv.FormatUint(c.lastEventID, 10))
	}
	if t.Peer {
		s.setPeerHeaders(ctx, hr, req)
		h.Set(headerForward, forwardAttempt)
		h.Set(headerExclude, strings.Join(c.exclude, listSeparator))
	} else {
		s.setTraceHeaders(ctx, hr, req)
	}
	if t.Group != "" {
		h.Set(endpoint.HeaderGroup, t.Group)
		h.Set(endpoint.HeaderGeneration, strconv.FormatUint(t.Generation, 10))
	}
	return hr, nil
}

// setTraceHeaders sets the trace context and the request id for the next hop.
func (s *Server) setTraceHeaders(ctx context.Context, hr *http.Request, req *request) {
	telemetry.Propagator.Inject(ctx, propagation.HeaderCarrier(hr.Header))
	hr.Header.Set(headerRequestID, req.id())
}

// setPeerHeaders sets the headers for another entry VM: the trace headers, the
// client account and the time left until the deadline, at least 1 ms.
func (s *Server) setPeerHeaders(ctx context.Context, hr *http.Request, req *request) {
	s.setTraceHeaders(ctx, hr, req)
	remaining := max(req.deadline.Sub(s.now()), time.Millisecond)
	hr.Header.Set(headerTimeout, strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64))
	hr.Header.Set(headerAccount, req.account.Name)
}

// classify sets the answer's outcome and error from a transport error.
func (s *Server) classify(ans *answer, ctx context.Context, err error) {
	outcome := s.transportOutcome(ctx, err)
	var other *endpoint.OtherAnswerError
	switch {
	case errors.As(err, &other):
		ans.fail(outcome, endpointError("the endpoint sent the response to another request"))
	case outcome == NotSent:
		ans.fail(outcome, problem.New(problem.NoEndpoint, "the endpoint could not be reached", "retry later").WithRetryAfter(retryDelay))
	case outcome == Cancelled:
		ans.fail(outcome, problem.New(problem.EndpointFailed, "the caller closed the connection", "no action is needed").WithRanUnknown())
	case ctx.Err() != nil:
		ans.fail(outcome, deadlineError())
	default:
		ans.fail(outcome, endpointError("the connection to the endpoint failed before the response"))
	}
}

// transportOutcome returns the outcome of an attempt that ended with a
// transport error.
func (s *Server) transportOutcome(ctx context.Context, err error) Outcome {
	var notSent *endpoint.NotSentError
	switch {
	case errors.As(err, &notSent):
		return NotSent
	case errors.Is(ctx.Err(), context.Canceled):
		return Cancelled
	}
	return Failed
}

// retryDelay is the Retry-After of errors that another attempt may resolve, such
// as an unreachable endpoint.
const retryDelay = time.Second

func deadlineError() *problem.Error {
	return problem.New(problem.DeadlineExceeded, "the deadline passed before the response was complete",
		"allow more time in Request-Timeout").WithRanUnknown()
}

func endpointError(message string) *problem.Error {
	return problem.New(problem.EndpointFailed, message,
		"retry if the request may be repeated, otherwise check whether it took effect").WithRanUnknown().WithRetryAfter(retryDelay)
}

func (a *answer) fail(outcome Outcome, err *problem.Error) {
	a.outcome = outcome
	a.err = err
}

// validate records the first byte. It sets an error if the answer is a peer's
// problem document, belongs to another attempt or reports a failure of the
// engine.
func (a *answer) validate() {
	h := a.resp.Header
	a.attempt.FirstByte(h.Get(endpoint.HeaderIncarnation))
	t := a.attempt.Target()
	switch {
	case t.Peer && h.Get(headerProblem) != "":
		a.err = readProblem(a.resp)
		a.outcome = outcomeOf(a.err, true)
	case t.Group != "" && h.Get(endpoint.HeaderAttempt) != a.attempt.ID():
		a.fail(Failed, endpointError("the endpoint sent the response to another request"))
	case t.Group != "" && a.resp.StatusCode == http.StatusConflict:
		a.fail(Refused, problem.New(problem.NoEndpoint, "the group changed before the request was dispatched", "retry").WithRetryAfter(retryDelay))
	case t.Group != "" && a.resp.StatusCode >= http.StatusInternalServerError:
		a.fail(Failed, endpointError(fmt.Sprintf("the engine answered %d", a.resp.StatusCode)))
	}
}
