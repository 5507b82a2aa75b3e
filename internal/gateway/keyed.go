package gateway

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// issuedKey is the response to a request for a new idempotency key.
type issuedKey struct {
	Key          string  `json:"idempotency_key"`
	ValidSeconds float64 `json:"valid_seconds"`
}

// issueKey issues an idempotency key whose first use this node can confirm.
func (s *Server) issueKey(c echo.Context) error {
	if _, p := s.authenticate(c.Request()); p != nil {
		return writeProblem(c, p)
	}
	if p := s.backend.Ready(); p != nil {
		return writeProblem(c, p)
	}
	key, valid := s.backend.IssueKey()
	return c.JSON(http.StatusCreated, issuedKey{Key: key, ValidSeconds: valid.Seconds()})
}

// runOnce runs a call at most once for its idempotency key.
func (sc *serviceCall) runOnce(key string) error {
	s, req := sc.server, sc.req
	if len(key) > maxIdempotencyKeyBytes {
		return writeProblem(req.echo, problem.New(problem.MalformedRequest, "the Idempotency-Key is too long", "use at most 255 bytes"))
	}
	keyed := s.backend.Keyed(KeyedRequest{
		Account: req.account.Name, Key: key, Fingerprint: sc.fingerprint(),
		First: req.echo.Request().Header.Get(headerIdempotencyFirst) == "true",
	})
	defer keyed.Close()
	hops := s.vm
	for {
		step, err := keyed.Next(req.ctx())
		if err != nil {
			return writeProblem(req.echo, problem.As(err))
		}
		switch step.Kind {
		case StepAnswer:
			step.Recorded.Header.Set(headerHops, hops)
			return step.Recorded.write(req.echo)
		case StepDispatch:
			outcome, res := sc.run()
			if outcome == Succeeded {
				hops = res.recorded.Header.Get(headerHops)
			}
			keyed.Settle(outcome, res.recorded, res.err)
		case StepForward:
			outcome, res := sc.forward(step.Target)
			if outcome == Succeeded {
				return res.answer(req.echo)
			}
			keyed.ForwardFailed(outcome)
		}
	}
}

// forward sends the call to the entry VM that can confirm the first use of its
// key. The response of that VM answers the call, even if it is a problem
// document.
func (sc *serviceCall) forward(t Target) (Outcome, result) {
	s, req := sc.server, sc.req
	ctx, span := s.tracer.Start(req.ctx(), "forward "+t.Endpoint, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.Bool("keyed", true)))
	defer span.End()
	c := sc.newCall()
	hr, err := http.NewRequestWithContext(ctx, c.method, s.peers.URL(t.Address)+c.peerPath, nil)
	if err != nil {
		return NotSent, result{}
	}
	hr.Header = c.header.Clone()
	s.setPeerHeaders(ctx, hr, req)
	hr.Header.Set(headerForward, forwardKeyed)
	hr.Header.Set(headerIdempotencyFirst, req.echo.Request().Header.Get(headerIdempotencyFirst))
	resp, err := s.peers.Do(hr, c.body)
	if err != nil {
		return s.transportOutcome(ctx, err), result{}
	}
	defer resp.Body.Close()
	if resp.Header.Get(headerProblem) != "" {
		return Succeeded, result{err: readProblem(resp)}
	}
	body, p := s.readWhole(req, resp, "the entry VM")
	if p != nil {
		s.log.Info("forwarding a keyed call failed", "request_id", req.id(), "entry_vm", t.Endpoint, "error", p.Message)
		return Failed, result{}
	}
	rec := StoredAnswer{Status: resp.StatusCode, Header: proxiedAnswerHeader(resp), Body: body}
	rec.Header.Set(headerHops, s.vm+hopSeparator+resp.Header.Get(headerHops))
	return Succeeded, result{recorded: rec}
}

// fingerprint returns a hash of the call's content, which detects that a key is
// reused for a different call.
func (sc *serviceCall) fingerprint() string {
	r := sc.req.echo.Request()
	d := xxhash.New()
	for _, part := range []string{r.Method, sc.service.Name, sc.path, r.URL.RawQuery} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(sc.req.body)
	return strconv.FormatUint(d.Sum64(), 36)
}
