package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
	"github.com/pimentoshore/pimentoshore/internal/upstream"
)

const (
	// maxSends bounds the sends of one request, refused ones included.
	maxSends = 4
	// maxDials bounds the endpoints that are tried for one send.
	maxDials = 4
	// leastLeft is the time below which a request isn't sent any more.
	leastLeft = 10 * time.Millisecond
	// begunWait is how long a request may wait for a place whose answer has
	// begun.
	begunWait  = 4 * time.Second
	placeRetry = 20 * time.Millisecond
	// patienceFactor times the objective, patienceLeast at least, is how long
	// an endpoint may take for a request that another one may run as well.
	patienceFactor = 3
	patienceLeast  = 300 * time.Millisecond
)

// Causes for the end of an attempt.
var (
	errDeadline = errors.New("the request's deadline has passed")
	errLost     = errors.New("the endpoint was lost")
	errSilent   = errors.New("the endpoint made no progress")
)

// attempt is a request at an endpoint.
type attempt struct {
	ticket *dispatch.Ticket
	resp   *upstream.Response
	ctx    context.Context
	cancel context.CancelCauseFunc
	sentAt time.Time
	// paused is whether the endpoint asked for no requests for a time.
	paused bool
}

// end closes an attempt and counts its outcome.
func (s *Server) end(a *attempt, outcome dispatch.Outcome) {
	if a.resp != nil {
		a.resp.Close()
	}
	a.cancel(nil)
	telemetry.Counter(s.opts.Metrics, "attempts_total", "outcome", outcome.String()).Inc(1)
	s.state.done(a.ticket, outcome)
}

// attempt sends the request to an endpoint until one may have run it, and
// returns that one's answer. lastEvent is set where a stream goes on.
func (s *Server) attempt(ctx context.Context, req *request, lastEvent string) (*attempt, *problem.Error) {
	for dials := 0; ; dials++ {
		if fault := s.mayRun(ctx, req); fault != nil {
			return nil, fault
		}
		if req.sends > 0 && dials == 0 && !s.state.takeRepeat(req.service.Name, req.begun) {
			return nil, s.final(req, problem.New(problem.Overloaded, "the budget of repeats is used up", "retry later").WithRetryAfter(time.Second))
		}
		a, fault := s.place(ctx, req)
		if fault != nil {
			return nil, fault
		}
		err := s.send(a, req, lastEvent)
		if err == nil {
			return a, nil
		}
		req.exclude = append(req.exclude, a.ticket.Target.ID)
		var notSent *upstream.NotSentError
		if errors.As(err, &notSent) {
			s.end(a, dispatch.Failed)
			s.log.Info("endpoint not reached", "request", req.id, "endpoint", a.ticket.Target.ID, "error", err.Error())
			if dials < maxDials {
				continue
			}
			return nil, s.final(req, problem.New(problem.EndpointFailed, "no endpoint could be reached", "retry").WithRetryAfter(time.Second))
		}
		return nil, s.broke(ctx, a, req, err)
	}
}

