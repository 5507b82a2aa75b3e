package entry

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
	"github.com/pimentoshore/pimentoshore/internal/upstream"
)

const (
	// maxSends limits the sends of a request, including refused ones.
	maxSends = 4
	// maxUnansweredBreaks limits the endpoints that break a request off without an
	// event of its answer: the request itself may end them.
	maxUnansweredBreaks = 2
	// maxDials limits the endpoints that are dialled for one send.
	maxDials = 4
	// minTimeLeft is the least time before the deadline at which a request is
	// still sent.
	minTimeLeft = 10 * time.Millisecond
	// maxResumeWait limits how long a request waits for a place once its
	// response has begun.
	maxResumeWait      = 4 * time.Second
	placeRetryInterval = 20 * time.Millisecond
	// An endpoint may take attemptTimeoutFactor times the route's objective,
	// but at least minAttemptTimeout, for a request that can be repeated at
	// another endpoint.
	attemptTimeoutFactor = 3
	minAttemptTimeout    = 300 * time.Millisecond
)

// Causes for cancelling an attempt, or for taking its response as broken off.
var (
	errDeadline   = errors.New("the request's deadline has passed")
	errStopped    = errors.New("this entry VM stops")
	errNoProgress = errors.New("the endpoint made no progress")
	errNoEvents   = errors.New("the connection ended before the first event")
)

// lostError is the cause for cancelling an attempt whose answer may not go on.
type lostError struct{ reason dispatch.LossReason }

// Error implements error.
func (e *lostError) Error() string { return "the endpoint was lost: " + string(e.reason) }

// attempt is one send of a request to an endpoint.
type attempt struct {
	query  dispatch.Query // by which the endpoint was chosen
	ticket *dispatch.Ticket
	resp   *upstream.Response
	ctx    context.Context
	cancel context.CancelCauseFunc
	sentAt time.Time
	// paused reports whether the endpoint asked for a pause in requests.
	paused bool
}

// endAttempt closes an attempt and counts its outcome.
func (s *Server) endAttempt(a *attempt, outcome dispatch.Outcome) {
	if a.resp != nil {
		a.resp.Close()
	}
	a.cancel(nil)
	telemetry.Counter(s.opts.Metrics, "attempts_total", "outcome", outcome.String()).Inc(1)
	s.state.finish(a.ticket, outcome)
}

// startAttempt sends the request to an endpoint and returns the attempt once the
// header of the response has arrived. Endpoints that could not be reached are
// replaced by others, up to maxDials times. lastEvent is the ID after which a
// stream is resumed, or empty.
func (s *Server) startAttempt(ctx context.Context, req *request, lastEvent string) (*attempt, *problem.Error) {
	for dials := 0; ; dials++ {
		if fault := s.checkStillValid(ctx, req); fault != nil {
			return nil, fault
		}
		// Further dials belong to the same send, for which the budget has been taken.
		resent := req.sends > 0 && dials == 0
		a, fault := s.place(ctx, req, resent)
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
			s.endNotSent(a, err)
			s.log.Info("endpoint not reached", "request", req.id, "endpoint", a.ticket.Target.ID, "error", err.Error())
			if req.hasStandby != nil && req.hasStandby() {
				return nil, problem.New(problem.EndpointFailed, "the endpoint could not be reached", "retry")
			}
			if dials+1 < maxDials {
				continue
			}
			return nil, finalFault(req, problem.New(problem.EndpointFailed, "no endpoint could be reached", "retry").WithRetryAfter(time.Second))
		}
		return nil, s.endBroken(ctx, a, req, err)
	}
}

// recordRepeat counts and logs a repeated send of the request that was allowed or
// refused, with the use of the budget before.
func (s *Server) recordRepeat(req *request, use dispatch.RepeatUse, allowed bool) {
	message, outcome := "request is sent again", "sent"
	if !allowed {
		message, outcome = "request is not sent again", "refused"
	}
	telemetry.Counter(s.opts.Metrics, "repeats_total", "service", req.service.Name, "outcome", outcome).Inc(1)
	s.log.Info(message, "request", req.id, "service", req.service.Name, "sends", req.sends, "begun", req.responseBegun,
		"window_requests", use.Requests, "window_repeats", use.Repeats, "limit", use.Limit, "nodes", use.Nodes)
}

