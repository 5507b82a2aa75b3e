package entry

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// streamBuffer is the size of the read buffer of a stream in bytes.
const streamBuffer = 4 << 10

// relay forwards a stream of events to a caller.
type relay struct {
	*Server
	ctx        context.Context
	w          http.ResponseWriter
	req        *request
	controller *http.ResponseController
	standbys   standbys
	// lastID is the ID of the last event sent to the caller, initially the ID
	// after which the caller resumes.
	lastID string
	sent   sentEvents
	// events is the number of events sent to the caller.
	events int
	// firstDelay is the time to the first event, maxPause the longest time
	// between two.
	firstDelay, maxPause time.Duration
	lastEventAt          time.Time
}

// serveStream responds to a request with a stream of events. If the route allows
// it, a stream that breaks off is resumed at another endpoint.
func (s *Server) serveStream(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) {
	rl := &relay{
		Server: s, ctx: ctx, w: w, req: req, controller: http.NewResponseController(w),
		lastID: r.Header.Get(s.proto.LastEventID),
	}
	req.doubted, req.placed, req.hasStandby = rl.doubt, rl.standbys.setCurrent, rl.standbys.isRunning
	fault := rl.run()
	rl.closeStandby()
	switch {
	case fault == nil:
		return
	case r.Context().Err() != nil:
		s.abortForCallerGone(req, rl.events)
	case rl.req.responseBegun:
		s.count("stream broken")
		s.log.Warn("stream broken off", "request", req.id, "kind", string(fault.Kind), "detail", fault.Message,
			"route", req.route.Name, "events", rl.events, "sends", req.sends, "endpoint", req.lastEndpoint,
			"elapsed", s.now().Sub(req.started))
		_ = rl.controller.Flush()   // the caller may have disconnected
		panic(http.ErrAbortHandler) // so that the response does not look complete
	default:
		s.refuse(w, req.id, req, fault)
	}
}

// run makes attempts until the stream is complete or no attempt is left.
func (rl *relay) run() *problem.Error {
	for {
		done, fault := rl.relayAttempt()
		for !done {
			sb := rl.takeStandby()
			if sb == nil {
				break
			}
			rl.logMoved(fault)
			done, fault = rl.relayStandby(sb)
		}
		if done {
			return nil
		}
		if !rl.canResume() || !rl.canRetry(rl.ctx, rl.req) {
			return fault
		}
		rl.logMoved(fault)
	}
}

// logMoved logs that a stream goes on at another endpoint.
func (rl *relay) logMoved(cause *problem.Error) {
	rl.log.Info("stream goes on elsewhere", "request", rl.req.id, "after_event", rl.lastID, "sends", rl.req.sends, "cause", cause.Message)
}

// relayAttempt makes one attempt and relays its events. done reports whether the
// caller has received a complete response.
func (rl *relay) relayAttempt() (done bool, fault *problem.Error) {
	rl.begin()
	a, fault := rl.startAttempt(rl.ctx, rl.req, rl.lastID)
	if fault != nil {
		return false, fault
	}
	if rl.isNotRun(a.resp) {
		return false, rl.endRejected(a, rl.req)
	}
	if a.resp.Status/100 != 2 {
		return rl.handleFailure(a)
	}
	answer, err := rl.openAnswer(a, rl.resumePoint())
	if err == nil {
		err = rl.copyEvents(a, answer)
	}
	return rl.endRelayed(a, err)
}

// endRelayed ends an attempt whose events were relayed until err, or to their end
// if it is nil.
func (rl *relay) endRelayed(a *attempt, err error) (done bool, fault *problem.Error) {
	if err != nil {
		rl.req.exclude = append(rl.req.exclude, a.ticket.Target.ID)
		return false, rl.endBroken(rl.ctx, a, rl.req, err)
	}
	rl.req.sends++
	rl.endAttempt(a, dispatch.Succeeded)
	rl.recordAnswered(rl.req)
	rl.logAnswered()
	return true, nil
}

