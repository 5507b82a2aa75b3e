package gateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// issuedKey answers a request for a fresh idempotency key.
type issuedKey struct {
	Key          string  `json:"idempotency_key"`
	ValidSeconds float64 `json:"valid_seconds"`
}

// issueKey hands out an idempotency key that this node vouches for.
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

// runOnce runs a call under its idempotency key.
func (sc *serviceCall) runOnce(key string) error {
	s, req := sc.server, sc.req
	if len(key) > maxKeyBytes {
		return writeProblem(req.echo, problem.New(problem.MalformedRequest, "the Idempotency-Key is too long", "use at most 255 bytes"))
	}
	keyed := s.backend.Keyed(KeyedRequest{
		Account: req.account.Name, Key: key, Fingerprint: sc.fingerprint(),
		First: req.echo.Request().Header.Get(headerFirst) == "true",
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

// forward passes the call on to the entry VM that vouches for its key. An
// answer of that VM is the call's, also if it's a problem.
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
	hr.Header.Set(headerFirst, req.echo.Request().Header.Get(headerFirst))
	resp, err := s.peers.Do(hr, c.body)
	if err != nil {
		return s.transportOutcome(ctx, err), result{}
	}
	defer resp.Body.Close()
	if resp.Header.Get(headerProblem) != "" {
		return Succeeded, result{err: readProblem(resp)}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Failed, result{}
	}
	rec := StoredAnswer{Status: resp.StatusCode, Header: passedAnswerHeader(resp), Body: body}
	rec.Header.Set(headerHops, s.vm+hopSeparator+resp.Header.Get(headerHops))
	return Succeeded, result{recorded: rec}
}

// fingerprint identifies the content of a keyed call, so that a key used for
// another one is found out.
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