// place chooses the endpoint of an attempt.
func (s *Server) place(ctx context.Context, req *request) (*attempt, *problem.Error) {
	a := &attempt{sentAt: s.now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	q := dispatch.Query{Service: req.service.Name, Model: req.model, Exclude: req.exclude, Draw: req.draw, Begun: req.begun,
		Repeat: req.mayHaveRun, PromptTokens: req.prompt}
	began := s.now()
	ticket, refusal := s.state.pick(q, func() { a.cancel(errLost) })
	if refusal != nil {
		until := s.waitUntil(req)
		for refusal != nil && refusal.MayClearWithin(until.Sub(s.now())) && s.now().Before(until) && ctx.Err() == nil {
			time.Sleep(placeRetry)
			ticket, refusal = s.state.pick(q, func() { a.cancel(errLost) })
		}
	}
	placed := strconv.FormatBool(refusal == nil)
	telemetry.Timer(s.opts.Metrics, "place_wait_seconds", "placed", placed).Update(s.now().Sub(began))
	if refusal != nil {
		a.cancel(nil)
		kind := problem.NoEndpoint
		if refusal.Reason != dispatch.NoTarget {
			kind = problem.Overloaded
		}
		return nil, s.final(req, problem.New(kind, string(refusal.Reason), "retry later").WithRetryAfter(refusal.RetryAfter))
	}
	a.ticket = ticket
	a.sentAt = s.now()
	req.last = ticket.Target.ID
	req.load = ticket.Load
	return a, nil
}

// waitUntil is how long a request may wait for a place: for half of the time
// that its objective leaves beyond the usual one to an answer, so that it still
// comes in time, or, if it has begun, as long as its caller bears a pause.
func (s *Server) waitUntil(req *request) time.Time {
	until := s.now().Add(begunWait)
	if !req.begun {
		slack := req.route.Objective - s.state.usual(req.service.Name, req.model)
		until = req.started.Add(slack / 2)
	}
	if until.After(req.deadline) {
		return req.deadline
	}
	return until
}

// mayRun checks what may have changed while the request waited.
func (s *Server) mayRun(ctx context.Context, req *request) *problem.Error {
	if ctx.Err() != nil || req.deadline.Sub(s.now()) < leastLeft {
		return s.final(req, problem.New(problem.DeadlineExceeded, "the deadline has passed", "allow more time"))
	}
	if !s.keysValid(req) {
		return s.final(req, problem.New(problem.PlatformDown, "the configuration is too old to trust keys", "retry").WithRetryAfter(time.Second))
	}
	return nil
}

// final is fault for a problem after which nothing more can be tried.
func (s *Server) final(req *request, p *problem.Error) *problem.Error {
	req.final = true
	return s.fault(req, p)
}

// fault returns the problem with what is known of the request's run.
func (s *Server) fault(req *request, p *problem.Error) *problem.Error {
	if req.mayHaveRun {
		return p.WithRanUnknown()
	}
	return p
}

// send sends an attempt and waits for the header of its answer.
func (s *Server) send(a *attempt, req *request, lastEvent string) error {
	out := req.out
	out.Header = out.Header.Clone()
	left := req.deadline.Sub(a.sentAt)
	out.Header.Set(s.proto.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	out.Header.Set(s.proto.ExpectVM, a.ticket.Target.ID)
	if lastEvent != "" {
		out.Header.Set(s.proto.LastEventID, lastEvent)
	}
	if req.route.Kind == catalog.Idempotent && req.attempts+1 < req.route.MaxAttempts {
		patience := max(patienceLeast, patienceFactor*req.route.Objective)
		timer := time.AfterFunc(patience, func() { a.cancel(errSilent) })
		defer timer.Stop()
	}
	resp, err := s.client.Send(a.ctx, a.ticket.Target.Address, &out)
	if err != nil {
		return err
	}
	a.resp = resp
	if echo := resp.Header.Get(s.proto.RequestID); echo != req.id {
		resp.Close()
		return &upstream.BrokenError{Address: a.ticket.Target.Address, Err: errors.Errorf("the answer belongs to request %q", echo)}
	}
	s.handleHints(a, req)
	return nil
}

// handleHints takes in what an answer says of its endpoint: that it leaves, or wants
// no requests for a time.
func (s *Server) handleHints(a *attempt, req *request) {
	if a.resp.Header.Get(s.proto.Leaving) != "" && s.state.leaving(a.ticket) {
		s.count("endpoint leaving")
		s.log.Info("endpoint leaves", "request", req.id, "endpoint", a.ticket.Target.ID, "status", a.resp.Status)
	}
	asked := a.resp.RetryAfter(time.Now())
	if asked <= 0 {
		return
	}
	a.paused = true
	kept := s.state.pause(a.ticket, asked)
	s.count("endpoint paused")
	s.log.Info("endpoint asks for a pause", "request", req.id, "endpoint", a.ticket.Target.ID, "asked", asked, "kept", kept)
}

// failedUnlessPaused is the outcome of an attempt that the endpoint failed: one
// that asks for a pause is sound otherwise.
func failedUnlessPaused(a *attempt) dispatch.Outcome {
	if a.paused {
		return dispatch.Neutral
	}
	return dispatch.Failed
}

// broke ends an attempt whose answer was lost.
func (s *Server) broke(ctx context.Context, a *attempt, req *request, err error) *problem.Error {
	req.ran()
	if s.state.ended(a.ticket) {
		req.attempts-- // the request certainly runs there no longer
	}
	outcome := dispatch.Failed
	if ctx.Err() != nil {
		outcome = dispatch.Neutral
	}
	s.end(a, outcome)
	s.log.Info("attempt broke off", "request", req.id, "endpoint", a.ticket.Target.ID, "send", req.sends,
		"after", s.now().Sub(a.sentAt), "error", err.Error())
	if ctx.Err() != nil {
		return s.fault(req, problem.New(problem.DeadlineExceeded, "the endpoint did not answer in time", "retry if the request may run twice"))
	}
	return s.fault(req, problem.New(problem.EndpointFailed, "the endpoint broke off", "retry if the request may run twice"))
}

// refusedByEndpoint reports whether an answer says that the request did not
// run.
func (s *Server) refusedByEndpoint(resp *upstream.Response) bool {
	return resp.Status == http.StatusMisdirectedRequest || resp.Header.Get(s.proto.NotRun) != ""
}

// ran counts a send that may have run.
func (req *request) ran() {
	req.sends++
	req.attempts++
	req.mayHaveRun = true
}

// mayRepeat reports whether the request may be sent again after a send that
// may have run.
func (req *request) mayRepeat() bool {
	return req.route.Repeatable() && req.attempts < req.route.MaxAttempts && req.sends < maxSends
}

// copyHeader copies an endpoint's headers to the caller's answer.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !slices.Contains(hopByHop, name) {
			dst[name] = values
		}
	}
}
