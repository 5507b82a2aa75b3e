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
	// minTimeLeft is the time below which a request isn't sent any more.
	minTimeLeft = 10 * time.Millisecond
	// maxResumeWait is how long a request may wait for a place whose answer has
	// begun.
	maxResumeWait      = 4 * time.Second
	placeRetryInterval = 20 * time.Millisecond
	// attemptTimeoutFactor times the objective, minAttemptTimeout at least, is how long
	// an endpoint may take for a request that another one may run as well.
	attemptTimeoutFactor = 3
	minAttemptTimeout    = 300 * time.Millisecond
)

// Causes for the end of an attempt.
var (
	errDeadline     = errors.New("the request's deadline has passed")
	errEndpointLost = errors.New("the endpoint was lost")
	errNoProgress   = errors.New("the endpoint made no progress")
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
func (s *Server) endAttempt(a *attempt, outcome dispatch.Outcome) {
	if a.resp != nil {
		a.resp.Close()
	}
	a.cancel(nil)
	telemetry.Counter(s.opts.Metrics, "attempts_total", "outcome", outcome.String()).Inc(1)
	s.state.done(a.ticket, outcome)
}

// attempt sends the request to an endpoint until one may have run it, and
// returns that one's answer. lastEvent is set where a stream goes on.
func (s *Server) startAttempt(ctx context.Context, req *request, lastEvent string) (*attempt, *problem.Error) {
	for dials := 0; ; dials++ {
		if fault := s.checkStillValid(ctx, req); fault != nil {
			return nil, fault
		}
		if req.sends > 0 && dials == 0 && !s.state.takeRepeat(req.service.Name, req.responseBegun) {
			return nil, s.finalFault(req, problem.New(problem.Overloaded, "the budget of repeats is used up", "retry later").After(time.Second))
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
			s.endAttempt(a, dispatch.Failed)
			s.log.Info("endpoint not reached", "request", req.id, "endpoint", a.ticket.Target.ID, "error", err.Error())
			if dials < maxDials {
				continue
			}
			return nil, s.finalFault(req, problem.New(problem.EndpointFailed, "no endpoint could be reached", "retry").After(time.Second))
		}
		return nil, s.endBroken(ctx, a, req, err)
	}
}

// place chooses the endpoint of an attempt.
func (s *Server) place(ctx context.Context, req *request) (*attempt, *problem.Error) {
	a := &attempt{sentAt: s.now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	q := dispatch.Query{Service: req.service.Name, Model: req.model, Exclude: req.exclude, Draw: req.draw, Begun: req.responseBegun,
		Again: req.mayHaveRun, PromptTokens: req.promptTokens}
	began := s.now()
	ticket, refusal := s.state.pick(q, func() { a.cancel(errEndpointLost) })
	if refusal != nil {
		until := s.placeDeadline(req)
		for refusal != nil && refusal.Within(until.Sub(s.now())) && s.now().Before(until) && ctx.Err() == nil {
			time.Sleep(placeRetryInterval)
			ticket, refusal = s.state.pick(q, func() { a.cancel(errEndpointLost) })
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
		return nil, s.finalFault(req, problem.New(kind, string(refusal.Reason), "retry later").After(refusal.RetryAfter))
	}
	a.ticket = ticket
	a.sentAt = s.now()
	req.lastEndpoint = ticket.Target.ID
	req.predictedLoad = ticket.Load
	return a, nil
}

// placeDeadline is how long a request may wait for a place: for half of the time
// that its objective leaves beyond the usual one to an answer, so that it still
// comes in time, or, if it has begun, as long as its caller bears a pause.
func (s *Server) placeDeadline(req *request) time.Time {
	until := s.now().Add(maxResumeWait)
	if !req.responseBegun {
		slack := req.route.Objective - s.state.typicalLatency(req.service.Name, req.model)
		until = req.started.Add(slack / 2)
	}
	if until.After(req.deadline) {
		return req.deadline
	}
	return until
}

// mayRun checks what may have changed while the request waited.
func (s *Server) checkStillValid(ctx context.Context, req *request) *problem.Error {
	if ctx.Err() != nil || req.deadline.Sub(s.now()) < minTimeLeft {
		return s.finalFault(req, problem.New(problem.DeadlineExceeded, "the deadline has passed", "allow more time"))
	}
	if !s.keysValid(req) {
		return s.finalFault(req, problem.New(problem.PlatformDown, "the configuration is too old to trust keys", "retry").After(time.Second))
	}
	return nil
}

// final is fault for a problem after which nothing more can be tried.
func (s *Server) finalFault(req *request, p *problem.Error) *problem.Error {
	req.final = true
	return s.withRunStatus(req, p)
}

// fault returns the problem with what is known of the request's run.
func (s *Server) withRunStatus(req *request, p *problem.Error) *problem.Error {
	if req.mayHaveRun {
		return p.MayHaveRun()
	}
	return p
}

// send sends an attempt and waits for the header of its answer.
func (s *Server) send(a *attempt, req *request, lastEvent string) error {
	out := req.outgoing
	out.Header = out.Header.Clone()
	left := req.deadline.Sub(a.sentAt)
	out.Header.Set(s.proto.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	out.Header.Set(s.proto.ExpectVM, a.ticket.Target.ID)
	if lastEvent != "" {
		out.Header.Set(s.proto.LastEventID, lastEvent)
	}
	if req.route.Kind == catalog.Idempotent && req.attempts+1 < req.route.MaxAttempts {
		patience := max(minAttemptTimeout, attemptTimeoutFactor*req.route.Objective)
		timer := time.AfterFunc(patience, func() { a.cancel(errNoProgress) })
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
	if a.resp.Header.Get(s.proto.Leaving) != "" && s.state.markLeaving(a.ticket) {
		s.count("endpoint leaving")
		s.log.Info("endpoint leaves", "request", req.id, "endpoint", a.ticket.Target.ID, "status", a.resp.Status)
	}
	asked := a.resp.AskedPause(time.Now())
	if asked <= 0 {
		return
	}
	a.paused = true
	kept := s.state.pause(a.ticket, asked)
	s.count("endpoint paused")
	s.log.Info("endpoint asks for a pause", "request", req.id, "endpoint", a.ticket.Target.ID, "asked", asked, "kept", kept)
}

// failureOutcome is the outcome of an attempt that the endpoint failed: one
// that asks for a pause is sound otherwise.
func failureOutcome(a *attempt) dispatch.Outcome {
	if a.paused {
		return dispatch.Neutral
	}
	return dispatch.Failed
}

// broke ends an attempt whose answer was lost.
func (s *Server) endBroken(ctx context.Context, a *attempt, req *request, err error) *problem.Error {
	req.countRun()
	if s.state.hasEnded(a.ticket) {
		req.attempts-- // the request certainly runs there no longer
	}
	outcome := dispatch.Failed
	if ctx.Err() != nil {
		outcome = dispatch.Neutral
	}
	s.endAttempt(a, outcome)
	s.log.Info("attempt broke off", "request", req.id, "endpoint", a.ticket.Target.ID, "send", req.sends,
		"after", s.now().Sub(a.sentAt), "error", err.Error())
	if ctx.Err() != nil {
		return s.withRunStatus(req, problem.New(problem.DeadlineExceeded, "the endpoint did not answer in time", "retry if the request may run twice"))
	}
	return s.withRunStatus(req, problem.New(problem.EndpointFailed, "the endpoint broke off", "retry if the request may run twice"))
}

// isNotRun reports whether an answer says that the request did not
// run.
func (s *Server) isNotRun(resp *upstream.Response) bool {
	return resp.Status == http.StatusMisdirectedRequest || resp.Header.Get(s.proto.NotRun) != ""
}

// ran counts a send that may have run.
func (req *request) countRun() {
	req.sends++
	req.attempts++
	req.mayHaveRun = true
}

// canRepeat reports whether the request may be sent again after a send that
// may have run.
func (req *request) canRepeat() bool {
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