// handleFailure handles a response whose status is not 2xx. It is delivered to
// the caller unless another attempt can be made.
func (rl *relay) handleFailure(a *attempt) (done bool, fault *problem.Error) {
	body, err := rl.readBody(a, rl.req)
	rl.req.exclude = append(rl.req.exclude, a.ticket.Target.ID)
	if err != nil || rl.req.responseBegun {
		return false, rl.endBroken(rl.ctx, a, rl.req, errors.Errorf("the endpoint responded with status %d", a.resp.Status))
	}
	rl.req.countRun()
	got := &response{status: a.resp.Status, header: a.resp.Header, body: body, vm: a.ticket.Target.ID}
	rl.state.recordFailure(a.ticket)
	rl.endAttempt(a, failureOutcome(a))
	if got.status >= http.StatusInternalServerError && rl.canRetry(rl.ctx, rl.req) {
		return false, problem.New(problem.EndpointFailed, "the endpoint failed", "retry")
	}
	rl.deliver(rl.w, rl.req, got)
	return true, nil
}

// copyEvents relays complete events until the stream ends.
func (rl *relay) copyEvents(a *attempt, events *answerEvents) error {
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return rl.finish(a)
		}
		if err != nil {
			return causeOf(a.ctx, err)
		}
		if !ev.empty {
			rl.state.recordProgress(a.ticket)
		}
		if !isAfter(ev.id, rl.lastID) {
			continue
		}
		if err := rl.writeEvent(a, ev, !events.hasNext()); err != nil {
			return err
		}
	}
}

// isAfter reports whether the event with the given ID comes after that with lastID.
// It does if either ID is not numeric.
func isAfter(id, lastID string) bool {
	n, numbered := eventNumber(id)
	last, lastNumbered := eventNumber(lastID)
	return !numbered || !lastNumbered || n > last
}

func (rl *relay) writeEvent(a *attempt, ev event, flush bool) error {
	rl.writeHeader(a)
	if _, err := rl.w.Write(ev.raw); err != nil {
		return err
	}
	rl.sent.record(rl.lastID, ev)
	if ev.id != "" {
		rl.lastID = ev.id
	}
	if !ev.empty {
		rl.standbys.recordEvent(rl.resumePoint())
	}
	rl.recordEventTime()
	rl.events++
	if flush {
		return rl.controller.Flush()
	}
	return nil
}

// recordEventTime updates firstDelay and maxPause for an event sent now.
func (rl *relay) recordEventTime() {
	now := rl.now()
	if rl.events == 0 {
		rl.firstDelay = now.Sub(rl.req.started)
		telemetry.Timer(rl.opts.Metrics, "first_event_seconds").Update(rl.firstDelay)
	} else {
		rl.maxPause = max(rl.maxPause, now.Sub(rl.lastEventAt))
	}
	rl.lastEventAt = now
}

// logAnswered logs a completed stream, at level Info if it missed an objective of
// its route.
func (rl *relay) logAnswered() {
	level := slog.LevelDebug
	if rl.firstDelay > rl.req.route.Objective || rl.maxPause > rl.req.route.PauseObjective {
		level = slog.LevelInfo
	}
	if rl.log.Enabled(rl.ctx, level) {
		rl.log.Log(rl.ctx, level, "stream answered", "request", rl.req.id, "route", rl.req.route.Name, "endpoint", rl.req.lastEndpoint,
			"first", rl.firstDelay, "pause", rl.maxPause, "events", rl.events, "sends", rl.req.sends, "load", rl.req.predictedLoad)
	}
}

// writeHeader sends the endpoint's response header unless a header was sent
// before.
func (rl *relay) writeHeader(a *attempt) {
	if rl.req.responseBegun {
		return
	}
	rl.req.responseBegun = true
	copyHeader(rl.w.Header(), a.resp.Header)
	rl.w.WriteHeader(a.resp.Status)
	limit := rl.req.deadline.Sub(rl.now()) + time.Second
	_ = rl.controller.SetWriteDeadline(time.Now().Add(limit)) // not supported by every writer
}

// finish completes the stream.
func (rl *relay) finish(a *attempt) error {
	rl.writeHeader(a)
	err := rl.controller.Flush()
	_ = rl.controller.SetWriteDeadline(time.Time{}) // not supported by every writer
	return err
}