// recordReuse counts and logs that the endpoint of a ticket was chosen because it
// holds the beginning of the prompt.
func (s *Server) recordReuse(req *request, ticket *dispatch.Ticket) {
	r := ticket.Reuse
	if r == nil {
		return
	}
	telemetry.Counter(s.opts.Metrics, "held_prompt_choices_total", "service", req.service.Name).Inc(1)
	s.log.Info("endpoint holds the beginning of the prompt", "request", req.id, "endpoint", ticket.Target.ID, "instead", r.Instead,
		"tokens", r.Tokens, "saved", r.Saved, "wait", r.Wait, "load", ticket.Load, "report_age", r.ReportAge)
}

// endNotSent ends an attempt of which nothing was sent.
func (s *Server) endNotSent(a *attempt, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.state.recordRefusal(a.ticket)
	}
	a.ticket.Parts = nil // the endpoint never held the request
	s.endAttempt(a, dispatch.Failed)
}

// place chooses an endpoint for the request, waiting for a free place if that
// can still meet the objective, and returns a new attempt there. resent is whether
// the attempt takes part of the budget of repeats.
func (s *Server) place(ctx context.Context, req *request, resent bool) (*attempt, *problem.Error) {
	a := &attempt{sentAt: s.now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	q := dispatch.Query{Service: req.service.Name, Model: req.model, Exclude: req.exclude, Draw: req.draw, Begun: req.responseBegun,
		Repeat: req.mayHaveRun(), PromptTokens: req.promptTokens, Prefix: req.prefix, Parts: req.parts, Rank: req.rank, Resent: resent}
	if req.sends > 0 {
		q.Rank = catalog.Rank{} // a further dial of a repeated send isn't held back either
	}
	began := s.now()
	cancel := func(reason dispatch.LossReason) { a.cancel(&lostError{reason}) }
	doubt := func(t *dispatch.Ticket, reason dispatch.LossReason) {
		if req.doubted != nil {
			req.doubted(a, t, reason)
		}
	}
	var ticket *dispatch.Ticket
	var refusal *dispatch.Refusal
	if q.Rank.Ranked && !q.Begun {
		ticket, refusal = s.placeInTurn(ctx, &placement{query: q, account: req.account, cancel: cancel, doubt: doubt, until: s.placeDeadline(req)})
	} else {
		ticket, refusal = s.placeAtOnce(ctx, req, q, cancel, doubt)
	}
	placed := strconv.FormatBool(refusal == nil)
	telemetry.Timer(s.opts.Metrics, "place_wait_seconds", "placed", placed).Update(s.now().Sub(began))
	if refusal != nil {
		a.cancel(nil)
		telemetry.Counter(s.opts.Metrics, "placements_refused_total", "reason", string(refusal.Reason), "rank", req.rank.String()).Inc(1)
		if refusal.Reason == dispatch.NoBudget {
			s.recordRepeat(req, refusal.RepeatUse, false)
		}
		return nil, finalFault(req, problemOf(refusal))
	}
	if resent {
		s.recordRepeat(req, ticket.RepeatUse, true)
	}
	s.recordReuse(req, ticket)
	a.query, a.ticket = q, ticket
	a.sentAt = s.now()
	req.lastEndpoint = ticket.Target.ID
	req.predictedLoad = ticket.Load
	if req.placed != nil {
		req.placed(a)
	}
	return a, nil
}

// placeAtOnce chooses an endpoint for a request as soon as one accepts it, whatever
// others wait.
func (s *Server) placeAtOnce(ctx context.Context, req *request, q dispatch.Query, cancel func(dispatch.LossReason), doubt func(*dispatch.Ticket, dispatch.LossReason)) (*dispatch.Ticket, *dispatch.Refusal) {
	ticket, refusal := s.state.pick(q, cancel, doubt)
	if refusal == nil {
		return ticket, nil
	}
	until := s.placeDeadline(req)
	for refusal != nil && refusal.MayClearWithin(until.Sub(s.now())) && s.now().Before(until) && ctx.Err() == nil {
		time.Sleep(placeRetryInterval)
		ticket, refusal = s.state.pick(q, cancel, doubt)
	}
	return ticket, refusal
}

// placeDeadline returns the time until which a request may wait for a place. A
// request may spend half of the difference between its objective and the typical
// latency on waiting, so that its response still meets the objective. One whose
// response has begun may wait maxResumeWait, the longest pause tolerated in a
// stream. The result is never after the request's deadline.
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

// checkStillValid checks the conditions that may have changed while the request
// waited: its deadline and the age of the catalog.
func (s *Server) checkStillValid(ctx context.Context, req *request) *problem.Error {
	if ctx.Err() != nil || req.deadline.Sub(s.now()) < minTimeLeft {
		return finalFault(req, endProblem(ctx, "the deadline has passed", "allow more time"))
	}
	if !s.keysValid(req) {
		return finalFault(req, problem.New(problem.PlatformDown, "the configuration is too old to trust keys", "retry").WithRetryAfter(time.Second))
	}
	return nil
}

// send sends the request of an attempt and waits for the response header.
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
		timeout := max(minAttemptTimeout, attemptTimeoutFactor*req.route.Objective)
		timer := time.AfterFunc(timeout, func() { s.moveOn(a) })
		defer timer.Stop()
	}
	resp, err := s.client.Send(a.ctx, a.ticket.Target.Address, &out)
	if err != nil {
		return err
	}
	a.resp = resp
	if echo := resp.Header.Get(s.proto.RequestID); echo != req.id {
		resp.Close()
		return &upstream.BrokenError{Address: a.ticket.Target.Address, Err: errors.Errorf("the response belongs to request %q", echo)}
	}
	s.handleHints(a, req)
	return nil
}

