// Package gateway serves callers over HTTP: the OpenAI-compatible completion
// calls, plain services, and requests that other entry VMs forward. It leaves
// every decision to its Backend and carries requests and answers.
package gateway

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/endpoint"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// ForwardPrefix is the path on the peers' listener under which entry VMs
// forward callers' requests to each other.
const ForwardPrefix = "/forward"

// Keys of values that handlers keep in echo's context.
const (
	forwardedKey = "forwarded_account" // marks a forwarded request
	outcomeKey   = "outcome"           // *problem.Error that ended it
	recordKey    = "record"            // *Record of an authenticated request
)

// Options configures a Server.
type Options struct {
	VM         string
	Backend    Backend
	Endpoints  *endpoint.Client // calls endpoints
	Peers      *endpoint.Client // calls other entry VMs
	Logger     *slog.Logger
	Registry   metrics.Registry
	Tracer     trace.Tracer
	MaxBody    int64         // bytes of a request's body
	MaxTimeout time.Duration // longest time a request may take
	MaxRetries int           // attempts after the first
	Recorder   Recorder      // nil keeps nothing
}

// Server answers callers.
type Server struct {
	vm         string
	backend    Backend
	endpoints  *endpoint.Client
	peers      *endpoint.Client
	log        *slog.Logger
	registry   metrics.Registry
	tracer     trace.Tracer
	maxBody    int64
	maxTimeout time.Duration
	maxRetries int
	recorder   Recorder
	now        func() time.Time
}

// New returns a server. Its handlers are had from Callers and Forwarded.
func New(o Options) *Server {
	return &Server{
		vm: o.VM, backend: o.Backend, endpoints: o.Endpoints, peers: o.Peers, log: o.Logger,
		registry: o.Registry, tracer: o.Tracer, maxBody: o.MaxBody,
		maxTimeout: o.MaxTimeout, maxRetries: o.MaxRetries, recorder: o.Recorder, now: time.Now,
	}
}

// CallerHandler returns the handler of the callers' listener.
func (s *Server) CallerHandler() http.Handler {
	e := s.router("")
	e.GET("/healthz", s.healthz)
	e.GET("/readyz", s.readyz)
	e.GET("/metrics", s.metrics)
	e.POST("/v1/idempotency-keys", s.issueKey)
	e.GET("/v1/models", s.listModels)
	e.GET("/v1/models/:model", s.getModel)
	return e
}

// ForwardHandler returns the handler of requests from other entry VMs. It must
// only be served to peers, since it trusts the account that they name.
func (s *Server) ForwardHandler() http.Handler {
	return s.router(ForwardPrefix, s.readForwarded)
}

func (s *Server) router(prefix string, middleware ...echo.MiddlewareFunc) *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.unrouted
	e.Use(s.observe)
	g := e.Group(prefix, middleware...)
	g.POST("/v1/completions", s.complete)
	g.POST("/v1/chat/completions", s.complete)
	g.Any("/services/:service", s.callService)
	g.Any("/services/:service/*", s.callService)
	return e
}

// readForwarded takes the account from the forwarding entry VM.
func (s *Server) readForwarded(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		name := c.Request().Header.Get(headerAccount)
		account, ok := s.backend.AccountByName(name)
		if !ok {
			account.Name = name
		}
		c.Set(forwardedKey, account)
		return next(c)
	}
}

// observe gives the request an id, a span, a log line and metrics.
func (s *Server) observe(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		start := s.now()
		r := c.Request()
		id := r.Header.Get(headerRequestID)
		if id == "" || len(id) > maxRequestIDLen {
			id = uuid.NewString()
		}
		h := c.Response().Header()
		h.Set(headerRequestID, id)
		ctx := telemetry.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := s.tracer.Start(ctx, r.Method+" "+c.Path(), trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(attribute.String("request.id", id)))
		defer span.End()
		telemetry.Propagator.Inject(ctx, propagation.HeaderCarrier(h))
		c.SetRequest(r.WithContext(ctx))

		err := next(c)
		if err != nil {
			c.Error(err)
		}
		s.record(c, id, s.now().Sub(start))
		return nil
	}
}

func (s *Server) record(c echo.Context, id string, took time.Duration) {
	status := c.Response().Status
	outcome := "ok"
	p, failed := c.Get(outcomeKey).(*problem.Error)
	if failed {
		outcome = string(p.Kind)
	}
	s.conclude(c, p)
	telemetry.Counter(s.registry, "requests_total", "outcome", outcome).Inc(1)
	telemetry.Timer(s.registry, "request_seconds").Update(took)
	s.log.Info("request", "request_id", id, "method", c.Request().Method, "route", c.Path(),
		"status", status, "outcome", outcome, "seconds", took.Seconds(), "hops", c.Response().Header().Get(headerHops))
}

// unrouted answers what no handler did.
func (s *Server) unrouted(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := problem.As(err)
	if he, ok := err.(*echo.HTTPError); ok { //nolint:errorlint // echo returns it unwrapped
		p = problem.New(problem.MalformedRequest, http.StatusText(he.Code), "check the method and path")
		if he.Code == http.StatusNotFound {
			p.Kind = problem.UnknownService
		}
	}
	if err := writeProblem(c, p); err != nil {
		s.log.Debug("the caller left before its answer", "error", err)
	}
}

func (s *Server) healthz(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

func (s *Server) readyz(c echo.Context) error {
	if p := s.backend.Ready(); p != nil {
		return writeProblem(c, p)
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *Server) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
	c.Response().WriteHeader(http.StatusOK)
	telemetry.WriteMetrics(c.Response(), s.registry)
	return nil
}
