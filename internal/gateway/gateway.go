// Package gateway serves callers over HTTP: the OpenAI-compatible completion
// calls, plain services, and requests that other entry VMs forward. It transports
// requests and responses; its Backend makes every admission and routing
// decision.
package gateway

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/endpoint"
	"github.com/pimentoshore/pimentoshore/internal/ingress"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// ForwardPrefix is the path prefix on the peer listener for requests that entry
// VMs forward to each other.
const ForwardPrefix = "/forward"

// Keys of values in echo's context.
const (
	forwardedKey = "forwarded_account" // inventory.ClientAccount of a forwarded request
	outcomeKey   = "outcome"           // *problem.Error that ended the request
	recordKey    = "record"            // *Record of an authenticated request
	onceKey      = "once"              // true if the request must not run twice
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
	Recorder   Recorder      // nil means that no records are kept
	// Memory limits the memory of requests and of the answers that are read whole.
	// Nil selects the default limits.
	Memory *bodylimit.Memory
	// Connections are the callers' connections, or nil if they aren't limited.
	Connections *ingress.Connections
	// MaxStreams limits the HTTP/2 streams beyond the first one of each caller's
	// connection, all together; 0 means no limit.
	MaxStreams int64
	// StalledWrite is how long a caller may read nothing of a response; 0 selects a
	// default.
	StalledWrite time.Duration
}

// Server serves callers and other entry VMs.
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
	// bodies bounds the memory of request bodies, and answers that of the answers that
	// are read whole.
	bodies       *bodylimit.HolderBudget
	answers      *bodylimit.Budget
	connections  *ingress.Connections
	stalledWrite time.Duration
	maxStreams   int64
	// furtherStreams is the number of open streams that count towards maxStreams.
	furtherStreams atomic.Int64
}

// New returns a server. CallerHandler and ForwardHandler return its handlers.
func New(o Options) *Server {
	if o.Memory == nil {
		o.Memory = bodylimit.NewMemory(bodylimit.Sizes{})
	}
	if o.StalledWrite <= 0 {
		o.StalledWrite = ingress.DefaultStalledWrite
	}
	return &Server{
		vm: o.VM, backend: o.Backend, endpoints: o.Endpoints, peers: o.Peers, log: o.Logger,
		registry: o.Registry, tracer: o.Tracer, maxBody: o.MaxBody,
		maxTimeout: o.MaxTimeout, maxRetries: o.MaxRetries, recorder: o.Recorder, now: time.Now,
		bodies: o.Memory.Requests, answers: o.Memory.Responses, connections: o.Connections,
		stalledWrite: o.StalledWrite, maxStreams: o.MaxStreams,
	}
}

// CallerHandler returns the handler for the callers' listener.
func (s *Server) CallerHandler() http.Handler {
	e := s.router("", s.limitStreams)
	e.GET("/healthz", s.healthz)
	e.GET("/readyz", s.readyz)
	e.GET("/metrics", s.metrics)
	e.POST("/v1/idempotency-keys", s.issueKey)
	e.GET("/v1/models", s.listModels)
	e.GET("/v1/models/:model", s.getModel)
	return s.boundWrites(serveOpen(e))
}

// ForwardHandler returns the handler for requests from other entry VMs. It must be
// served only to peers, because it trusts the client account that they name.
func (s *Server) ForwardHandler() http.Handler {
	return s.boundWrites(s.router(ForwardPrefix, s.readForwarded))
}

func (s *Server) router(prefix string, middleware ...echo.MiddlewareFunc) *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.handleError
	e.Use(s.observe)
	g := e.Group(prefix, middleware...)
	g.POST("/v1/completions", s.serveCompletion)
	g.POST("/v1/chat/completions", s.serveCompletion)
	g.Any("/services/:service", s.serveService)
	g.Any("/services/:service/*", s.serveService)
	return e
}

// readForwarded reads the client account from the forwarding entry VM's header.
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

// observe assigns a request id and records a span, a log line and metrics for
// each request.
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
		boundUnread(c)

		err := next(c)
		if err != nil {
			c.Error(err)
		}
		s.observeOutcome(c, id, s.now().Sub(start))
		return nil
	}
}

func (s *Server) observeOutcome(c echo.Context, id string, elapsed time.Duration) {
	status := c.Response().Status
	outcome := "ok"
	p, failed := c.Get(outcomeKey).(*problem.Error)
	if failed {
		outcome = string(p.Kind)
	}
	s.endRecord(c, p)
	telemetry.Counter(s.registry, "requests_total", "outcome", outcome).Inc(1)
	telemetry.Timer(s.registry, "request_seconds").Update(elapsed)
	s.log.Info("request", "request_id", id, "method", c.Request().Method, "route", c.Path(),
		"status", status, "outcome", outcome, "seconds", elapsed.Seconds(), "hops", c.Response().Header().Get(headerHops))
}

// handleError answers requests that no handler has answered, such as those
// without a matching route.
func (s *Server) handleError(err error, c echo.Context) {
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
		s.log.Debug("the caller closed the connection before the response was sent", "error", err)
	}
}

func (s *Server) healthz(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

func (s *Server) readyz(c echo.Context) error {
	if p := s.backend.Ready(); p != nil {
		return writeProblem(c, p)
	}
	if s.connections.Full() {
		return writeProblem(c, problem.New(problem.Overloaded,
			"this node has as many callers' connections as it may have", "use another entry VM").WithRetryAfter(retryDelay))
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *Server) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
	c.Response().WriteHeader(http.StatusOK)
	telemetry.WriteMetrics(c.Response(), s.registry)
	return nil
}
