package entry

import (
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
	"github.com/pimentoshore/pimentoshore/internal/upstream"
)

// Options set up a Server.
type Options struct {
	// KeysValidFor bounds the age of the catalog by which a key is trusted.
	KeysValidFor time.Duration
	// UnknownAfter is the age of the catalog from which an unknown route or
	// key may be one that is in force.
	UnknownAfter time.Duration
	// BodyBytes bounds the memory of answers that are read whole; 0 leaves it
	// to a default.
	BodyBytes int64
	Log       *slog.Logger
	Metrics   metrics.Registry
	Now       func() time.Time
}

// Server serves callers. It is an http.Handler.
type Server struct {
	opts   Options
	proto  Protocol
	state  *State
	client *upstream.Client
	log    *slog.Logger
	now    func() time.Time
	bodies *bodies
	// stopping is closed when callers are to go elsewhere.
	stopping <-chan struct{}
}

// NewServer returns a server over the state. Once stopping is closed, answers
// ask callers to close their connections.
func NewServer(opts Options, proto Protocol, state *State, client *upstream.Client, stopping <-chan struct{}) *Server {
	return &Server{opts: opts, proto: proto, state: state, client: client, log: opts.Log, now: opts.Now, bodies: newBodies(opts.BodyBytes), stopping: stopping}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-s.stopping:
		w.Header().Set("Connection", "close")
	default:
	}
	req, fault := s.accept(r)
	if fault != nil {
		s.refuse(w, r.Header.Get(s.proto.RequestID), nil, fault)
		return
	}
	s.state.countRequest(req.service.Name)
	s.serve(w, r, req)
}

// statuses are those of the problems whose request certainly did not run;
// others get 503. A request that may have run gets 502 or 504.
var statuses = map[problem.Kind]int{
	problem.MalformedRequest: http.StatusBadRequest,
	problem.Unauthorized:     http.StatusUnauthorized,
	problem.NotFound:         http.StatusNotFound,
	problem.BodyTooLarge:     http.StatusRequestEntityTooLarge,
}

func statusOf(p *problem.Error) int {
	switch {
	case p.Ran == problem.RanUnknown && p.Kind == problem.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case p.Ran == problem.RanUnknown:
		return http.StatusBadGateway
	}
	if status, ok := statuses[p.Kind]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// refuse answers with a problem. req is nil if the request was not accepted.
func (s *Server) refuse(w http.ResponseWriter, id string, req *request, p *problem.Error) {
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
	_, _ = w.Write([]byte(body)) // the caller may have gone
	s.count(string(p.Kind))
	if req == nil {
		s.log.Warn("request refused", "request", id, "status", status, "kind", string(p.Kind), "detail", p.Message)
		return
	}
	s.log.Warn("request failed", "request", id, "status", status, "kind", string(p.Kind), "detail", p.Message,
		"route", req.route.Name, "model", req.model, "sends", req.sends, "endpoint", req.last, "version", req.version,
		"elapsed", s.now().Sub(req.started))
}

// answered counts an endpoint's answer and the time that it took.
func (s *Server) answered(req *request) {
	s.count("answered")
	telemetry.Timer(s.opts.Metrics, "answer_seconds", "kind", string(req.route.Kind)).Update(s.now().Sub(req.started))
}

func (s *Server) count(outcome string) {
	telemetry.Counter(s.opts.Metrics, "requests_total", "outcome", outcome).Inc(1)
}