// moveOn cancels an attempt without an answer if the request can be sent to another
// endpoint. Otherwise it goes on: the endpoint may be slow, or silent for a while.
func (s *Server) moveOn(a *attempt) {
	q := a.query
	q.Exclude = append(slices.Clone(q.Exclude), a.ticket.Target.ID)
	q.Repeat = true
	if s.state.canRepeat(q) {
		a.cancel(errNoProgress)
	}
}

// handleHints processes the response headers by which an endpoint announces that
// it is leaving, limits its requests or asks for a pause in them.
func (s *Server) handleHints(a *attempt, req *request) {
	if limit := parseLimit(a.resp.Header.Get(s.proto.Limit)); s.state.setLimit(a.ticket, limit) {
		s.log.Info("endpoint limits its requests", "request", req.id, "endpoint", a.ticket.Target.ID, "per_second", limit)
	}
	if a.resp.Header.Get(s.proto.Leaving) != "" && s.state.markLeaving(a.ticket) {
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

// parseLimit returns the requests a second that a response header names as the
// limit of its endpoint, or 0 if it names none.
func parseLimit(value string) float64 {
	limit, err := strconv.ParseFloat(value, 64)
	if err != nil || !(limit > 0) || math.IsInf(limit, 0) {
		return 0
	}
	return max(limit, minLimit)
}

// minLimit is the lowest limit, in requests a second, that is told apart from none.
const minLimit = 0.001

// failureOutcome returns the outcome of an attempt that failed at its endpoint.
// It is Neutral if the endpoint asked for a pause, as that endpoint is healthy
// otherwise.
func failureOutcome(a *attempt) dispatch.Outcome {
	if a.paused {
		return dispatch.Neutral
	}
	return dispatch.Failed
}

// endBroken ends an attempt whose response was lost and returns the problem.
func (s *Server) endBroken(ctx context.Context, a *attempt, req *request, err error) *problem.Error {
	req.countRun()
	if !a.ticket.Begun {
		req.unansweredBreaks++
	}
	if s.state.hasEnded(a.ticket) {
		req.attempts-- // the request is certainly no longer running there
	}
	outcome := dispatch.Failed
	if ctx.Err() != nil {
		outcome = dispatch.Neutral
	}
	s.endAttempt(a, outcome)
	s.log.Info("attempt broke off", "request", req.id, "endpoint", a.ticket.Target.ID, "send", req.sends,
		"after", s.now().Sub(a.sentAt), "begun", a.ticket.Begun, "parts", partIDs(req.parts), "error", err.Error())
	if ctx.Err() != nil {
		return endProblem(ctx, "the endpoint did not answer in time", "retry if the request may run twice")
	}
	return problem.New(problem.EndpointFailed, "the endpoint broke off", "retry if the request may run twice")
}

// isNotRun reports whether a response states that the request did not run.
func (s *Server) isNotRun(resp *upstream.Response) bool {
	return resp.Status == http.StatusMisdirectedRequest || resp.Header.Get(s.proto.NotRun) != ""
}

// countRun counts a send that may have run.
func (req *request) countRun() {
	req.sends++
	req.attempts++
	req.runs++
}

// mayHaveRun reports whether any send may have run.
func (req *request) mayHaveRun() bool { return req.runs > 0 }

// canRepeat reports whether the request may be sent again after a send that may
// have run.
func (req *request) canRepeat() bool {
	return req.route.Repeatable() && req.attempts < req.route.MaxAttempts && req.sends < maxSends && req.unansweredBreaks < maxUnansweredBreaks
}

// copyHeader copies an endpoint's headers to the response for the caller.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !slices.Contains(hopByHop, name) {
			dst[name] = values
		}
	}
}
