package entry

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/ingress"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
	"github.com/pimentoshore/pimentoshore/internal/upstream"
)

// Options configure a Server.
type Options struct {
	// KeysValidFor is the maximum age of the catalog at which keys are
	// accepted.
	KeysValidFor time.Duration
	// UnknownAfter is the age of the catalog above which an unknown route or
	// key may have been added since the catalog was read.
	UnknownAfter time.Duration
	// Memory is the memory for request bodies and buffered responses; nil selects
	// defaults.
	Memory *bodylimit.Memory
	// Connections are the callers' connections, or nil if they aren't limited.
	Connections *ingress.Connections
	Log         *slog.Logger
	Metrics     metrics.Registry
	Now         func() time.Time
}

// Server handles requests of callers. It implements http.Handler.
type Server struct {
	opts   Options
	proto  Protocol
	state  *State
	client *upstream.Client
	log    *slog.Logger
	now    func() time.Time
	// requests is the memory for request bodies, and bodies that for responses.
	requests *bodylimit.HolderBudget
	bodies   *bodylimit.Budget
	// stopping is closed when callers should move to another entry VM.
	stopping <-chan struct{}
	// serving ends when requests that still run are to be given up.
	serving context.Context
	giveUp  context.CancelCauseFunc
}

// NewServer returns a server that uses the given state. Once stopping is
// closed, responses ask callers to close their connections.
func NewServer(opts Options, proto Protocol, state *State, client *upstream.Client, stopping <-chan struct{}) *Server {
	if opts.Memory == nil {
		opts.Memory = bodylimit.NewMemory(bodylimit.Sizes{})
	}
	s := &Server{
		opts: opts, proto: proto, state: state, client: client, log: opts.Log, now: opts.Now,
		requests: opts.Memory.Requests, bodies: opts.Memory.Responses, stopping: stopping,
	}
	s.serving, s.giveUp = context.WithCancelCause(context.Background())
	return s
}

// EndRequests gives up the requests that still run, as this entry VM stops. Those
// whose response has not begun are answered.
func (s *Server) EndRequests() { s.giveUp(errStopped) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := ingress.FromContext(r.Context())
	if !conn.BeginRequest(r.ProtoMajor) {
		panic(http.ErrAbortHandler) // the connection is being closed
	}
	defer conn.EndRequest()
	select {
	case <-s.stopping:
		w.Header().Set("Connection", "close")
	default:
	}
	req, fault := s.accept(w, r)
	if fault != nil {
		id := r.Header.Get(s.proto.RequestID)
		if conn.Closing() {
			s.abortForClosing(id, fault.Message)
		}
		endUnreadBody(w, r, fault)
		s.refuse(w, id, nil, fault)
		return
	}
	defer req.held.Release()
	// The connection may have been chosen to be closed just before its body was complete.
	// Now that it is, only the response can be a reason to close the connection.
	if conn.Closing() {
		s.abortForClosing(req.id, "it was chosen as the end of the body arrived")
	}
	s.state.countRequest(req.service.Name)
	s.serve(w, r, req)
}

// refuse responds with a problem. req is nil if the request was not accepted. All
// answers of this entry VM's own are sent here, so that none promises that a request
// has not run that may have.
func (s *Server) refuse(w http.ResponseWriter, id string, req *request, p *problem.Error) {
	if req != nil {
		p = req.markRan(p)
	}
	status := statusOf(p)
	h := w.Header()
	if id != "" {
		h.Set(s.proto.RequestID, id)
	}
	h.Set("Content-Type", "application/problem+json")
	if status == http.StatusServiceUnavailable {
		after := p.RetryAfter
		if after <= 0 {
			after = time.Second
		}
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	body := `{"type":"` + string(p.Kind) + `","detail":` + strconv.Quote(p.Message+"; "+p.Remedy) + "}\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body)) // the caller may have disconnected
	s.count(string(p.Kind))
	if p.Kind == problem.MemoryShort {
		telemetry.Counter(s.opts.Metrics, "requests_refused_memory_total").Inc(1)
	}
	if req == nil {
		s.log.Warn("request refused", "request", id, "status", status, "kind", string(p.Kind), "detail", p.Message)
		return
	}
	s.log.Warn("request failed", "request", id, "status", status, "kind", string(p.Kind), "detail", p.Message,
		"route", req.route.Name, "model", req.model, "rank", req.rank.String(), "sends", req.sends, "endpoint", req.lastEndpoint, "version", req.catalogVersion, "parts", partIDs(req.parts),
		"elapsed", s.now().Sub(req.started))
}

// abortForClosing counts and logs a request that is not served, because its connection
// was chosen to be closed.
func (s *Server) abortForClosing(id, detail string) {
	s.count("connection closed")
	s.log.Info("request not read", "request", id, "cause", "its connection was closed", "detail", detail)
	panic(http.ErrAbortHandler)
}

// abortForCallerGone counts and logs a caller that left before its answer was
// complete, and closes its connection: it may still read, and must get no answer that
// looks complete.
func (s *Server) abortForCallerGone(req *request, events int) {
	s.count("caller gone")
	s.log.Info("caller left", "request", req.id, "route", req.route.Name, "events", events, "sends", req.sends,
		"endpoint", req.lastEndpoint, "elapsed", s.now().Sub(req.started))
	panic(http.ErrAbortHandler)
}

// recordAnswered counts a delivered response and records its latency.
func (s *Server) recordAnswered(req *request) {
	s.count("answered")
	telemetry.Timer(s.opts.Metrics, "answer_seconds", "kind", string(req.route.Kind)).Update(s.now().Sub(req.started))
}

func (s *Server) count(outcome string) {
	telemetry.Counter(s.opts.Metrics, "requests_total", "outcome", outcome).Inc(1)
}
